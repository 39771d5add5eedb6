#include "rpc/table_update.h"

#include <optional>
#include <vector>

#include "rpc/wire_integers.h"

namespace jd {
namespace {

std::vector<wire::WatchedRow> ToWire(const std::vector<WatchedRow>& in) {
  std::vector<wire::WatchedRow> out;
  out.reserve(in.size());
  for (const WatchedRow& row : in) {
    wire::WatchedRow& added = out.emplace_back();
    added.key = row.key;
    added.value = row.value;
    added.version = ToSigned(row.version);
    added.deleted = row.deleted;
    added.recalled = row.recalled;
  }
  return out;
}

std::vector<WatchedRow> FromWire(const std::vector<wire::WatchedRow>& in) {
  std::vector<WatchedRow> out;
  out.reserve(in.size());
  for (const wire::WatchedRow& row : in) {
    WatchedRow& added = out.emplace_back();
    added.key = row.key;
    added.value = row.value;
    added.version = ToUnsigned(row.version);
    added.deleted = row.deleted;
    added.recalled = row.recalled;
  }
  return out;
}

// A gateway of an earlier version does not know packed rows. It would take a snapshot without rows
// for an empty table.
bool IsPacked(const TableUpdate& update) {
  size_t bytes = 0;
  for (const WatchedRow& row : update.rows) {
    bytes += row.key.size() + row.value.size();
  }
  return !update.snapshot && bytes >= kMinPackedRowBytes;
}

// Replaces the rows by packed ones. A receiver that does not know them, or gets none because they
// are too large, sees that it has missed the changes before `position`.
void SetPackedRows(const TableUpdate& in, RowPacker* packer, wire::TableNews* out) {
  std::optional<wire::PackedRows> packed = packer->Pack(out->rows);
  out->rows.clear();
  out->after = out->version;
  out->after_era = out->era;
  if (packed) {
    packed->after = ToSigned(in.after.version);
    packed->after_era = ToSigned(in.after.era.value);
    out->__set_packed(*packed);
  } else {
    out->from_full_read = false;
  }
}

}  // namespace

wire::TableNews TableUpdateToWire(const TableUpdate& in, RowPacker* packer) {
  wire::TableNews out;
  out.table = in.table;
  out.after = ToSigned(in.after.version);
  out.after_era = ToSigned(in.after.era.value);
  out.version = ToSigned(in.position.version);
  out.era = ToSigned(in.position.era.value);
  out.rows = ToWire(in.rows);
  out.missing = in.missing;
  out.from_full_read = in.from_full_read;
  out.failed = in.failed;
  out.snapshot = in.snapshot;
  out.unconfirmed = in.unconfirmed;
  out.relay = in.relay;
  out.reader = in.reader.value;
  out.reader_zone = in.reader_zone.value;
  if (IsPacked(in)) {
    SetPackedRows(in, packer, &out);
  }
  return out;
}

TableUpdate TableUpdateFromWire(const wire::TableNews& in) {
  TableUpdate out;
  out.table = in.table;
  out.after = {StoreEra(ToUnsigned(in.after_era)), ToUnsigned(in.after)};
  out.position = {StoreEra(ToUnsigned(in.era)), ToUnsigned(in.version)};
  out.rows = FromWire(in.rows);
  if (in.__isset.packed) {
    out.after = {StoreEra(ToUnsigned(in.packed.after_era)), ToUnsigned(in.packed.after)};
    out.rows = FromWire(UnpackRows(in.packed));
  }
  out.missing = in.missing;
  out.from_full_read = in.from_full_read;
  out.failed = in.failed;
  out.snapshot = in.snapshot;
  out.unconfirmed = in.unconfirmed;
  out.relay = in.relay;
  out.reader = GatewayId(in.reader);
  out.reader_zone = ZoneId(in.reader_zone);
  return out;
}

}  // namespace jd
