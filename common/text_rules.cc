#include "common/text_rules.h"

#include <arpa/inet.h>

#include <algorithm>
#include <array>
#include <cctype>
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

}  // namespace jd
