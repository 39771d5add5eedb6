#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "common/ids.h"
#include "common/units.h"

namespace jd {

/// The table row of a request key: the request that claimed the key and, once known, its response.
struct ClaimRow {
  std::string nonce;        ///< Unique to the call that claimed the key.
  Fingerprint fingerprint;  ///< Fingerprint of the request that claimed the key.
  WallTime claimed;         ///< When the key was claimed.
  bool done = false;        ///< The outcome is known; if false, the request may have run.
  int status = 0;
  std::string content_type;
  std::string body;
  bool body_kept = true;  ///< False if the response body was too large to store.

  std::string ToJson() const;
  /// Returns nothing if the value is malformed.
  static std::optional<ClaimRow> Parse(const std::string& value);
  bool operator==(const ClaimRow&) const = default;
};

}  // namespace jd
