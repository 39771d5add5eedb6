#include "cluster/membership.h"

#include <catch2/catch.hpp>

#include <array>
#include <set>

namespace jd {
namespace {

MonoTime At(int64_t millis) {
  return MonoTime(std::chrono::milliseconds(millis));
}

NodeSettings SettingsOf(const std::string& id) {
  NodeSettings settings;
  settings.id = GatewayId(id);
  settings.zone = ZoneId("z");
  settings.incarnation = Incarnation(10);
  settings.address = "127.0.0.1";
  settings.peer_port = 7000;
  for (const char* peer : {"a", "b", "c"}) {
    settings.seeds.push_back({GatewayId(peer), ZoneId("z"), "127.0.0.1", 7000});
  }
  return settings;
}

/// Three gateways whose connections can be cut and whose processes can be paused. Time advances in
/// steps of 50 ms.
struct Cluster {
  std::map<GatewayId, Membership> nodes;
  /// Pairs of sender and receiver whose messages are lost.
  std::set<std::pair<std::string, std::string>> cut;
  std::set<std::string> paused;
  std::vector<MemberChange> seen_by_a;
  std::vector<std::pair<int64_t, GatewayId>> replaced_by_a;  ///< Times in milliseconds.
  int64_t now = 100;

  Cluster() {
    for (const char* id : {"a", "b", "c"}) {
      nodes.emplace(GatewayId(id), SettingsOf(id));
    }
    for (auto& [id, node] : nodes) {
      MembershipOutput output;
      node.Start(At(now), &output);
    }
  }

  Membership& at(const std::string& id) { return nodes.at(GatewayId(id)); }
  MemberState State(const std::string& of, const std::string& peer) {
    return at(of).members().at(GatewayId(peer)).state;
  }

  void Deliver(const GatewayId& from, const MembershipOutput& output) {
    for (const auto& [to, heartbeat] : output.heartbeats) {
      if (cut.contains({from.value, to.value}) || paused.contains(to.value)) {
        continue;
      }
      MembershipOutput reaction;
      nodes.at(to).OnHeartbeat(At(now), from, Incarnation(10), heartbeat, &reaction);
      if (to.value == "a") {
        seen_by_a.insert(seen_by_a.end(), reaction.changes.begin(), reaction.changes.end());
      }
    }
  }

