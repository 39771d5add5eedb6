#pragma once

#include <string>

namespace jd {

/// Sends one request and prints the answer, or one field of it, for scripts.
/// @param url "http://host:port/path". @param pointer JSON pointer, or empty for the whole answer.
/// @return 0 on status 200, else 1.
int RunHttpCommand(const std::string& method,
                   const std::string& url,
                   const std::string& body,
                   const std::string& pointer);

/// Prints one field of a JSON file. @return 1 if it is absent.
int RunFieldCommand(const std::string& file, const std::string& pointer);

/// Prints the names in one object of a JSON file, one a line. Throws if it is absent.
int RunKeysCommand(const std::string& file, const std::string& pointer);

}  // namespace jd
