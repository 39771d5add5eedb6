#pragma once

#include <string>

#include "common/table.h"
#include "common/vm_list.h"
#include "net/http_client.h"

namespace jd {

/// Returns the HTTP form of a table request.
HttpCall ToPlatformQuery(const TableRequest& request);

/// Returns whether the request may change the table.
bool IsWrite(const TableRequest& request);

/// Reads the answer to a table request. A write whose answer cannot be understood is unknown.
TableReply ReadTableReply(const TableRequest& request, int status, const std::string& body);

/// Returns the outcome of a table request that got no answer.
/// @param written a byte of the request may have reached the platform.
TableReply LostTableReply(const TableRequest& request, bool written);

/// Reads the answer to GET /vms. Entries with an unknown role or state are skipped.
/// @throws nlohmann::json::exception if it is malformed.
VmList ReadVmList(const std::string& body);

}  // namespace jd
