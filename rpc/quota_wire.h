#pragma once

#include "jackdawdeck_types.h"
#include "policy/quota_message.h"

namespace jd {

wire::QuotaRequest QuotaRequestToWire(const QuotaRequest& request);
/// @throws FrameError if a number is out of range.
QuotaRequest QuotaRequestFromWire(const wire::QuotaRequest& request);
wire::QuotaGrant QuotaGrantToWire(const QuotaGrant& grant);
/// @throws FrameError if a number is out of range.
QuotaGrant QuotaGrantFromWire(const wire::QuotaGrant& grant);

}  // namespace jd
