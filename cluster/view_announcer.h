#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "cluster/gateway_view.h"
#include "common/ids.h"
#include "common/units.h"

namespace jd {

/// The view that this gateway announces to its peers, and since when its support for the owners in
/// its former views has ended. See IssuerSupport for the other side.
///
/// A former owner no longer counts the support of this gateway once it has the view that takes the
/// support away, or if its process is leaving or has ended. One that may not have the view counts
/// it until `lifetime` after it sent the latest heartbeat that this gateway echoed.
class ViewAnnouncer {
 public:
  /// By how much the clocks of two gateways may differ within the lifetime of a support.
  static constexpr Duration kClockMargin = 50ms;

  /// @param lifetime of a support without heartbeats.
  explicit ViewAnnouncer(Duration lifetime) : lifetime_(lifetime) {}

  /// Notes when the process started. An owner may count the support of a former process until
  /// `lifetime` later, or until OnFormerProcessForgotten.
  void Start(MonoTime now) { former_until_ = now + lifetime_ + kClockMargin; }
  /// Notes that every gateway that may have counted the support of a former process has received a
  /// message of this one.
  void OnFormerProcessForgotten() { former_until_ = MonoTime::min(); }
  /// Makes the owner candidates the announced view.
  /// @param candidates ordered by id.
  /// @param last_heard when the latest heartbeats of the peers that may issue arrived.
  void SetCandidates(MonoTime now,
                     const std::vector<GatewayId>& candidates,
                     const std::map<GatewayId, MonoTime>& last_heard);
  /// Notes that a peer has received the view of this generation.
  /// @return whether the peer has let go of a support.
  bool OnEcho(const GatewayId& peer, uint64_t generation);
  /// Notes that the process of the peer that may count a support issues nothing any longer: it is
  /// leaving, or has ended.
  void OnStoppedIssuing(const GatewayId& peer);

  /// Ordered by id.
  const std::vector<GatewayId>& candidates() const { return candidates_; }
  const GatewayViewPtr& view() const { return view_; }
  /// Counts the views; 0: none was announced yet.
  uint64_t generation() const { return generation_; }
  /// Returns the latest generation for which the support for the owners in earlier views has ended.
  uint64_t Settled(MonoTime now) const;
  /// Returns the owners in views before the latest one that may still count a support, ordered.
  std::vector<GatewayHash> Unreleased(MonoTime now) const;

 private:
  /// A former owner that may still count the support of a view before `generation`.
  struct Release {
    GatewayId owner;
    uint64_t generation = 0;
    MonoTime until;
  };

  Duration lifetime_;
  MonoTime former_until_;  ///< Until when the support of a former process may be counted.
  std::vector<GatewayId> candidates_;
  GatewayViewPtr view_ = GatewayView::Of({});
  uint64_t generation_ = 0;
  std::vector<Release> releases_;
};

}  // namespace jd
