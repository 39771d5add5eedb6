#pragma once

#include <string>

namespace jd {

/// Returns the XXH64 hash of a request body as 16 hexadecimal digits. The upstream stand-in returns
/// this hash in its answers, so that the load generator can match an answer to its request.
std::string BodyHash(const std::string& body);

}  // namespace jd
