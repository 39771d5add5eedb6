#pragma once

#include <map>
#include <optional>
#include <string>
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

  void Put(const std::string& key) {
    const WatchedRow row{key, "v" + std::to_string(version + 1), ++version, false};
    rows[key] = row;
    history.push_back(row);
  }
  void Remove(const std::string& key) {
    rows.erase(key);
    history.push_back({key, {}, ++version, true});
  }
  WatchReply Reply(const WatchCall& call) const {
    WatchReply reply;
    reply.status = WatchStatus::kDone;
    reply.version = version;
    if (!call.full_read && call.after < oldest) {
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
    Apply(watch.ExpireMissingRows(now));
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
    const uint64_t after = watch.version();
    const std::vector<WatchedRow> rows = watch.OnReply(now, reply);
    Apply(rows);
    if (reply.status == WatchStatus::kFailed) {
      updates.push_back(watch.FailureUpdate(""));
    } else if (!watch.full_read_pending()) {
      updates.push_back(watch.UpdateForPeers("", after, rows));
    }
    return updates;
  }

  TableWatch watch;
  std::map<std::string, std::string> known;
  bool reachable = true;
  bool silent = false;  // The store never replies to this gateway.
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
      if (stopped == i) {
        continue;
      }
      for (const TableUpdate& update : gateways[i].Step(now, store)) {
        for (size_t j = 0; j < gateways.size(); ++j) {
          if (j != i && stopped != j) {
            gateways[j].Apply(gateways[j].watch.OnPeerUpdate(now, update));
          }
        }
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
  Duration time{0};
};

}  // namespace jd::table_watch_test
