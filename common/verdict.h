#pragma once

#include <cstdint>
#include <string_view>

namespace jd {

/// Whether a request was executed by an upstream.
enum class Verdict : uint8_t {
  kNotRun,      ///< Nothing was written, or the upstream refused the request without running it.
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

/// Returns the verdict of a call with two attempts: kRan if either attempt ran the request,
/// otherwise kMayHaveRun if either attempt may have run it.
constexpr Verdict CombineVerdicts(Verdict a, Verdict b) {
  return a > b ? a : b;
}

}  // namespace jd
