#pragma once

#include <string>

namespace jd {

/// Sends one HTTP request and prints the response body, or one field of it. Meant for scripts.
/// @param url "http://host:port/path".
/// @param pointer JSON pointer to the field to print, or empty to print the whole body.
/// @return 0 if the status is 200 and the field exists, else 1.
int RunHttpCommand(const std::string& method,
                   const std::string& url,
                   const std::string& body,
                   const std::string& pointer);

/// Prints one field of a JSON or TOML file. @return 0, or 1 if the field does not exist.
int RunFieldCommand(const std::string& file, const std::string& pointer);

/// Prints the keys of one object in a JSON or TOML file, one per line.
/// @return 0. @throws nlohmann::json::exception if the object does not exist.
int RunKeysCommand(const std::string& file, const std::string& pointer);

}  // namespace jd