  void Run(int64_t millis) {
    for (const int64_t end = now + millis; now < end;) {
      now += 50;
      for (auto& [id, node] : nodes) {
        if (paused.contains(id.value) || node.next_timer() > At(now)) {
          continue;
        }
        MembershipOutput output;
        node.OnTimer(At(now), &output);
        if (id.value == "a") {
          seen_by_a.insert(seen_by_a.end(), output.changes.begin(), output.changes.end());
          for (const ReplacePeerConnection& replacement : output.replacements) {
            replaced_by_a.emplace_back(now, replacement.peer);
          }
        }
        Deliver(id, output);
      }
    }
  }
};

// Guards against an owner that does not receive the messages of its holders, and against detecting
// a crash too late.
TEST_CASE("a peer is live if heartbeats arrive in both directions and dead after 1 s of silence",
          "[membership_test]") {
  Cluster cluster;
  CHECK(cluster.at("a").owner_candidates().empty());
  cluster.Run(600);
  CHECK(cluster.at("a").owner_candidates().size() == 3);
  cluster.cut.insert({"a", "b"});
  cluster.Run(1600);
  CHECK(cluster.State("a", "b") == MemberState::kOneWay);
  CHECK(cluster.State("b", "a") == MemberState::kDead);
  CHECK(cluster.at("a").owner_candidates() == std::vector{GatewayId("a"), GatewayId("c")});
  cluster.cut.clear();
  cluster.Run(600);
  CHECK(cluster.at("a").owner_candidates().size() == 3);
  cluster.paused.insert("c");
  cluster.Run(850);
  CHECK(cluster.State("a", "c") == MemberState::kSuspect);
  CHECK(cluster.at("a").owner_candidates().size() == 3);
  cluster.Run(400);
  CHECK(cluster.State("a", "c") == MemberState::kDead);
  CHECK(cluster.at("a").owner_candidates().size() == 2);
}

// Guards against a gateway that resumes after a pause of its process and acts as an owner, although
// its view of its peers is outdated.
TEST_CASE("gateways announce their views until each peer has them", "[membership_test]") {
  // Guards against a view that a peer never gets, because the heartbeat that carried it was lost.
  Cluster cluster;
  for (auto& [id, node] : cluster.nodes) {
    node.AnnounceViews(At(cluster.now));
  }
  cluster.cut = {{"a", "b"}};
  cluster.Run(2000);
  cluster.cut.clear();
  cluster.Run(600);
  const auto knows = [&](const std::string& of, const std::string& peer) {
    const Member& member = cluster.at(of).members().at(GatewayId(peer));
    const ViewAnnouncer& views = cluster.at(peer).views();
    return member.view != nullptr && *member.view == *views.view() &&
           member.view_generation == views.generation() &&
           member.view_settled == views.generation();
  };
  for (const char* of : {"a", "b", "c"}) {
    for (const char* peer : {"a", "b", "c"}) {
      CHECK((std::string(of) == peer || knows(of, peer)));
    }
  }
  CHECK(cluster.at("a").views().candidates().size() == 3);
  const uint64_t generation = cluster.at("a").views().generation();
  cluster.paused.insert("c");
  // Dead after 1 s, a heartbeat earlier or later, and 50 ms for each step of the change.
  cluster.Run(1400);
  CHECK(cluster.at("a").views().generation() > generation);
  CHECK(cluster.at("a").views().candidates().size() == 2);
  CHECK(knows("a", "b"));
  CHECK(knows("b", "a"));
}

TEST_CASE("the support for a gateway that leaves ends with its notice", "[membership_test]") {
  // Guards against a second without an issuer each time that a gateway is stopped, when its process
  // ends before it has echoed the new views.
  Cluster cluster;
  for (auto& [id, node] : cluster.nodes) {
    node.AnnounceViews(At(cluster.now));
  }
  cluster.Run(2000);
  MembershipOutput output;
  cluster.at("c").Leave(At(cluster.now), &output);
  cluster.Deliver(GatewayId("c"), output);
  cluster.paused.insert("c");
  cluster.Run(100);
  for (const char* of : {"a", "b"}) {
    const ViewAnnouncer& views = cluster.at(of).views();
    CHECK(views.candidates() == std::vector{GatewayId("a"), GatewayId("b")});
    CHECK(views.Unreleased(At(cluster.now)).empty());
    CHECK(views.Settled(At(cluster.now)) == views.generation());
  }
}

TEST_CASE("heartbeats that announce views are frequent", "[membership_test]") {
  // Guards against 5 s without an issuer after a death where heartbeats are rare.
  NodeSettings settings = SettingsOf("a");
  settings.heartbeat = 1s;
  CHECK(Membership::SupportLifetime(settings.heartbeat) ==
        Membership::kLongestHeartbeatWithViews * Membership::kDeadAfterHeartbeats);
  CHECK(Membership::SupportLifetime(100ms) == 500ms);
  Membership node(settings);
  MembershipOutput output;
  node.Start(At(100), &output);
  CHECK(node.next_timer() == At(1100));
  node.AnnounceViews(At(100));
  CHECK(node.next_timer() <= At(100) + Membership::kLongestHeartbeatWithViews);
  node.OnTimer(node.next_timer(), &output);
  node.OnTimer(At(400), &output);
  CHECK(node.next_timer() <= At(400) + Membership::kLongestHeartbeatWithViews);
}

TEST_CASE("a process that starts announces its view while a peer is down", "[membership_test]") {
  // Guards against a second in which a gateway supports no issuer after its start, because it waits
  // for a peer that does not run or for its configuration.
  Cluster cluster;
  cluster.paused.insert("c");
  cluster.at("b").AnnounceViews(At(cluster.now));
  cluster.Run((Membership::kHeardAfterHeartbeats + 1) * 200 + 50);
  CHECK(!cluster.at("a").fresh());
  CHECK(cluster.at("a").views().candidates() == std::vector{GatewayId("a"), GatewayId("b")});
}

TEST_CASE("a connection over which a peer receives nothing is replaced", "[membership_test]") {
  // Guards against two gateways that never hear each other again after one connection between them
  // went silent without a reset.
  Cluster cluster;
  cluster.Run(2000);
  CHECK(cluster.replaced_by_a.empty());
  const bool both_ways = GENERATE(false, true);
  cluster.cut = {{"a", "b"}};
  if (both_ways) {
    cluster.cut.insert({"b", "a"});
  }
  const int64_t start = cluster.now;
  cluster.Run(10'000);
  REQUIRE(cluster.replaced_by_a.size() == 3);
  // After 1 s without an echo, then after 2 and 4 s; a heartbeat more may pass each time.
  const std::array<int64_t, 3> due{1000, 3000, 7000};
  for (size_t i = 0; i < due.size(); ++i) {
    CHECK(cluster.replaced_by_a[i].second == GatewayId("b"));
    CHECK(cluster.replaced_by_a[i].first - start >= due[i] - 400);
    CHECK(cluster.replaced_by_a[i].first - start <= due[i] + 600);
  }
  cluster.cut.clear();
  cluster.Run(1000);
  CHECK(cluster.State("a", "b") == MemberState::kLive);
  cluster.cut = {{"a", "b"}};
  const int64_t again = cluster.now;
  cluster.Run(1500);
  REQUIRE(cluster.replaced_by_a.size() == 4);
  CHECK(cluster.replaced_by_a[3].first - again <= 1200);
}

TEST_CASE("a gateway owns no pools after a pause until it has heard its peers again",
          "[membership_test]") {
  for (const int64_t pause : {900, 5000}) {
    Cluster cluster;
    cluster.Run(1000);
    cluster.paused.insert("a");
    cluster.Run(pause);
    cluster.seen_by_a.clear();
    cluster.paused.clear();
    MembershipOutput output;
    cluster.at("a").OnTimer(At(cluster.now), &output);
    CHECK_FALSE(cluster.at("a").fresh());
    // Heartbeats that were buffered during the pause echo a send time from before the pause.
    for (const char* peer : {"b", "c"}) {
      Heartbeat buffered;
      buffered.sent = At(cluster.now);
      buffered.echo = At(cluster.now - pause - 50);
      buffered.echo_incarnation = Incarnation(10);
      cluster.at("a").OnHeartbeat(At(cluster.now), GatewayId(peer), Incarnation(10), buffered,
                                  &output);
    }
    CHECK(cluster.at("a").owner_candidates().empty());
    cluster.Run(600);
    CHECK(cluster.at("a").owner_candidates().size() == 3);
    for (const MemberChange& change : cluster.seen_by_a) {
      CHECK(change.state != MemberState::kDead);
    }
  }
}

// Guards against removing a working gateway because the VM list is late or wrong.
TEST_CASE("the VM list adds peers and removes only dead peers", "[membership_test]") {
  Cluster cluster;
  cluster.Run(1000);
  Membership& a = cluster.at("a");
  MembershipOutput output;
  const VmList list = {
      {"a", VmRole::kGateway, VmState::kLive, ZoneId("z"), "127.0.0.1", 7000},
      {"d", VmRole::kGateway, VmState::kLive, ZoneId("z"), "127.0.0.4", 7000},
      {"u", VmRole::kUpstream, VmState::kLive, ZoneId("z"), "127.0.0.5", 7000},
  };
  a.OnVmList(At(cluster.now), list, &output);
  CHECK(a.owner_candidates().size() == 3);
  CHECK(a.members().contains(GatewayId("d")));
  CHECK_FALSE(a.members().contains(GatewayId("u")));
  CHECK(a.roster() == std::vector{GatewayId("a"), GatewayId("d")});
  a.OnVmList(At(cluster.now), {}, &output);
  CHECK(a.roster().size() == 2);
  Heartbeat moved;
  moved.address = "127.0.0.9";
  moved.peer_port = 7001;
  moved.sent = At(1);
  a.OnHeartbeat(At(cluster.now), GatewayId("c"), Incarnation(11), moved, &output);
  CHECK(output.addresses.back().address == "127.0.0.9");
  CHECK(output.changes.back().restarted);
  CHECK(a.IsOutdated(GatewayId("c"), Incarnation(10)));
  MembershipOutput later;
  for (int step = 1; step <= 6; ++step) {
    a.OnTimer(At(cluster.now + step * 200), &later);
  }
  CHECK(a.members().size() == 1);
  CHECK(a.owner_candidates() == std::vector{GatewayId("a")});
}

// Guards against pools that are owned by a gateway that is shutting down or has no configuration
// yet.
TEST_CASE("a gateway that is leaving or has no configuration owns no pools", "[membership_test]") {
  Cluster cluster;
  cluster.Run(1000);
  MembershipOutput output;
  cluster.at("b").Leave(At(cluster.now), &output);
  cluster.Deliver(GatewayId("b"), output);
  CHECK(cluster.State("a", "b") == MemberState::kLeaving);
  cluster.at("c").SetOwnStatus({ConfigVersion(0), false, false});
  cluster.Run(300);
  CHECK(cluster.at("a").owner_candidates() == std::vector{GatewayId("a")});
  CHECK(cluster.at("b").owner_candidates() == std::vector{GatewayId("a")});
}

}  // namespace
}  // namespace jd
