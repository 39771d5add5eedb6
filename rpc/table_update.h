#pragma once

#include "cluster/table_watch.h"
#include "jackdawdeck_types.h"
#include "rpc/packed_rows.h"

namespace jd {

/// Converts a table update to its message. Many rows are packed, and left out if they cannot be
/// packed small enough.
/// @param packer used by all updates.
wire::TableNews TableUpdateToWire(const TableUpdate& in, RowPacker* packer);

/// Converts a message to the table update.
/// @throws FrameError if it has packed rows that are damaged.
TableUpdate TableUpdateFromWire(const wire::TableNews& in);

}  // namespace jd
