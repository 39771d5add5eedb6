#pragma once

#include <string>

namespace jd {

/// Returns docs/configuration.md: every setting and every field of a configuration object, as the
/// code accepts them.
std::string ConfigurationPage();

}  // namespace jd
