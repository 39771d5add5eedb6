#include "common/text_rules.h"

#include <arpa/inet.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>
#include <cstdint>
#include <string_view>

namespace jd {

bool IsName(const std::string& text) {
  return !text.empty() && text.size() <= kMaxNameLength &&
         std::all_of(text.begin(), text.end(), [](char c) {
           return std::isalnum(static_cast<unsigned char>(c)) != 0 ||
                  std::string_view("-_./").find(c) != std::string_view::npos;
         });
}

bool IsIpNumber(const std::string& text) {
  std::array<unsigned char, sizeof(in6_addr)> bytes{};
  return inet_pton(AF_INET, text.c_str(), bytes.data()) == 1 ||
         inet_pton(AF_INET6, text.c_str(), bytes.data()) == 1;
}

bool IsSocketAddress(const std::string& text) {
  const size_t colon = text.rfind(':');
  if (colon == std::string::npos || !IsIpNumber(text.substr(0, colon))) {
    return false;
  }
  uint16_t port = 0;
  const char* end = text.data() + text.size();
  const auto [rest, error] = std::from_chars(text.data() + colon + 1, end, port);
  return error == std::errc() && rest == end && port > 0;
}

}  // namespace jd
