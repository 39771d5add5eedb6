#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "cluster/config_keeper.h"
#include "cluster/config_writer.h"
#include "cluster/maintenance.h"
#include "cluster/node_settings.h"
#include "cluster/table_router.h"
#include "cluster/zone_control.h"
#include "common/now.h"

namespace jd {

/// The configuration side of a node: reads, writes and pushes versions, and derives the use of each
/// availability zone from them.
class NodeConfig {
 public:
  /// A message to one peer, or to every peer.
  struct Message {
    std::optional<GatewayId> to;
    PeerBody body;
  };
  struct Output {
    NodeActions* actions = nullptr;  ///< Receives the table calls.
    std::vector<Message> messages;
    std::vector<std::pair<uint64_t, WriteResult>> written;  ///< By operation.
    bool configuration_changed = false;
    bool zones_changed = false;
  };

  NodeConfig(const NodeSettings& settings, TableRouter* router);

  /// @param initial the configuration of the settings file; used only without a platform.
  void Start(Now now,
             ConfigurationPtr initial,
             const std::vector<GatewayId>& peers,
             Output* output);
  /// Puts a configuration in use that comes from elsewhere than the configuration log.
  void SetEmbedded(Now now, ConfigurationPtr configuration, Output* output);
  void OnTimer(Now now, Output* output);
  /// Takes an answer of the table for any client but kClaims.
  void OnTableReply(Now now,
                    const TableRouter::Origin& route,
                    const TableReply& reply,
                    Output* output);
  void OnEntries(Now now, const GatewayId& from, const ConfigEntries& entries, Output* output);
  void OnFetch(const GatewayId& from, const ConfigFetch& fetch, Output* output);
  void OnUnrecorded(Now now, const UnrecordedZone& decision, Output* output);
  void OnPeerVersion(Now now, const GatewayId& from, ConfigVersion version, Output* output);
  void OnZoneEvidence(const ZoneId& zone, const ZoneEvidence& evidence);

  /// Starts to record a change. @return the operation's number in Output::written.
  uint64_t Write(Now now, WriteRequest request, Duration timeout, Output* output);
  /// Takes a zone out without the table. @return false if it is out already.
  bool TakeOutUnrecorded(Now now,
                         const ZoneId& zone,
                         HybridTime decided,
                         const std::string& author,
                         Output* output);

  MonoTime next_timer() const;
  bool ready() const;
  ConfigurationPtr configuration() const;
  ConfigVersion version() const;
  const ConfigKeeper& keeper() const { return keeper_; }
  const ZoneControl& zones() const { return zones_; }
  const Lease& lease() const { return maintenance_.lease(); }
  bool has_platform() const { return has_platform_; }
  /// Number of the next Write, so that its answer can be awaited before it is started.
  uint64_t next_operation() const { return next_operation_; }

 private:
  void TakeKeeper(Now now, ConfigOutput from, Output* output);
  void TakeZones(Now now, const ZoneOutput& from, Output* output);
  void FinishWriter(Now now, uint64_t operation, Output* output);
  void Record(Now now, const UnrecordedZone& decision, Output* output);

  GatewayId self_;
  bool has_platform_;
  TableRouter* router_;
  ConfigurationPtr embedded_;
  ConfigKeeper keeper_;
  ZoneControl zones_;
  Maintenance maintenance_;
  RandomEngine random_;
  uint64_t next_operation_ = 1;
  std::map<uint64_t, std::unique_ptr<ConfigWriter>> writers_;
  std::map<ZoneId, uint64_t> recording_;  ///< Unrecorded zones whose writer is running.
};

}  // namespace jd
