#pragma once

#include <deque>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>

#include "common/units.h"
#include "standin/memory_table.h"

namespace jd {

/// Fault that the platform stand-in injects into the requests it receives.
enum class PlatformFault : uint8_t {
  kOk,            ///< No fault.
  kDown,          ///< Closes the connection without processing the request.
  kSlow,          ///< Processes the request and delays the answer.
  kLoseAnswer,    ///< Processes a write, then closes the connection without an answer.
  kRefuseWrites,  ///< Answers a write with 503 without processing it.
};

/// A gateway that is registered with the platform's balancer.
struct BalancerEntry {
  std::string id;
  std::string address;
  uint16_t port = 0;  ///< Port on which the gateway accepts callers.
  uint16_t status_port = 0;
  bool ready = false;  ///< Whether the latest readiness check passed.
};

/// The reply to one request to the platform. With `close`, the connection is closed without an
/// answer.
struct PlatformReply {
  int status = 200;
  nlohmann::json body;
  Duration delay{};
  bool close = false;
};

/// A request to the platform, with its decoded query parameters.
struct PlatformRequest {
  std::string method;
  std::string path;
  std::string body;
  std::string key;
  std::string prefix;
  std::string after;
  uint32_t limit = 100;
};

/// State and fault injection of the platform stand-in: table, objects, VM list and balancer list.
/// Does no I/O.
class PlatformModel {
 public:
  explicit PlatformModel(Duration vm_lag) : vm_lag_(vm_lag) {}

  /// Processes one request. A malformed request gets status 400.
  PlatformReply Handle(MonoTime now, const PlatformRequest& request);

  /// The registered gateways by id.
  std::map<std::string, BalancerEntry>& balancer() { return balancer_; }

 private:
  PlatformReply DispatchByPath(MonoTime now, const PlatformRequest& request);
  PlatformReply SetFault(const nlohmann::json& body);
  PlatformReply HandleTransaction(const nlohmann::json& body);
  PlatformReply HandleObject(const PlatformRequest& request);
  PlatformReply HandleBalancer(const PlatformRequest& request);
  PlatformReply HandleVmList(MonoTime now, const PlatformRequest& request);
  /// Returns the fault for the current data request. If the fault is limited to a number of
  /// requests, lowers that number.
  PlatformFault ConsumeFault(bool is_write);

  Duration vm_lag_;
  MemoryTable table_;
  std::map<std::string, std::string> objects_;
  std::map<std::string, BalancerEntry> balancer_;
  /// VM lists with the times from which they are visible, in order.
  std::deque<std::pair<MonoTime, nlohmann::json>> vm_changes_;
  nlohmann::json visible_vms_ = nlohmann::json::array();
  PlatformFault fault_ = PlatformFault::kOk;
  Duration fault_delay_{};
  int64_t faults_left_ = -1;  ///< Requests left to affect; if negative, no limit.
  uint64_t reads_ = 0;
  uint64_t writes_ = 0;
  uint64_t conflicts_ = 0;
  uint64_t faulted_requests_ = 0;  ///< Requests that a fault affected.
};

}  // namespace jd
