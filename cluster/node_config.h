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

/// Manages the configuration of a node: reads versions from the platform's table and from peers,
/// writes new versions, pushes them to peers, and derives from them how each availability zone may
/// be used.
class NodeConfig {
 public:
  /// A message to one peer, or to every peer.
  struct Message {
    std::optional<GatewayId> to;
    PeerBody body;
  };
  /// The effects that the caller must carry out.
  struct Output {
    NodeActions* actions = nullptr;  ///< Receives the table calls.
    std::vector<Message> messages;
    /// Operation number and result of each write that has finished.
    std::vector<std::pair<uint64_t, WriteResult>> finished_writes;
    bool configuration_changed = false;
    bool zones_changed = false;  ///< The use of at least one zone changed.
  };

  /// @param router routes the table calls; must outlive this object.
  NodeConfig(const NodeSettings& settings, TableRouter* router);

  /// Starts to read the configuration.
  /// @param initial the configuration from the settings file; used only without a platform.
  /// @param peers the peers to ask for their configuration.
  void Start(Now now,
             ConfigurationPtr initial,
             const std::vector<GatewayId>& peers,
             Output* output);
  /// Applies a configuration that does not come from the configuration log of the table, but from
  /// the settings file or from discovery.
  void SetExternalConfiguration(Now now, ConfigurationPtr configuration, Output* output);
  void OnTimer(Now now, Output* output);
  /// Passes a reply of the table to the client that made the call. The client must not be kClaims.
  void OnTableReply(Now now,
                    const TableRouter::Origin& origin,
                    const TableReply& reply,
                    Output* output);
  /// Applies configuration entries received from a peer.
  void OnConfigEntries(Now now,
                       const GatewayId& from,
                       const ConfigEntries& entries,
                       Output* output);
  /// Answers a peer's request for configuration entries.
  void OnConfigFetch(const GatewayId& from, const ConfigFetch& fetch, Output* output);
  /// Applies a zone decision that a peer has received or made during a store outage.
  void OnUnrecordedZone(Now now, const UnrecordedZone& decision, Output* output);
  /// Compares the version in a peer's heartbeat with the version in use, and fetches the newer
  /// entries if the peer is ahead.
  void OnPeerVersion(Now now, const GatewayId& from, ConfigVersion version, Output* output);
  /// Adds outcomes of calls to the endpoints of a zone. While the zone returns to service, they
  /// decide how its ramp advances.
  void OnZoneEvidence(const ZoneId& zone, const ZoneEvidence& evidence);

  /// Starts to write a change to the configuration log.
  /// @param timeout time after which the write fails with an unknown result.
  /// @return the number of the operation, under which Output::finished_writes later holds the
  /// result.
  uint64_t StartWrite(Now now, WriteRequest request, Duration timeout, Output* output);
  /// Takes a zone out of service without writing to the table. Used during a store outage.
  /// @return false if the zone is out of service already.
  bool TakeZoneOutUnrecorded(Now now,
                             const ZoneId& zone,
                             HybridTime decided,
                             const std::string& author,
                             Output* output);

  MonoTime next_timer() const;
  /// Returns whether calls can be served: with a platform, once the newest version that the table
  /// or, during its outage, the peers had is in use; without one, once a configuration is set.
  bool ready() const;
  /// Returns the configuration in use, or null.
  ConfigurationPtr configuration() const;
  /// Returns the version of the configuration in use, or 0.
  ConfigVersion version() const;
  const ConfigKeeper& keeper() const { return keeper_; }
  const ZoneControl& zones() const { return zones_; }
  const Lease& lease() const { return maintenance_.lease(); }
  bool has_platform() const { return has_platform_; }
  /// Returns the number that the next call of StartWrite will return, so that a caller can register
  /// for the result before it starts the write.
  uint64_t next_operation() const { return next_operation_; }

 private:
  void ApplyKeeperOutput(Now now, ConfigOutput from, Output* output);
  void ApplyZoneOutput(Now now, const ZoneOutput& from, Output* output);
  /// Reports the result of a writer, if it is done, and removes the writer.
  void FinishWriter(Now now, uint64_t operation, Output* output);
  /// Starts to write an unrecorded zone decision, unless its write is running already.
  void WriteZoneDecision(Now now, const UnrecordedZone& decision, Output* output);

  GatewayId self_;
  bool has_platform_;
  TableRouter* router_;
  /// Configuration from the settings file or from discovery; used without a platform.
  ConfigurationPtr external_configuration_;
  ConfigKeeper keeper_;
  ZoneControl zones_;
  Maintenance maintenance_;
  RandomEngine random_;
  uint64_t next_operation_ = 1;
  std::map<uint64_t, std::unique_ptr<ConfigWriter>> writers_;  ///< By operation.
  std::map<ZoneId, uint64_t> zone_writes_;  ///< Running writes of unrecorded zone decisions.
};

}  // namespace jd
