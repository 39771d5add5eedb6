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

/// A request that a caller sent.
struct SoakRequest {
  std::string id;
  std::string gateway;
  bool idempotent = false;
  Duration timeout{0};         ///< Longest allowed time until the final answer.
  uint64_t route_version = 0;  ///< The only configuration version with its route; 0 if all have it.
};

/// The answer that a caller received. Status 0: the connection ended without an answer.
struct SoakAnswer {
  int status = 0;
  std::string request_id;  ///< Request id that the answer echoes.
  std::string stamp;       ///< Identifies the upstream server and its execution of the request.
  std::string body;
};

/// Checks the guarantees of the gateways against what callers, upstreams and operators observe.
/// Guarantees with a time limit are checked only for gateways that, like the store, have had no
/// fault for kSettlingTime.
class GuaranteeChecker {
 public:
  /// Time without faults after which guarantees with a time limit hold again.
  static constexpr Duration kSettlingTime = 3s;
  /// A leaving endpoint gets no more requests after this time.
  static constexpr Duration kMaxLeavingDelay = 2s;
  /// A zone that is taken out gets no more requests after this time.
  static constexpr Duration kMaxZoneOutDelay = 5s;
  /// A configuration that the store has accepted is in force after this time.
  static constexpr Duration kMaxConfigurationDelay = 2s;
  /// A limit that an endpoint names holds after this time, in every window of kLimitWindow.
  static constexpr Duration kMaxLimitDelay = 3s;
  static constexpr Duration kLimitWindow = 4s;
  /// An endpoint that wants nothing gets at most kMaxRequestsWhileUnwanted from each gateway after
  /// this time from its first answer to that gateway.
  static constexpr Duration kMaxWantsNothingDelay = 500ms;
  static constexpr int kMaxRequestsWhileUnwanted = 2;
  /// Tolerated delay of an answer beyond the timeout of its request.
  static constexpr Duration kAnswerTolerance = 500ms;
  /// Time after the last fault after which requests must be served again.
  static constexpr Duration kRecoveryTime = 15s;

  /// A caller sent a request.
  void OnRequestSent(MonoTime now, const SoakRequest& request);
  /// A caller received an answer, or its connection ended without one (status 0).
  void OnAnswer(MonoTime now, const std::string& id, const SoakAnswer& answer);
  /// A request arrived at an endpoint.
  /// @param runs whether the endpoint executes the request; otherwise it refuses it.
  void OnRequestArrived(MonoTime now,
                        const std::string& id,
                        const std::string& endpoint,
                        const std::string& zone,
                        bool runs);
  /// An endpoint announced that it leaves, or its row was removed from the store.
  void OnEndpointLeaving(MonoTime now, const std::string& endpoint);
  /// An endpoint names a limit, in requests per second from all gateways together, or no longer
  /// names one.
  void OnLimitNamed(MonoTime now, const std::string& endpoint, std::optional<double> limit);
  /// An endpoint says in each answer from now on that it leaves.
  void OnLeavingStated(const std::string& endpoint);
  /// An endpoint answers each request with the time until it wants requests again.
  void OnWantsNothing(const std::string& endpoint, MonoTime until);
  /// An operator took a zone out of service or brought it back in.
  void OnZoneChanged(MonoTime now, const std::string& zone, bool out);
  /// The link to an endpoint may delay or lose bytes until `until`.
  void OnEndpointLinkFault(const std::string& endpoint, MonoTime until) {
    link_faults_until_[endpoint] = until;
  }
  /// The store accepted a configuration of this version.
  void OnConfigurationAccepted(MonoTime now, uint64_t version);
  /// A fault of a gateway starts; the gateway counts as faulty until OnGatewayFaultsEnded.
  /// @param interrupts_requests whether the fault may end connections with unanswered requests.
  void OnGatewayFaulty(MonoTime now, const std::string& gateway, bool interrupts_requests);
  /// The last active fault of a gateway has ended.
  void OnGatewayFaultsEnded(MonoTime now, const std::string& gateway);
  /// The store became faulty, or its last active fault has ended.
  void SetStoreFaulty(MonoTime now, bool faulty);
  /// The last fault of the run has ended.
  void OnAllFaultsEnded(MonoTime now) { all_faults_ended_ = now; }
  /// Records a violation that the caller of this function detected.
  void ReportViolation(const std::string& violation) { violations_.push_back(violation); }
  /// Ends the run: checks that every overdue request was answered and that requests are
  /// served again after the faults.
  void Finish(MonoTime now);

  const std::vector<std::string>& violations() const { return violations_; }
  size_t sent() const { return requests_.size(); }
  size_t served() const { return served_; }
  size_t refused() const { return refused_; }

 private:
  struct Request {
    SoakRequest sent;
    MonoTime sent_at;
    int runs = 0;  ///< Number of executions at endpoints.
    std::optional<SoakAnswer> answer;
  };
  /// Faults of a gateway or of the store.
  struct FaultState {
    /// End of the last fault; unset during a fault.
    std::optional<MonoTime> last_fault_end = MonoTime();
    /// A current fault may end connections with unanswered requests.
    bool interrupts_requests = false;
    /// Latest time at which a fault may have ended such connections.
    MonoTime last_interruption;
  };

  /// The limit that an endpoint names.
  struct NamedLimit {
    double per_second = 0;
    MonoTime named_at;
    std::deque<MonoTime> arrivals;  ///< In the latest window.
  };

  /// What an endpoint says in its answers, and when each gateway first got one.
  struct Statement {
    bool leaving = false;
    MonoTime wants_nothing_until;
    std::map<std::string, MonoTime> told;
    std::map<std::string, int> late;  ///< Requests of each gateway that it must not have sent.
  };

  static bool IsSettled(const FaultState& state, MonoTime now);
  bool GatewayAndStoreSettled(const std::string& gateway, MonoTime now) const;
  void CheckLeaving(MonoTime now, const Request& request, const std::string& endpoint);
  void CheckZone(MonoTime now, const Request& request, const std::string& zone);
  void CheckLimit(MonoTime now, const Request& request, const std::string& endpoint);
  /// Checks the request against what the endpoint has said in answers to the same gateway.
  void CheckStatement(MonoTime now, const Request& request, const std::string& endpoint);
  void CheckConfiguration(MonoTime now, const Request& request, const SoakAnswer& answer);
  void CheckConnectionLoss(MonoTime now, const Request& request);
  void AddViolation(MonoTime now,
                    const char* guarantee,
                    const Request& request,
                    const std::string& what);

  std::map<std::string, Request> requests_;
  std::map<std::string, MonoTime> leaving_since_;
  std::map<std::string, MonoTime> zones_out_;
  std::map<std::string, NamedLimit> limits_;
  std::map<std::string, Statement> statements_;
  std::map<std::string, MonoTime> link_faults_until_;
  std::map<std::string, FaultState> gateways_;
  FaultState store_;
  std::map<uint64_t, MonoTime> configurations_;  ///< When the store accepted each version.
  std::optional<MonoTime> all_faults_ended_;
  size_t served_ = 0;
  size_t refused_ = 0;
  size_t sent_after_recovery_ = 0;    ///< Answered requests that were sent after kRecoveryTime.
  size_t served_after_recovery_ = 0;  ///< Those of sent_after_recovery_ that were served.
  std::vector<std::string> violations_;
};

}  // namespace jd
