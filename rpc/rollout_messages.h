#pragma once

#include "cluster/rollout_message.h"
#include "jackdawdeck_types.h"

namespace jd {

// Conversions of the messages about roll-outs. The functions ...FromWire throw FrameError if a
// value is out of range.
wire::VersionEvidence VersionEvidenceToWire(const VersionEvidence& in);
VersionEvidence VersionEvidenceFromWire(const wire::VersionEvidence& in);
wire::RolloutNotice RolloutNoticeToWire(const RolloutNotice& in);
RolloutNotice RolloutNoticeFromWire(const wire::RolloutNotice& in);

}  // namespace jd
