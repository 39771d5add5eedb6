#include "gateway/header_rules.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>
#include <iterator>
#include <vector>

namespace jd {
namespace {

// Headers that are not forwarded: those of RFC 9110 section 7.6.1, and Expect, which the gateway
// answers itself.
constexpr std::array<std::string_view, 10> kHopByHop = {"connection",
                                                        "keep-alive",
                                                        "proxy-connection",
                                                        "proxy-authenticate",
                                                        "proxy-authorization",
                                                        "te",
                                                        "trailer",
                                                        "transfer-encoding",
                                                        "upgrade",
                                                        "expect"};

constexpr int64_t kMaxDeadlineMs = 24LL * 3600 * 1000;

std::string_view Trim(std::string_view text) {
  const size_t begin = text.find_first_not_of(" \t");
  if (begin == std::string_view::npos) {
    return {};
  }
  return text.substr(begin, text.find_last_not_of(" \t") - begin + 1);
}

void AppendTokens(std::string_view list, std::vector<std::string_view>* tokens) {
  while (!list.empty()) {
    const size_t comma = list.find(',');
    tokens->push_back(Trim(list.substr(0, comma)));
    list = comma == std::string_view::npos ? std::string_view() : list.substr(comma + 1);
  }
}

bool Contains(const std::vector<std::string_view>& names, std::string_view name) {
  return std::any_of(names.begin(), names.end(),
                     [name](std::string_view other) { return EqualsIgnoreCase(name, other); });
}

bool IsTokenCharacter(char c) {
  return std::isalnum(static_cast<unsigned char>(c)) != 0 ||
         std::string_view("!#$%&'*+-.^_`|~").find(c) != std::string_view::npos;
}

bool IsNumber(std::string_view text) {
  return !text.empty() && std::all_of(text.begin(), text.end(), [](char c) {
    return std::isdigit(static_cast<unsigned char>(c)) != 0;
  });
}

// Returns whether a path segment is "." or "..". The dots may be percent-encoded as "%2e".
bool IsDotSegment(std::string_view segment) {
  size_t dots = 0;
  while (!segment.empty()) {
    const bool encoded = segment.size() >= 3 && EqualsIgnoreCase(segment.substr(0, 3), "%2e");
    if (!encoded && segment[0] != '.') {
      return false;
    }
    segment.remove_prefix(encoded ? 3 : 1);
    ++dots;
  }
  return dots == 1 || dots == 2;
}

bool HasDotSegment(std::string_view target) {
  std::string_view path = target.substr(0, target.find_first_of("?#"));
  while (!path.empty()) {
    const size_t slash = path.find('/');
    if (IsDotSegment(path.substr(0, slash))) {
      return true;
    }
    path = slash == std::string_view::npos ? std::string_view() : path.substr(slash + 1);
  }
  return false;
}

}  // namespace

HttpHeaders EndToEndHeaders(const HttpHeaders& headers) {
  std::vector<std::string_view> dropped(kHopByHop.begin(), kHopByHop.end());
  dropped.emplace_back("content-length");
  for (const auto& [name, value] : headers) {
    if (EqualsIgnoreCase(name, "connection")) {
      AppendTokens(value, &dropped);
    }
  }
  HttpHeaders kept;
  std::copy_if(headers.begin(), headers.end(), std::back_inserter(kept),
               [&](const auto& header) { return !Contains(dropped, header.first); });
  return kept;
}

std::string FindRequestError(const HttpHeaders& headers, std::string_view target) {
  int lengths = 0;
  int encodings = 0;
  for (const auto& [name, value] : headers) {
    if (name.empty() || !std::all_of(name.begin(), name.end(), IsTokenCharacter)) {
      return "A header name has a character that is not allowed.";
    }
    if (EqualsIgnoreCase(name, "content-length")) {
      ++lengths;
      if (!IsNumber(value)) {
        return "Content-Length is not a whole number.";
      }
    } else if (EqualsIgnoreCase(name, "transfer-encoding")) {
      ++encodings;
      if (!EqualsIgnoreCase(Trim(value), "chunked")) {
        return "Only the transfer encoding 'chunked' is accepted.";
      }
    }
  }
  if (lengths + encodings > 1) {
    return "The length of the body is given more than once.";
  }
  // Otherwise a path could match a configured prefix of idempotent paths although it resolves to a
  // path outside that prefix.
  if (HasDotSegment(target)) {
    return "The path has a '.' or '..' segment.";
  }
  return {};
}

bool AnnouncesBody(const HttpHeaders& headers) {
  const std::string length = HeaderValue(headers, "Content-Length");
  return length.find_first_not_of('0') != std::string::npos ||
         FindHeader(headers, "Transfer-Encoding") != nullptr;
}

std::optional<Duration> ParseDeadline(std::string_view text) {
  int64_t milliseconds = 0;
  const char* end = text.data() + text.size();
  const auto [rest, error] = std::from_chars(text.data(), end, milliseconds);
  if (error != std::errc() || rest != end || milliseconds < 0 || milliseconds > kMaxDeadlineMs) {
    return std::nullopt;
  }
  return std::chrono::milliseconds(milliseconds);
}

}  // namespace jd
