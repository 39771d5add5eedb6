#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

namespace jd {

/// Maximum length of an object's name. Names are part of table keys.
inline constexpr size_t kMaxNameLength = 128;

/// Describes what IsValidName accepts, for error messages and documentation.
inline constexpr const char* kNameRule =
    "a name of 1 to 128 letters, digits, '-', '_', '.' and '/'";

/// Returns whether a string is valid as the name of an object.
bool IsValidName(const std::string& text);

/// Returns whether a string is an IPv4 or IPv6 address.
bool IsIpAddress(const std::string& text);

/// The address and port on which a server listens.
struct SocketAddress {
  std::string address;
  uint16_t port = 0;
};

/// Splits a string at its last colon into an IP address and a port.
/// @return nothing if the address is not an IPv4 or IPv6 address, for example a host name, or the
/// port is not a number from 1 to 65535.
std::optional<SocketAddress> ParseSocketAddress(const std::string& text);

/// Returns whether a string consists of an IP address, a colon and a port.
bool IsSocketAddress(const std::string& text);

}  // namespace jd
