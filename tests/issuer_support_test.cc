#include "cluster/issuer_support.h"
#include "cluster/view_announcer.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <array>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace jd {
namespace {

constexpr Duration kLifetime = 1s;
constexpr Duration kHeartbeat = 200ms;

GatewayId IdOf(size_t gateway) {
  return GatewayId("g" + std::to_string(gateway));
}

// Gateways whose views change at random, and whose heartbeats are delayed or lost, also all of one
// gateway to another for some time. The messages of one gateway to another keep their order.
struct RandomViews {
  struct Gateway {
    std::unique_ptr<IssuerSupport> support;
    std::unique_ptr<ViewAnnouncer> views;
    Incarnation incarnation;
    MonoTime next_heartbeat;
    std::vector<GatewayId> candidates;
    std::map<GatewayId, MonoTime> arrived;      // When heartbeats of the peers arrived.
    std::map<GatewayId, MonoTime> heard;        // Send times of the latest ones.
    std::map<GatewayId, Incarnation> heard_of;  // The processes that sent them.
    std::map<GatewayId, uint64_t> seen;         // Generations of the views of the peers.
  };
  struct Message {
    size_t from, to;
    Incarnation receiver;  // The process whose heartbeat is echoed.
    IssuerSupport::Announcement announcement;
    uint64_t view_echo = 0;
    MonoTime sent;
  };

  RandomViews(size_t count, uint64_t seed) : gateways(count), random(seed) {
    for (size_t i = 0; i < count; ++i) {
      Restart(i);
    }
  }
  bool Chance(double share) { return std::bernoulli_distribution(share)(random); }
  Duration UpTo(Duration most) {
    return Duration(std::uniform_int_distribution<int64_t>(0, most.count())(random));
  }
  void Restart(size_t i) {
    gateways[i] = {};
    gateways[i].incarnation = Incarnation(++last_incarnation);
    gateways[i].support = std::make_unique<IssuerSupport>(IdOf(i), kLifetime);
    gateways[i].views = std::make_unique<ViewAnnouncer>(kLifetime);
    gateways[i].views->Start(now);
    gateways[i].next_heartbeat = now + UpTo(kHeartbeat);
  }
  void ChangeView(size_t i) {
    std::vector<GatewayId> ids;
    for (size_t peer = 0; peer < gateways.size(); ++peer) {
      if (peer == i || Chance(0.7)) {
        ids.push_back(IdOf(peer));
      }
    }
    gateways[i].candidates = std::move(ids);
  }
  void SendHeartbeats(size_t from) {
    Gateway& sender = gateways[from];
    sender.next_heartbeat = now + kHeartbeat;
    sender.views->SetCandidates(now, sender.candidates, sender.arrived);
    IssuerSupport::Announcement own;
    own.incarnation = sender.incarnation;
    own.generation = sender.views->generation();
    own.settled = sender.views->Settled(now);
    own.unreleased = sender.views->Unreleased(now);
    own.view = sender.views->view();
    sender.support->SetOwnView(now, own);
    for (size_t to = 0; to < gateways.size(); ++to) {
      if (to == from || Chance(loss) || silent_until[{from, to}] > now) {
        continue;
      }
      const GatewayId receiver = IdOf(to);
      Message message{from, to, sender.heard_of[receiver], own, 0, now};
      message.announcement.view = nullptr;
      if (sender.heard.contains(receiver)) {
        message.announcement.view = sender.views->view();
        message.announcement.echo = sender.heard[receiver];
        message.view_echo = sender.seen[receiver];
      }
      MonoTime& earliest = in_order[{from, to}];
      earliest = std::max(earliest, now + UpTo(longest_delay));
      messages.emplace(earliest, std::move(message));
    }
  }
  void Deliver(Message message) {
    Gateway& receiver = gateways[message.to];
    const GatewayId sender = IdOf(message.from);
    if (message.announcement.incarnation < receiver.heard_of[sender]) {
      return;
    }
    if (message.announcement.incarnation != receiver.heard_of[sender]) {
      receiver.views->OnStoppedIssuing(sender);
      receiver.seen.erase(sender);
    }
    receiver.arrived[sender] = now;
    receiver.heard[sender] = message.sent;
    receiver.heard_of[sender] = message.announcement.incarnation;
    if (message.receiver == receiver.incarnation) {
      receiver.views->OnEcho(sender, message.view_echo);
    } else {
      message.announcement.view = nullptr;
    }
    if (message.announcement.view != nullptr) {
      receiver.seen[sender] = message.announcement.generation;
    }
    receiver.support->OnAnnouncement(now, sender, message.announcement);
  }
  void SilenceAnyPair() {
    std::uniform_int_distribution<size_t> any(0, gateways.size() - 1);
    silent_until[{any(random), any(random)}] = now + UpTo(3s);
  }
  void Step() {
    now += 10ms;
    if (Chance(silence)) {
      SilenceAnyPair();
    }
    while (!messages.empty() && messages.begin()->first <= now) {
      Message message = std::move(messages.begin()->second);
      messages.erase(messages.begin());
      Deliver(std::move(message));
    }
    for (size_t i = 0; i < gateways.size(); ++i) {
      if (now >= gateways[i].next_heartbeat) {
        if (Chance(view_change)) {
          ChangeView(i);
        }
        SendHeartbeats(i);
      }
      if (Chance(restart)) {
        Restart(i);
      }
    }
  }
  size_t Supporters(const PoolId& pool) const {
    size_t sum = 0;
    for (const Gateway& gateway : gateways) {
      sum += gateway.support->SupportFor(now, pool).gateways;
    }
    return sum;
  }

