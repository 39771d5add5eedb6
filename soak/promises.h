#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "common/units.h"

namespace jd {

/// A request as a caller sent it.
struct SoakRequest {
  std::string id;
  std::string gateway;
  bool idempotent = false;
  Duration limit{0};           ///< Longest time until its final answer.
  uint64_t route_version = 0;  ///< Configuration that alone has its route; 0 for a lasting route.
};

/// What a caller got. A connection that ended without an answer has status 0.
struct SoakAnswer {
  int status = 0;
  std::string request;  ///< Echoed id.
  std::string stamp;    ///< Of the upstream that ran it.
  std::string body;
};

/// Checks, from what callers, upstreams and operators see, what the gateways promise. Rules with a
/// time bind a gateway only if nothing was done to it and to the store for kCalm.
class Promises {
 public:
  static constexpr Duration kCalm = 3s;
  static constexpr Duration kLeavingBound = 2s;
  static constexpr Duration kZoneOutBound = 5s;
  static constexpr Duration kConfigurationBound = 2s;
  static constexpr Duration kLateBound = 500ms;
  static constexpr Duration kRecovery = 15s;

  void OnSent(MonoTime now, const SoakRequest& request);
  void OnAnswer(MonoTime now, const std::string& id, const SoakAnswer& answer);
  /// A request arrived at an endpoint, which runs it or refuses it.
  void OnArrival(MonoTime now,
                 const std::string& id,
                 const std::string& endpoint,
                 const std::string& zone,
                 bool runs);
  /// An endpoint announced that it leaves, or is gone from the list.
  void OnLeaving(MonoTime now, const std::string& endpoint);
  void OnZone(MonoTime now, const std::string& zone, bool out);
  /// Bytes to an endpoint may be held up until some time.
  void OnLinkHarmed(const std::string& endpoint, MonoTime until) { harmed_[endpoint] = until; }
  /// The store has taken a configuration of this version.
  void OnConfiguration(MonoTime now, uint64_t version);
  /// Something is done to a gateway until OnGatewayCalm.
  void OnGatewayDisturbed(MonoTime now, const std::string& gateway, bool cuts_requests);
  void OnGatewayCalm(MonoTime now, const std::string& gateway);
  void OnStoreDisturbed(MonoTime now, bool disturbed);
  /// The last fault has ended.
  void OnAllCalm(MonoTime now) { all_calm_ = now; }
  /// Something happened that no promise allows.
  void Report(const std::string& violation) { violations_.push_back(violation); }
  /// Ends the run and checks what only its end tells.
  void Finish(MonoTime now);

  const std::vector<std::string>& violations() const { return violations_; }
  size_t sent() const { return requests_.size(); }
  size_t served() const { return served_; }
  size_t refused() const { return refused_; }

 private:
  struct Request {
    SoakRequest sent;
    MonoTime at;
    int runs = 0;
    std::optional<SoakAnswer> answer;
    std::string stamp;  ///< Of the latest run.
  };
  /// When a gateway or the store was last disturbed; unset while it is.
  struct Calm {
    std::optional<MonoTime> since = MonoTime();
    bool cuts_requests = false;
    MonoTime cut;  ///< Latest time at which a disturbance may have cut requests.
  };

  static bool IsCalm(const Calm& calm, MonoTime now);
  bool InTouch(const std::string& gateway, MonoTime now) const;
  void CheckLeaving(MonoTime now, const Request& request, const std::string& endpoint);
  void CheckZone(MonoTime now, const Request& request, const std::string& zone);
  void CheckRoute(MonoTime now, const Request& request, const SoakAnswer& answer);
  void CheckLost(MonoTime now, const Request& request);
  void Violate(MonoTime now, const char* promise, const Request& request, const std::string& what);

  std::map<std::string, Request> requests_;
  std::map<std::string, MonoTime> leaving_;
  std::map<std::string, MonoTime> zones_out_;
  std::map<std::string, MonoTime> harmed_;
  std::map<std::string, Calm> gateways_;
  Calm store_;
  std::map<uint64_t, MonoTime> configurations_;  ///< When each version was taken.
  std::optional<MonoTime> all_calm_;
  size_t served_ = 0;
  size_t refused_ = 0;
  size_t last_sent_ = 0;    ///< Requests after the time to recover.
  size_t last_served_ = 0;  ///< Of these.
  std::vector<std::string> violations_;
};

}  // namespace jd
