#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "cluster/config_reader.h"
#include "cluster/peer_message.h"
#include "cluster/table_call.h"
#include "common/configuration.h"
#include "common/ids.h"
#include "common/random.h"
#include "common/units.h"

namespace jd {

/// Table calls and peer messages that a ConfigKeeper function asks its caller to send.
struct ConfigOutput {
  TableCalls calls;
  std::vector<std::pair<GatewayId, ConfigEntries>> answers;
  std::vector<std::pair<GatewayId, ConfigFetch>> fetches;
  std::vector<ConfigEntries> pushes;  ///< To be sent to every peer.
  bool changed = false;               ///< configuration() was replaced by a newer version.
};

/// Where the active configuration was obtained from.
enum class ConfigSource : uint8_t { kNone, kTable, kPeers };

/// Holds the active configuration of one gateway and keeps it up to date from the platform's table
/// and from peers, design section 3.5. Its version never decreases.
class ConfigKeeper {
 public:
  static constexpr Duration kPollInterval = 1s;
  static constexpr double kJitter = 0.2;
  /// Time after the start within which peers are expected to reply; a peer that has not replied by
  /// then counts as silent. Also the minimum time between two fetches caused by the versions in
  /// heartbeats.
  static constexpr Duration kPeerTimeout = 1s;
  /// Number of entries that stay in memory when older entries are merged into the base, which
  /// happens when the history reaches twice this number.
  static constexpr size_t kMinHistory = 64;

  explicit ConfigKeeper(uint64_t seed) : random_(seed) {}

  /// Starts to read the table and requests the configuration from the known peers.
  void Start(MonoTime now, const std::vector<GatewayId>& peers, ConfigOutput* output);
  void OnTimer(MonoTime now, ConfigOutput* output);
  void OnTableReply(MonoTime now, uint64_t token, const TableReply& reply, ConfigOutput* output);
  /// Applies entries that a peer pushed or sent in reply to a fetch, and fetches the missing
  /// entries if there is a gap.
  void OnEntries(MonoTime now,
                 const GatewayId& from,
                 const ConfigEntries& entries,
                 ConfigOutput* output);
  /// Answers a peer's request for newer entries.
  void OnFetch(const GatewayId& from, const ConfigFetch& fetch, ConfigOutput* output) const;
  /// Handles the version in a peer's heartbeat: fetches newer entries if the peer is ahead.
  void OnPeerVersion(MonoTime now,
                     const GatewayId& from,
                     ConfigVersion version,
                     ConfigOutput* output);
  /// Applies an entry that a ConfigWriter of this gateway has recorded in the table, and pushes it
  /// to the peers. If earlier entries are missing, polls the table instead.
  void OnEntryRecorded(MonoTime now, const ConfigEntry& entry, ConfigOutput* output);

  MonoTime next_timer() const;
  /// Whether this gateway may serve traffic: it has read the table up to its head or, while the
  /// table is unreachable, has received the configuration of a peer.
  bool ready() const { return ready_; }
  /// The active configuration, or null until one has been received.
  const ConfigurationPtr& configuration() const { return configuration_; }
  ConfigVersion version() const;
  ConfigSource source() const { return source_; }
  /// Whether the latest poll of the table succeeded.
  bool store_up() const { return store_up_; }
  /// Why the latest poll failed.
  const std::string& error() const { return error_; }
  /// The latest entries in ascending order of version.
  const std::vector<ConfigEntry>& history() const { return history_; }
  /// Returns the configuration at a version, or nothing if the version is newer than the active one
  /// or older than the kept history.
  std::optional<Configuration> ConfigurationAt(ConfigVersion version) const;

 private:
  void PollTable(MonoTime now, ConfigOutput* output);
  void ApplyRead(ConfigOutput* output);
  bool ApplySnapshot(const ConfigurationPtr& snapshot, ConfigOutput* output);
  bool ApplyNextEntry(const ConfigEntry& entry, ConfigOutput* output);
  void FetchEntries(MonoTime now, const GatewayId& from, ConfigOutput* output);
  void UpdateReady(MonoTime now);

  RandomEngine random_;
  ConfigReader reader_{1};
  ConfigurationPtr configuration_;
  ConfigurationPtr base_;  ///< The configuration before the first entry of the history.
  std::vector<ConfigEntry> history_;
  std::vector<GatewayId> initial_peers_;
  MonoTime start_time_;
  MonoTime next_poll_;
  MonoTime last_poll_;
  std::optional<MonoTime> last_fetch_;
  bool ready_ = false;
  bool store_up_ = false;
  bool read_failed_ = false;             ///< The latest read of the table failed.
  bool peer_snapshot_received_ = false;  ///< A peer sent a full configuration.
  ConfigSource source_ = ConfigSource::kNone;
  std::string error_;
};

}  // namespace jd
