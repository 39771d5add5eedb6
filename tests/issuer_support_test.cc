#include "cluster/issuer_support.h"

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

// Gateways whose views change at random, and whose heartbeats are delayed or lost. The messages of
// one gateway to another keep their order.
struct RandomViews {
  struct Gateway {
    std::unique_ptr<IssuerSupport> support;
    Incarnation incarnation;
    GatewayViewPtr view = GatewayView::Of({});
    uint64_t generation = 0;
    MonoTime next_heartbeat;
    std::map<size_t, MonoTime> heard;        // Send time of the latest heartbeat of each peer.
    std::map<size_t, Incarnation> heard_of;  // The process that sent it.
  };
  struct Message {
    size_t from, to;
    Incarnation receiver;  // The process whose heartbeat is echoed.
    IssuerSupport::Announcement announcement;
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
    gateways[i].next_heartbeat = now + UpTo(kHeartbeat);
  }
  void ChangeView(size_t i) {
    std::vector<GatewayId> ids;
    for (size_t peer = 0; peer < gateways.size(); ++peer) {
      if (peer == i || Chance(0.7)) {
        ids.push_back(IdOf(peer));
      }
    }
    GatewayViewPtr view = GatewayView::Of(ids);
    if (*view != *gateways[i].view) {
      gateways[i].view = std::move(view);
      ++gateways[i].generation;
    }
  }
  void SendHeartbeats(size_t from) {
    Gateway& sender = gateways[from];
    sender.next_heartbeat = now + kHeartbeat;
    sender.support->SetOwnView(now, sender.view, false);
    for (size_t to = 0; to < gateways.size(); ++to) {
      if (to == from || Chance(loss)) {
        continue;
      }
      IssuerSupport::Announcement announcement{sender.incarnation, sender.generation, nullptr, {}};
      if (sender.heard.contains(to)) {
        announcement.view = sender.view;
        announcement.echo = sender.heard[to];
      }
      MonoTime& earliest = in_order[{from, to}];
      earliest = std::max(earliest, now + UpTo(longest_delay));
      messages.emplace(earliest,
                       Message{from, to, sender.heard_of[to], std::move(announcement), now});
    }
  }
  void Deliver(Message message) {
    Gateway& receiver = gateways[message.to];
    if (message.announcement.incarnation < receiver.heard_of[message.from]) {
      return;
    }
    receiver.heard[message.from] = message.sent;
    receiver.heard_of[message.from] = message.announcement.incarnation;
    if (message.receiver != receiver.incarnation) {
      message.announcement.view = nullptr;
    }
    receiver.support->OnAnnouncement(now, IdOf(message.from), message.announcement);
  }
  void Step() {
    now += 10ms;
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
  uint64_t last_incarnation = 0;
  double loss = 0;
  double view_change = 0;
  double restart = 0;
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
    f.gateways[i].view = GatewayView::Of({IdOf(0), IdOf(1), IdOf(2), IdOf(3)});
    f.gateways[i].generation = 1;
  }
  f.longest_delay = 100ms;
  for (int step = 0; step < 1000; ++step) {
    f.Step();
    if (step >= 150) {
      REQUIRE(f.Supporters(PoolId("a")) == 4);
    }
  }
}

TEST_CASE("the former issuer is supported until shortly before the new one",
          "[issuer_support_test]") {
  // Guards against a second without an issuer each time that a gateway joins.
  RandomViews f(4, 1);
  const auto set_views = [&f](const std::vector<GatewayId>& ids) {
    for (size_t i = 0; i < 3; ++i) {
      f.gateways[i].view = GatewayView::Of(ids);
      ++f.gateways[i].generation;
    }
  };
  set_views({IdOf(0), IdOf(1), IdOf(2)});
  for (int step = 0; step < 300; ++step) {
    f.Step();
  }
  std::string pool = "p";
  while (OwnerOf(PoolId(pool), {IdOf(0), IdOf(1), IdOf(2), IdOf(3)}) != IdOf(3)) {
    pool += "x";
  }
  const GatewayHash former = HashOf(OwnerOf(PoolId(pool), {IdOf(0), IdOf(1), IdOf(2)}));
  REQUIRE(f.gateways[0].support->OwnIssuer(f.now, PoolId(pool)) == former);
  set_views({IdOf(0), IdOf(1), IdOf(2), IdOf(3)});
  f.gateways[3].view = f.gateways[0].view;
  f.gateways[3].generation = 1;
  int without = 0;
  for (int step = 0; step < 200; ++step) {
    f.Step();
    without += f.Supporters(PoolId(pool)) == 0 ? 1 : 0;
    if (step < 90) {
      CHECK(f.gateways[0].support->OwnIssuer(f.now, PoolId(pool)) == former);
    }
  }
  CHECK(without <= 45);
  CHECK(f.gateways[0].support->OwnIssuer(f.now, PoolId(pool)) == HashOf(IdOf(3)));
  CHECK(f.gateways[3].support->SupportFor(f.now, PoolId(pool)).gateways == 4);
}

TEST_CASE("a gateway without others is supported by itself at once", "[issuer_support_test]") {
  IssuerSupport support(IdOf(0), kLifetime);
  support.SetOwnView(MonoTime(5s), GatewayView::Of({IdOf(0)}), true);
  CHECK(support.SupportFor(MonoTime(5s), PoolId("p")).gateways == 1);
  IssuerSupport cut_off(IdOf(0), kLifetime);
  cut_off.SetOwnView(MonoTime(5s), GatewayView::Of({IdOf(0)}), false);
  CHECK(cut_off.SupportFor(MonoTime(5s), PoolId("p")).gateways == 0);
  CHECK(cut_off.SupportFor(MonoTime(7s), PoolId("p")).gateways == 1);
}

}  // namespace
}  // namespace jd
