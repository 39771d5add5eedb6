#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

namespace jd {

/// Longest name of an object; names are part of table keys.
inline constexpr size_t kMaxNameLength = 128;

/// What IsName accepts, for messages and documentation.
inline constexpr const char* kNameRule =
    "a name of 1 to 128 letters, digits, '-', '_', '.' and '/'";

/// Returns whether a text may be the name of an object.
bool IsName(const std::string& text);

/// Returns whether a text is an IPv4 or IPv6 number.
bool IsIpNumber(const std::string& text);

/// Where a server listens.
struct SocketAddress {
  std::string address;
  uint16_t port = 0;
};

/// Splits a text at its last colon into an address, which may be of any form, and a port.
/// @return nothing if one of them is missing or the port is no number from 1 to 65535.
std::optional<SocketAddress> ParseSocketAddress(const std::string& text);

/// Returns whether a text is an IP number and a port with a colon between them.
bool IsSocketAddress(const std::string& text);

}  // namespace jd