  std::vector<Gateway> gateways;
  std::mt19937_64 random;
  MonoTime now = MonoTime(1000s);
  std::multimap<MonoTime, Message> messages;
  std::map<std::pair<size_t, size_t>, MonoTime> in_order;
  std::map<std::pair<size_t, size_t>, MonoTime> silent_until;
  uint64_t last_incarnation = 0;
  double loss = 0;
  double view_change = 0;
  double restart = 0;
  double silence = 0;
  Duration longest_delay{0};
};

TEST_CASE("no gateway supports two issuers at a time", "[issuer_support_test]") {
  // Guards against a part of a quota that two gateways issue: their views differ in any way, change
  // at any time, and heartbeats are late or lost.
  size_t most = 0;
  for (uint64_t seed = 1; seed <= 60; ++seed) {
    RandomViews f(2 + seed % 4, seed);
    f.loss = seed % 3 * 0.2;
    f.view_change = std::array{0.01, 0.1, 0.5}[seed % 3];
    f.restart = seed % 2 * 0.001;
    f.silence = seed / 2 % 2 * 0.01;
    f.longest_delay = std::array{10ms, 400ms, 3000ms}[seed / 3 % 3];
    for (int step = 0; step < 2000; ++step) {
      f.Step();
      for (const char* pool : {"a", "b", "c"}) {
        const size_t supporters = f.Supporters(PoolId(pool));
        most = std::max(most, supporters);
        if (supporters > f.gateways.size()) {
          FAIL("seed " << seed << ", step " << step << ", pool " << pool << ": " << supporters
                       << " supporters of " << f.gateways.size() << " gateways");
        }
      }
    }
  }
  CHECK(most == 5);  // All gateways support one at times.
}

TEST_CASE("all gateways support one issuer while their views agree", "[issuer_support_test]") {
  // Guards against parts of a quota that nobody issues in calm.
  RandomViews f(4, 1);
  for (size_t i = 0; i < 4; ++i) {
    f.gateways[i].candidates = {IdOf(0), IdOf(1), IdOf(2), IdOf(3)};
  }
  f.longest_delay = 100ms;
  for (int step = 0; step < 1000; ++step) {
    f.Step();
    if (step >= 150) {
      REQUIRE(f.Supporters(PoolId("a")) == 4);
    }
  }
}

TEST_CASE("an issuer takes over as soon as its predecessor knows", "[issuer_support_test]") {
  // Guards against a second without an issuer each time that a gateway joins.
  RandomViews f(4, 1);
  const auto set_views = [&f](const std::vector<GatewayId>& ids) {
    for (RandomViews::Gateway& gateway : f.gateways) {
      gateway.candidates = ids;
    }
  };
  const std::vector<GatewayId> former = {IdOf(0), IdOf(1), IdOf(2)};
  const std::vector<GatewayId> all = {IdOf(0), IdOf(1), IdOf(2), IdOf(3)};
  set_views(former);
  for (int step = 0; step < 300; ++step) {
    f.Step();
  }
  std::string pool = "p";
  while (OwnerOf(PoolId(pool), all) != IdOf(3)) {
    pool += "x";
  }
  const GatewayHash before = HashOf(OwnerOf(PoolId(pool), former));
  REQUIRE(f.gateways[0].support->OwnIssuer(PoolId(pool)) == before);
  set_views(all);
  int without = 0;
  for (int step = 0; step < 100; ++step) {
    f.Step();
    without += f.Supporters(PoolId(pool)) == 0 ? 1 : 0;
  }
  // A view is announced, echoed and settled, with a heartbeat each.
  CHECK(without * 10ms <= 3 * kHeartbeat);
  CHECK(f.gateways[0].support->OwnIssuer(PoolId(pool)) == HashOf(IdOf(3)));
  CHECK(f.gateways[3].support->SupportFor(f.now, PoolId(pool)).gateways == 4);
}

TEST_CASE("a gateway that leaves issues nothing", "[issuer_support_test]") {
  // Guards against two issuers: the peers let go of one that leaves as soon as they are told.
  RandomViews f(2, 1);
  for (RandomViews::Gateway& gateway : f.gateways) {
    gateway.candidates = {IdOf(0), IdOf(1)};
  }
  for (int step = 0; step < 200; ++step) {
    f.Step();
  }
  const PoolId pool("p");
  REQUIRE(f.Supporters(pool) == 2);
  for (RandomViews::Gateway& gateway : f.gateways) {
    gateway.support->Resign();
  }
  CHECK(f.Supporters(pool) == 0);
  CHECK(f.gateways[0].support->SupportersSince(f.now, pool, f.now) == 0);
}

TEST_CASE("a support does not last through a view that has not arrived", "[issuer_support_test]") {
  // Guards against a support that the peer has given to another gateway in between.
  IssuerSupport support(IdOf(0), kLifetime);
  const PoolId pool("p");
  const GatewayViewPtr view = GatewayView::Of({IdOf(0)});
  MonoTime now = MonoTime(100s);
  std::vector<GatewayHash> unreleased;
  const auto supporters = [&](uint64_t generation, uint64_t settled, const GatewayViewPtr& named) {
    now += 10ms;
    support.OnAnnouncement(now, IdOf(1),
                           {Incarnation(1), generation, settled, unreleased, named, now});
    return support.SupportFor(now, pool).gateways;
  };
  CHECK(supporters(1, 0, view) == 0);
  CHECK(supporters(1, 1, view) == 1);
  CHECK(supporters(2, 1, view) == 1);
  CHECK(supporters(4, 2, view) == 0);
  CHECK(supporters(4, 4, view) == 1);
  CHECK(supporters(5, 4, nullptr) == 0);
  CHECK(supporters(5, 4, view) == 0);
  CHECK(supporters(5, 5, view) == 1);
  // The owner in between lets go of the pool before all others have let go of theirs.
  CHECK(supporters(6, 6, GatewayView::Of({IdOf(1)})) == 0);
  unreleased = {HashOf(IdOf(1))};
  CHECK(supporters(7, 6, view) == 0);
  unreleased = {HashOf(IdOf(2))};
  CHECK(supporters(7, 6, view) == 1);
}

TEST_CASE("the support for a silent owner ends with its lifetime", "[issuer_support_test]") {
  // Guards against a new issuer beside one that is cut off, and against one that waits for longer.
  ViewAnnouncer views(kLifetime);
  views.Start(MonoTime(10s));
  views.SetCandidates(MonoTime(10s), {IdOf(0), IdOf(1), IdOf(2)}, {});
  CHECK(views.Settled(MonoTime(11s)) == 0);
  CHECK(views.Settled(MonoTime(11s) + ViewAnnouncer::kClockMargin) == 1);
  const std::map<GatewayId, MonoTime> heard = {{IdOf(1), MonoTime(19s) + 500ms},
                                               {IdOf(2), MonoTime(20s)}};
  views.SetCandidates(MonoTime(20s), {IdOf(0), IdOf(2)}, heard);
  CHECK(views.Settled(MonoTime(20s) + 500ms) == 1);
  CHECK(views.Settled(MonoTime(20s) + 500ms + ViewAnnouncer::kClockMargin) == 2);
  // A former process is forgotten earlier if all gateways know the new one.
  ViewAnnouncer known(kLifetime);
  known.Start(MonoTime(10s));
  known.SetCandidates(MonoTime(10s), {IdOf(0)}, {});
  CHECK(known.Settled(MonoTime(10s)) == 0);
  known.OnFormerProcessForgotten();
  CHECK(known.Settled(MonoTime(10s)) == 1);
  // One that joins takes pools from all others.
  views.SetCandidates(MonoTime(30s), {IdOf(0), IdOf(2), IdOf(3)}, {{IdOf(2), MonoTime(30s)}});
  CHECK(views.Settled(MonoTime(30s)) == 2);
  views.OnEcho(IdOf(2), 2);
  CHECK(views.Settled(MonoTime(30s)) == 2);
  views.OnEcho(IdOf(2), 3);
  CHECK(views.Settled(MonoTime(30s)) == 3);
  // The process of an owner that starts again has ended.
  views.SetCandidates(MonoTime(40s), {IdOf(0), IdOf(3)}, {{IdOf(2), MonoTime(40s)}});
  CHECK(views.Settled(MonoTime(40s)) == 3);
  views.OnStoppedIssuing(IdOf(2));
  CHECK(views.Settled(MonoTime(40s)) == 4);
}

}  // namespace
}  // namespace jd
