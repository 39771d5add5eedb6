#pragma once

#include <cstdint>
#include <string_view>

namespace jd {

/// Says whether a request may have been executed by an upstream.
enum class Verdict : uint8_t {
  kNotRun,      ///< No byte was written, or the upstream refused it before running.
  kMayHaveRun,  ///< The request was written and its outcome is unknown.
  kRan,         ///< The upstream answered.
};

/// Returns the text used in the `x-verdict` header.
constexpr std::string_view VerdictName(Verdict verdict) {
  switch (verdict) {
    case Verdict::kNotRun:
      return "not-run";
    case Verdict::kMayHaveRun:
      return "may-have-run";
    case Verdict::kRan:
      return "ran";
  }
  return "may-have-run";
}

/// Returns the less certain of two verdicts: a call that may have run in any attempt may have run.
constexpr Verdict Combine(Verdict a, Verdict b) {
  return a > b ? a : b;
}

}  // namespace jd
