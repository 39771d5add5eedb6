#pragma once

#include <algorithm>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "cluster/table_watch.h"

namespace jd::table_watch_test {

inline constexpr TableWatch::Timing kTiming = {1s, Duration(0), 1200ms, 1600ms};

// An in-memory store with a change history.
struct Store {
  std::map<std::string, WatchedRow> rows;
  std::vector<WatchedRow> history;
  uint64_t version = 0;
  uint64_t oldest = 0;
  uint64_t era = 1;
  bool names_era = true;  // Whether replies name the era.

  // @param padding bytes that are added to the value.
  void Put(const std::string& key, size_t padding = 0) {
    const std::string value = "v" + std::to_string(version + 1) +
                              (era > 1 ? "e" + std::to_string(era) : "") +
                              std::string(padding, ' ');
    const WatchedRow row{key, value, ++version, false};
    rows[key] = row;
    history.push_back(row);
  }
  void Remove(const std::string& key) {
    rows.erase(key);
    history.push_back({key, {}, ++version, true});
  }
  // Replaces the content by a copy that was made at an earlier version, and starts another era.
  void Restore(uint64_t copy_version) {
    std::erase_if(history,
                  [copy_version](const WatchedRow& row) { return row.version > copy_version; });
    rows.clear();
    for (const WatchedRow& row : history) {
      if (row.deleted) {
        rows.erase(row.key);
      } else {
        rows[row.key] = row;
      }
    }
    version = copy_version;
    oldest = std::min(oldest, copy_version);
    ++era;
  }
  std::map<std::string, std::string> Values() const {
    std::map<std::string, std::string> values;
    for (const auto& [key, row] : rows) {
      values[key] = row.value;
    }
    return values;
  }
  WatchReply Reply(const WatchCall& call) const {
    WatchReply reply;
    reply.status = WatchStatus::kDone;
    reply.version = version;
    if (names_era) {
      reply.era = StoreEra(era);
    }
    if (!call.full_read && (call.after < oldest || call.after > version)) {
      reply.status = WatchStatus::kHistoryLost;
      return reply;
    }
    if (call.full_read) {
      for (const auto& [key, row] : rows) {
        reply.rows.push_back(row);
      }
      return reply;
    }
    for (const WatchedRow& row : history) {
      if (row.version > call.after) {
        reply.rows.push_back(row);
      }
    }
    return reply;
  }
};

// A gateway that follows the table, and the rows that it knows.
struct Gateway {
  explicit Gateway(uint64_t seed, TableWatch::Timing timing = kTiming) : watch(timing, seed) {}

  void Apply(const std::vector<WatchedRow>& changes) {
    for (const WatchedRow& row : changes) {
      if (row.recalled) {
        continue;
      }
      if (row.deleted) {
        known.erase(row.key);
      } else {
        known[row.key] = row.value;
      }
    }
  }
  // Like Step, for calls that do not wait for a change. @return the update after a successful read.
  std::optional<TableUpdate> Read(MonoTime now, const Store& store) {
    const std::vector<TableUpdate> updates = Step(now, store);
    return updates.empty() || updates.front().failed ? std::nullopt
                                                     : std::optional(updates.front());
  }

  // Starts a call if one is due, and finishes the call in progress once the store replies or the
  // call times out. @return the updates to send to the other gateways.
  std::vector<TableUpdate> Step(MonoTime now, const Store& store) {
    std::vector<TableUpdate> updates;
    Apply(watch.ApplyDueRows(now));
    if (!call) {
      call = watch.NextCall(now);
      calls += call ? 1 : 0;
      called = now;
    }
    if (!call) {
      return updates;
    }
    if (silent && now < called + call->timeout) {
      return updates;
    }
    const WatchReply reply = reachable && !silent ? store.Reply(*call) : WatchReply();
    const bool waits = reply.status == WatchStatus::kDone && !call->full_read && reply.rows.empty();
    if (waits && now < called + call->wait) {
      return updates;
    }
    call.reset();
    const bool was_complete = watch.complete();
    const TablePosition after = watch.position();
    const std::vector<WatchedRow> rows = watch.OnReply(now, reply);
    Apply(rows);
    if (reply.status == WatchStatus::kFailed) {
      updates.push_back(watch.FailureUpdate(""));
    } else if (was_complete && watch.read_finished()) {
      updates.push_back(watch.UpdateForPeers("", after, rows));
    }
    return updates;
  }

  TableWatch watch;
  std::map<std::string, std::string> known;
  bool reachable = true;
  bool silent = false;  // The store never replies to this gateway.
  bool paused = false;  // The process stands still.
  bool cut_from_peers = false;
  std::vector<TableUpdate> received_while_paused;
  int calls = 0;
  std::optional<WatchCall> call;
  MonoTime called;
};

inline MonoTime At(Duration time) {
  return MonoTime() + 10s + time;
}

// Gateways that send each other updates, simulated in steps of 10 ms.
struct Zone {
  explicit Zone(size_t count, TableWatch::Timing timing = kTiming) {
    for (size_t i = 0; i < count; ++i) {
      gateways.emplace_back(i + 1, timing);
    }
  }
  void Step(MonoTime now) {
    for (size_t i = 0; i < gateways.size(); ++i) {
      if (stopped == i || gateways[i].paused) {
        continue;
      }
      for (const TableUpdate& update : std::exchange(gateways[i].received_while_paused, {})) {
        gateways[i].Apply(gateways[i].watch.OnPeerUpdate(now, update));
      }
      for (const TableUpdate& update : gateways[i].Step(now, store)) {
        Send(now, i, update);
        if (update.failed && gateways[i].watch.lacks_rows()) {
          AskPeer(now, i);
        }
      }
    }
  }
  // Gives a gateway the snapshot of another one.
  void AskPeer(MonoTime now, size_t requester) {
    const size_t peer = (requester + 1 + snapshots++) % gateways.size();
    if (!gateways[requester].cut_from_peers && !gateways[peer].cut_from_peers && stopped != peer &&
        gateways[peer].watch.complete()) {
      Gateway& gateway = gateways[requester];
      gateway.Apply(gateway.watch.OnPeerUpdate(now, gateways[peer].watch.Snapshot("")));
    }
  }
  void Send(MonoTime now, size_t sender, const TableUpdate& update) {
    for (size_t i = 0; i < gateways.size(); ++i) {
      if (i == sender || stopped == i || gateways[i].cut_from_peers ||
          gateways[sender].cut_from_peers) {
        continue;
      }
      if (gateways[i].paused) {
        gateways[i].received_while_paused.push_back(update);
      } else {
        gateways[i].Apply(gateways[i].watch.OnPeerUpdate(now, update));
      }
    }
  }
  // Runs the simulation until a time, in steps of 10 ms.
  void RunUntil(Duration end) {
    for (; time < end; time += 10ms) {
      Step(At(time));
    }
  }
  void SetReachable(bool reachable) {
    for (Gateway& gateway : gateways) {
      gateway.reachable = reachable;
    }
  }
  int calls() const {
    int sum = 0;
    for (const Gateway& gateway : gateways) {
      sum += gateway.calls;
    }
    return sum;
  }
  std::vector<Gateway> gateways;
  Store store;
  std::optional<size_t> stopped;
  size_t snapshots = 0;  // Requests for the snapshot of another gateway.
  Duration time{0};
};

}  // namespace jd::table_watch_test
