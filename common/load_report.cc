#include "common/load_report.h"

#include <charconv>
#include <string_view>
#include <utility>

namespace jd {
namespace {

// A header with a larger count is treated as malformed.
constexpr int32_t kMaxCount = 1'000'000;

bool ParseCount(std::string_view text, int32_t* out) {
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), *out);
  return error == std::errc() && end == text.data() + text.size() && *out >= 0 && *out <= kMaxCount;
}

bool ParseState(std::string_view text, EndpointState* out) {
  if (text == "cold") {
    *out = EndpointState::kCold;
  } else if (text == "warm") {
    *out = EndpointState::kWarm;
  } else if (text == "draining") {
    *out = EndpointState::kDraining;
  } else {
    return false;
  }
  return true;
}

bool ParseField(std::string_view field, LoadReport* report, bool* has_in_flight) {
  const size_t equals = field.find('=');
  if (equals == std::string_view::npos) {
    return false;
  }
  const std::string_view name = field.substr(0, equals);
  const std::string_view value = field.substr(equals + 1);
  if (name == "in-flight") {
    *has_in_flight = true;
    return ParseCount(value, &report->in_flight);
  }
  if (name == "slots") {
    return ParseCount(value, &report->slots);
  }
  if (name == "state") {
    return ParseState(value, &report->state);
  }
  return true;  // Fields added by newer upstreams are ignored.
}

}  // namespace

std::optional<LoadReport> ParseLoadReport(const std::string& text, InstanceId instance) {
  LoadReport report;
  report.instance = std::move(instance);
  bool has_in_flight = false;
  std::string_view rest = text;
  while (!rest.empty()) {
    const size_t end = rest.find(';');
    if (!ParseField(rest.substr(0, end), &report, &has_in_flight)) {
      return std::nullopt;
    }
    rest = end == std::string_view::npos ? std::string_view() : rest.substr(end + 1);
  }
  if (!has_in_flight) {
    return std::nullopt;
  }
  return report;
}

std::string FormatLoadReport(const LoadReport& report) {
  const char* state = report.state == EndpointState::kCold       ? "cold"
                      : report.state == EndpointState::kDraining ? "draining"
                                                                 : "warm";
  return "in-flight=" + std::to_string(report.in_flight) +
         ";slots=" + std::to_string(report.slots) + ";state=" + state;
}

}  // namespace jd
