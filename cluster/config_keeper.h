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

/// What a step of ConfigKeeper asks of its caller.
struct ConfigOutput {
  TableCalls calls;
  std::vector<std::pair<GatewayId, ConfigEntries>> answers;
  std::vector<std::pair<GatewayId, ConfigFetch>> fetches;
  std::vector<ConfigEntries> pushes;  ///< To every peer.
  bool changed = false;               ///< configuration() is a newer version.
};

enum class ConfigSource : uint8_t { kNone, kTable, kPeers };

/// The configuration in use at one gateway, design section 3.5. Its version never falls.
class ConfigKeeper {
 public:
  static constexpr Duration kPollEvery = 1s;
  static constexpr double kJitter = 0.2;
  /// Peers answer within this time of a start, or are taken as silent.
  static constexpr Duration kPeerWait = 1s;
  /// History kept in memory is between one and two of these.
  static constexpr size_t kHistory = 64;

  explicit ConfigKeeper(uint64_t seed) : random_(seed) {}

  /// Starts to read the table and asks the peers known so far.
  void Start(MonoTime now, const std::vector<GatewayId>& peers, ConfigOutput* output);
  void OnTimer(MonoTime now, ConfigOutput* output);
  void OnTableReply(MonoTime now, uint64_t token, const TableReply& reply, ConfigOutput* output);
  /// Takes entries that a peer pushed or answered with; asks for the rest if there is a gap.
  void OnEntries(MonoTime now,
                 const GatewayId& from,
                 const ConfigEntries& entries,
                 ConfigOutput* output);
  void OnFetch(const GatewayId& from, const ConfigFetch& fetch, ConfigOutput* output) const;
  /// Takes the version in a peer's heartbeat; asks the peer if it is ahead.
  void OnPeerVersion(MonoTime now,
                     const GatewayId& from,
                     ConfigVersion version,
                     ConfigOutput* output);
  /// Takes an entry that this gateway's ConfigWriter found to be recorded.
  void OnRecorded(MonoTime now, const ConfigEntry& entry, ConfigOutput* output);

  MonoTime next_timer() const;
  /// True once the highest version that the table, or in its outage the peers, had is in use.
  bool ready() const { return ready_; }
  /// Null until something was read.
  const ConfigurationPtr& configuration() const { return configuration_; }
  ConfigVersion version() const;
  ConfigSource source() const { return source_; }
  /// Whether the latest poll of the table succeeded.
  bool store_up() const { return store_up_; }
  /// Why the latest poll failed.
  const std::string& error() const { return error_; }
  /// The latest entries in order of version.
  const std::vector<ConfigEntry>& history() const { return entries_; }
  /// Returns an earlier configuration, if it is within the history.
  std::optional<Configuration> At(ConfigVersion version) const;

 private:
  void Poll(MonoTime now, ConfigOutput* output);
  void TakeRead(ConfigOutput* output);
  bool TakeSnapshot(const ConfigurationPtr& snapshot, ConfigOutput* output);
  bool TakeEntry(const ConfigEntry& entry, ConfigOutput* output);
  void Fetch(MonoTime now, const GatewayId& from, ConfigOutput* output);
  void CheckReady(MonoTime now);

  RandomEngine random_;
  ConfigReader reader_{1};
  ConfigurationPtr configuration_;
  ConfigurationPtr base_;  ///< The configuration before the first kept entry.
  std::vector<ConfigEntry> entries_;
  std::vector<GatewayId> start_peers_;
  MonoTime started_;
  MonoTime next_poll_;
  MonoTime polled_;
  std::optional<MonoTime> fetched_;
  bool ready_ = false;
  bool store_up_ = false;
  bool table_failed_ = false;
  bool peer_answered_ = false;  ///< A peer gave its whole configuration.
  ConfigSource source_ = ConfigSource::kNone;
  std::string error_;
};

}  // namespace jd
