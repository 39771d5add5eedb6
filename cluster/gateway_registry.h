#pragma once

#include <cstdint>
#include <optional>

#include "common/random.h"
#include "common/units.h"
#include "common/vm_list.h"

namespace jd {

/// Registers this gateway in a table of the platform's store and reads the list of registered
/// gateways. A gateway announces itself to the gateways that it finds.
///
/// In a new deployment, where all gateways start at about the same time, a gateway writes its own
/// row before it reads the list, so that of two gateways at least one finds the other. After a
/// restart the row is still there, so a gateway first asks the peers that it hears for the list,
/// then reads it, and writes its row only if the row is missing. The reads are spread over time,
/// and a gateway that has read the list passes it on, so that few of the gateways that start at the
/// same time read it.
class GatewayRegistry {
 public:
  enum class Call : uint8_t { kRead, kWrite, kAskPeers };

  /// Delay between the write and the read of the list, within which other gateways that started at
  /// the same time have written their rows too.
  static constexpr Duration kReadDelay = 700ms;
  /// The first read of the list is delayed further by a random time up to this.
  static constexpr Duration kReadSpread = 1500ms;
  /// How long a gateway waits for the list of a peer before it reads the list itself.
  static constexpr Duration kPeerReplyTimeout = 300ms;
  static constexpr Duration kRetryDelay = 1s;

  /// @param new_deployment whether all gateways start for the first time.
  /// @param seed of the random delays.
  GatewayRegistry(Vm self, bool new_deployment, uint64_t seed);

  /// Schedules the first call. Must be called before the other functions.
  void Start(MonoTime now);
  /// Returns the call to make now, if one is due. The caller must report its result with one of the
  /// functions below; kAskPeers has no result.
  std::optional<Call> NextCall(MonoTime now);
  void OnGatewayList(MonoTime now, VmList gateways);
  /// Takes the list that a peer has read, which replaces the first own read. A list without this
  /// gateway was read too early and is ignored.
  /// @return whether the list was taken.
  bool OnPeerList(VmList gateways);
  void OnRowWritten(MonoTime now);
  void OnCallFailed(MonoTime now);
  /// Returns when NextCall is due.
  std::optional<MonoTime> next_timer() const;

  const Vm& self() const { return self_; }
  /// The gateways in the latest list read, including this one if it was listed.
  const VmList& gateways() const { return gateways_; }
  bool new_deployment() const { return new_deployment_; }

 private:
  bool Lists(const VmList& gateways) const;
  Duration RandomSpread();

  Vm self_;
  bool new_deployment_;
  RandomEngine random_;
  VmList gateways_;
  std::optional<MonoTime> due_;
  Call next_call_ = Call::kWrite;
};

}  // namespace jd
