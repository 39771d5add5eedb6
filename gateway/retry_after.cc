#include "gateway/retry_after.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <string_view>

namespace jd {
namespace {

constexpr std::string_view kHeader = "Retry-After";
constexpr size_t kMaxLoggedBytes = 64;
/// Longer times are shortened to this one, so that they fit a Duration.
constexpr double kLongestSeconds = 86'400;

std::optional<Duration> ParseSeconds(const std::string& text) {
  double seconds = 0;
  const char* end = text.data() + text.size();
  const auto [rest, error] = std::from_chars(text.data(), end, seconds, std::chars_format::fixed);
  const bool digits = error == std::errc() || error == std::errc::result_out_of_range;
  if (!digits || rest != end || std::isnan(seconds) || std::signbit(seconds)) {
    return std::nullopt;
  }
  if (error == std::errc::result_out_of_range || std::isinf(seconds)) {
    // "inf" is no decimal number; a number with too many digits is a long time.
    if (text.find_first_not_of("0123456789.") != std::string::npos) {
      return std::nullopt;
    }
    seconds = kLongestSeconds;
  }
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(std::min(seconds, kLongestSeconds)));
}

}  // namespace

RetryAfterHeader ParseRetryAfter(const HttpHeaders& headers) {
  RetryAfterHeader parsed;
  for (const auto& [name, value] : headers) {
    if (!EqualsIgnoreCase(name, kHeader)) {
      continue;
    }
    const std::optional<Duration> time = ParseSeconds(value);
    if (!time || (parsed.time && parsed.time != time)) {
      return {std::nullopt, "Retry-After=" + value.substr(0, kMaxLoggedBytes)};
    }
    parsed.time = time;
  }
  return parsed;
}

}  // namespace jd
