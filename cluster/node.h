#pragma once

#include <optional>
#include <string>

#include "cluster/node_action.h"
#include "cluster/node_settings.h"
#include "common/configuration.h"
#include "common/now.h"
#include "common/vm_list.h"
#include "policy/dispatcher.h"
#include "policy/local_slots.h"

namespace jd {

/// The answer of an endpoint's health page.
struct ProbeResult {
  EndpointId endpoint;
  bool answered = false;
  int status = 0;
  Duration latency{0};
  std::optional<LoadReport> report;
};

/// All decisions of one gateway. The event loop passes every event in with the present time and
/// carries out the actions that are appended; nothing else crosses this interface.
class Node {
 public:
  explicit Node(NodeSettings settings);

  /// Starts the node; `initial` is the configuration of the settings file, or null.
  void Start(Now now, ConfigurationPtr initial, NodeActions* actions);

  void OnCall(Now now, const CallRequest& request, NodeActions* actions);
  void OnCallerGone(Now now, CallId call, NodeActions* actions);
  void OnAttemptResult(Now now, const AttemptResult& result, NodeActions* actions);
  void OnPeerMessage(Now now, const PeerMessage& message, NodeActions* actions);
  void OnTableReply(Now now, uint64_t id, const TableReply& reply, NodeActions* actions);
  void OnVmList(Now now, const VmList& vms, NodeActions* actions);
  void OnProbeResult(Now now, const ProbeResult& result, NodeActions* actions);
  void OnOperatorRequest(Now now, const OperatorRequest& request, NodeActions* actions);
  void OnTimer(Now now, NodeActions* actions);
  /// Begins a graceful stop: new calls are refused, calls in flight go on, slots and pools are
  /// handed over. The process may exit once drained() holds.
  void OnStop(Now now, NodeActions* actions);

  std::optional<MonoTime> next_timer() const;
  /// The platform's balancer may send calls here.
  bool ready() const;
  bool drained() const;
  /// The configuration in use, or null.
  ConfigurationPtr configuration() const { return configuration_; }
  const NodeSettings& settings() const { return settings_; }
  size_t calls() const { return dispatcher_.calls(); }

 private:
  void Append(const CallActions& from, NodeActions* to);

  NodeSettings settings_;
  LocalSlots policy_;
  Dispatcher<LocalSlots> dispatcher_;
  ConfigurationPtr configuration_;
  bool stopping_ = false;
};

}  // namespace jd
