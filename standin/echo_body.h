#pragma once

#include <string>

namespace jd {

/// Hash of a request body as the upstream stand-in echoes it, in hexadecimal digits.
std::string BodyHash(const std::string& body);

}  // namespace jd
