#pragma once

#include <string>

#include "common/table.h"
#include "common/vm_list.h"
#include "net/http_client.h"

namespace jd {

/// Returns the HTTP request that carries out a table request.
HttpCall ToHttpCall(const TableRequest& request);

/// Returns whether the request may change the table.
bool IsWrite(const TableRequest& request);

/// Parses the platform's response to a table request. A write whose response is malformed is
/// reported as TableStatus::kUnknown, because the write may have taken effect. A malformed response
/// with status 409 (conflict) is reported as TableStatus::kUnavailable, because nothing was
/// written.
/// @param status HTTP status of the response.
TableReply ParseTableReply(const TableRequest& request, int status, const std::string& body);

/// Returns the reply for a table request that failed or got no usable response.
/// @param may_have_run whether the platform may have carried out the request, for example because a
/// byte of it may have reached the platform.
/// @return TableStatus::kUnknown for a write that may have run, otherwise
/// TableStatus::kUnavailable.
TableReply FailedTableReply(const TableRequest& request, bool may_have_run);

/// Parses the body of the response to GET /vms. Entries with an unknown role or state are skipped.
/// @throws nlohmann::json::exception if the body is malformed.
VmList ParseVmList(const std::string& body);

}  // namespace jd
