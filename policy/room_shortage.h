#pragma once

#include <algorithm>
#include <map>

#include "common/units.h"
#include "policy/call_rank.h"

namespace jd {

/// Remembers which ranks of a service's calls found no free slot recently. Less urgent calls leave
/// room for them, because the slots that one gateway leaves free can be used by the others.
class RoomShortage {
 public:
  /// Time for which a call without a slot counts.
  static constexpr Duration kMemory = 500ms;

  /// Records that a call of this rank, which could still be answered by its target time, has found
  /// no slot.
  void Record(MonoTime now, const CallRank& rank) { last_[rank] = now; }
  /// Returns whether a call of a more urgent rank has found no slot recently.
  bool HasMoreUrgent(MonoTime now, const CallRank& rank) const {
    return AnyRecent(now, last_.upper_bound(rank));
  }
  /// Returns whether a call of any rank has found no slot recently.
  bool HasAny(MonoTime now) const { return AnyRecent(now, last_.begin()); }

 private:
  using Ranks = std::map<CallRank, MonoTime>;
  bool AnyRecent(MonoTime now, Ranks::const_iterator first) const {
    return std::any_of(first, last_.end(),
                       [&](const auto& entry) { return now - entry.second <= kMemory; });
  }

  Ranks last_;  ///< When a call of the rank last found no slot.
};

}  // namespace jd
