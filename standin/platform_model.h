#pragma once

#include <deque>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>

#include "common/units.h"
#include "standin/memory_table.h"

namespace jd {

enum class PlatformFault : uint8_t { kOk, kDown, kSlow, kLoseAnswer, kRefuseWrites };

/// A gateway as registered with the platform's balancer.
struct BalancerEntry {
  std::string id;
  std::string address;
  uint16_t port = 0;  ///< Callers' port.
  uint16_t status_port = 0;
  bool ready = false;
};

/// A reply to one platform request. `close` drops the connection without an answer.
struct StandinReply {
  int status = 200;
  nlohmann::json body;
  Duration delay{};
  bool close = false;
};

struct StandinQuery {
  std::string method;
  std::string path;
  std::string body;
  std::string key;
  std::string prefix;
  std::string after;
  uint32_t limit = 100;
};

/// State and faults of the platform stand-in, apart from I/O.
class PlatformModel {
 public:
  explicit PlatformModel(Duration vm_lag) : vm_lag_(vm_lag) {}

  /// Answers one request. Malformed requests get 400.
  StandinReply Handle(MonoTime now, const StandinQuery& query);

  std::map<std::string, BalancerEntry>& balancer() { return balancer_; }

 private:
  StandinReply Route(MonoTime now, const StandinQuery& query);
  StandinReply SetFault(const nlohmann::json& body);
  StandinReply Transact(const nlohmann::json& body);
  StandinReply Object(const StandinQuery& query);
  StandinReply Balancer(const StandinQuery& query);
  StandinReply Vms(MonoTime now, const StandinQuery& query);
  /// Fault that the next data request meets; consumes one of a counted fault.
  PlatformFault TakeFault(bool is_write);

  Duration vm_lag_;
  MemoryTable table_;
  std::map<std::string, std::string> objects_;
  std::map<std::string, BalancerEntry> balancer_;
  std::deque<std::pair<MonoTime, nlohmann::json>> vm_changes_;  ///< Due time, list; in order.
  nlohmann::json visible_vms_ = nlohmann::json::array();
  PlatformFault fault_ = PlatformFault::kOk;
  Duration fault_delay_{};
  int64_t fault_count_ = -1;  ///< Requests still affected; negative: until changed.
  uint64_t reads_ = 0;
  uint64_t writes_ = 0;
  uint64_t conflicts_ = 0;
  uint64_t faulted_ = 0;
};

}  // namespace jd
