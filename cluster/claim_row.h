#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "common/ids.h"
#include "common/units.h"

namespace jd {

/// The row of a request key in the table.
struct ClaimRow {
  std::string nonce;        ///< Of the call that claimed the key.
  Fingerprint fingerprint;  ///< Of the request that claimed it.
  WallTime claimed;
  bool done = false;  ///< The outcome is known; else the request may have run.
  int status = 0;
  std::string content_type;
  std::string body;
  bool body_kept = true;  ///< False if the body was too large to store.

  std::string ToJson() const;
  /// Returns nothing if the value is malformed.
  static std::optional<ClaimRow> Parse(const std::string& value);
  bool operator==(const ClaimRow&) const = default;
};

}  // namespace jd
