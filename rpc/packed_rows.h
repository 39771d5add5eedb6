#pragma once

#include <cstddef>
#include <optional>
#include <vector>

#include "jackdawdeck_types.h"

namespace jd {

/// Rows that take fewer bytes are not packed.
inline constexpr size_t kMinPackedRowBytes = 1024;
/// Largest packed rows that are sent. More, to each gateway of a zone, would saturate a link of low
/// capacity.
inline constexpr size_t kMaxPackedBytes = 16'384;
/// Largest encoding of rows that is unpacked.
inline constexpr size_t kMaxUnpackedBytes = 1024 * 1024;

/// Compresses the rows of table updates. Rows of endpoints repeat the same names, so that they
/// become several times smaller. An update goes to many gateways, so the latest result is kept.
class RowPacker {
 public:
  /// @return `data` and `size`, or nothing if the result would exceed kMaxPackedBytes.
  const std::optional<wire::PackedRows>& Pack(const std::vector<wire::WatchedRow>& rows);
  /// Number of times that rows were compressed.
  int compressions() const { return compressions_; }

 private:
  std::vector<wire::WatchedRow> rows_;  ///< Those of the latest result.
  std::optional<wire::PackedRows> packed_;
  int compressions_ = 0;
};

/// Restores the rows that RowPacker compressed.
/// @throws FrameError if the data is damaged, or its size is not the stated one.
std::vector<wire::WatchedRow> UnpackRows(const wire::PackedRows& packed);

}  // namespace jd
