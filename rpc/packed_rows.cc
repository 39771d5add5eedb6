#include "rpc/packed_rows.h"

#include <zlib.h>

#include <cstdint>
#include <string>
#include <utility>

#include "rpc/compact_codec.h"
#include "rpc/frame.h"

namespace jd {
namespace {

std::optional<wire::PackedRows> CompressRows(const std::vector<wire::WatchedRow>& rows) {
  wire::RowList list;
  list.rows = rows;
  const std::string encoded = EncodeCompact(list);
  std::string data(kMaxPackedBytes, '\0');
  uLongf size = data.size();
  // Fails if the result is longer than `data`.
  const int result =
      compress2(reinterpret_cast<Bytef*>(data.data()), &size,
                reinterpret_cast<const Bytef*>(encoded.data()), encoded.size(), Z_BEST_SPEED);
  if (encoded.size() > kMaxUnpackedBytes || result != Z_OK) {
    return std::nullopt;
  }
  data.resize(size);
  wire::PackedRows packed;
  packed.size = static_cast<int32_t>(encoded.size());
  packed.data = std::move(data);
  return packed;
}

}  // namespace

const std::optional<wire::PackedRows>& RowPacker::Pack(const std::vector<wire::WatchedRow>& rows) {
  if (compressions_ == 0 || rows != rows_) {
    ++compressions_;
    rows_ = rows;
    packed_ = CompressRows(rows);
  }
  return packed_;
}

std::vector<wire::WatchedRow> UnpackRows(const wire::PackedRows& packed) {
  if (packed.size < 0 || static_cast<size_t>(packed.size) > kMaxUnpackedBytes) {
    throw FrameError("packed rows of " + std::to_string(packed.size) + " bytes");
  }
  std::string encoded(static_cast<size_t>(packed.size), '\0');
  uLongf size = encoded.size();
  const int result =
      uncompress(reinterpret_cast<Bytef*>(encoded.data()), &size,
                 reinterpret_cast<const Bytef*>(packed.data.data()), packed.data.size());
  if (result != Z_OK || size != encoded.size()) {
    throw FrameError("damaged packed rows");
  }
  return DecodeCompact<wire::RowList>(encoded.data(), encoded.size()).rows;
}

}  // namespace jd
