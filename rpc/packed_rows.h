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

/// Compresses the rows of a table update. Rows of endpoints repeat the same names, so that they
/// become several times smaller.
/// @return `data` and `size`, or nothing if the result would exceed kMaxPackedBytes.
std::optional<wire::PackedRows> PackRows(const std::vector<wire::WatchedRow>& rows);

/// Restores the rows that PackRows compressed.
/// @throws FrameError if the data is damaged, or its size is not the stated one.
std::vector<wire::WatchedRow> UnpackRows(const wire::PackedRows& packed);

}  // namespace jd
