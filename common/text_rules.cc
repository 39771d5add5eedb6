#include "common/text_rules.h"

#include <arpa/inet.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>
#include <string_view>

namespace jd {

bool IsValidName(const std::string& text) {
  return !text.empty() && text.size() <= kMaxNameLength &&
         std::all_of(text.begin(), text.end(), [](char c) {
           return std::isalnum(static_cast<unsigned char>(c)) != 0 ||
                  std::string_view("-_./").find(c) != std::string_view::npos;
         });
}

bool IsIpAddress(const std::string& text) {
  std::array<unsigned char, sizeof(in6_addr)> bytes{};
  return inet_pton(AF_INET, text.c_str(), bytes.data()) == 1 ||
         inet_pton(AF_INET6, text.c_str(), bytes.data()) == 1;
}

std::optional<SocketAddress> ParseSocketAddress(const std::string& text) {
  const size_t colon = text.rfind(':');
  if (colon == std::string::npos) {
    return std::nullopt;
  }
  SocketAddress parsed;
  parsed.address = text.substr(0, colon);
  if (!IsIpAddress(parsed.address)) {
    return std::nullopt;
  }
  const char* end = text.data() + text.size();
  const auto [rest, error] = std::from_chars(text.data() + colon + 1, end, parsed.port);
  if (error != std::errc() || rest != end || parsed.port == 0) {
    return std::nullopt;
  }
  return parsed;
}

bool IsSocketAddress(const std::string& text) {
  return ParseSocketAddress(text).has_value();
}

}  // namespace jd
