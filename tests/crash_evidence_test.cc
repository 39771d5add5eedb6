#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "policy/crash_guard.h"

namespace jd {
namespace {

constexpr Duration kLinkDelay = 2ms;
constexpr Duration kStep = 1ms;

// Gateways that tell each other what they see.
class GuardNetwork {
 public:
  explicit GuardNetwork(size_t gateways) : guards_(gateways) {
    for (CrashGuard& guard : guards_) {
      guard.SetHasPeers(true);
    }
  }

  void Lose(size_t gateway,
            uint64_t fingerprint,
            uint64_t call,
            const std::string& endpoint,
            Duration ran = 5ms,
            bool idempotent = false) {
    ConnectionLoss loss{Fingerprint(fingerprint), CallId(call),           ServiceId("s"),
                        EndpointId(endpoint),     ClockOf(gateway) - ran, idempotent};
    guards_.at(gateway).OnConnectionLost(ClockOf(gateway), loss);
    Exchange();
  }
  void Answer(size_t gateway, uint64_t fingerprint) {
    guards_.at(gateway).OnAnswered(ClockOf(gateway), Fingerprint(fingerprint));
  }
  void Run(Duration time) {
    for (const MonoTime end = now_ + time; now_ < end; now_ += kStep) {
      Exchange();
    }
  }
  // Replaces a gateway by one that has just started and asked a peer.
  void Restart(size_t gateway, size_t asked) {
    guards_.at(gateway) = CrashGuard();
    guards_.at(gateway).SetHasPeers(true);
    CrashEvidence snapshot = Named(asked, guards_.at(asked).Snapshot(ClockOf(asked)));
    guards_.at(gateway).OnPeerEvidence(ClockOf(gateway), snapshot);
  }
  // Returns the number of gateways that block a request.
  size_t Blocking(uint64_t fingerprint) const {
    size_t count = 0;
    for (size_t i = 0; i < guards_.size(); ++i) {
      count += guards_[i].Blocks(ClockOf(i), Fingerprint(fingerprint)) ? 1 : 0;
    }
    return count;
  }
  size_t notices() const { return notices_; }
  size_t messages() const { return messages_; }
  size_t told_losses() const { return told_losses_; }

 private:
  struct InTransit {
    MonoTime due;
    size_t from = 0;
    CrashEvidence evidence;
    std::vector<Fingerprint> blocked;
  };

  // The clocks of two gateways differ by much.
  MonoTime ClockOf(size_t gateway) const {
    return now_ + std::chrono::seconds(1000 * static_cast<int64_t>(gateway));
  }
  static CrashEvidence Named(size_t gateway, CrashEvidence evidence) {
    for (ObservedLoss& observed : evidence.losses) {
      if (observed.loss.gateway.empty()) {
        observed.loss.gateway = GatewayId("g" + std::to_string(gateway));
      }
    }
    return evidence;
  }
  void Exchange() {
    for (size_t i = 0; i < guards_.size(); ++i) {
      std::vector<Fingerprint> blocked = guards_[i].TakeNewlyBlocked(ClockOf(i));
      CrashEvidence evidence = Named(i, guards_[i].TakeEvidence(ClockOf(i)));
      notices_ += blocked.size();
      messages_ += evidence.empty() ? 0 : 1;
      told_losses_ += evidence.losses.size();
      if (!blocked.empty() || !evidence.empty()) {
        in_transit_.push_back({now_ + kLinkDelay, i, evidence, blocked});
      }
    }
    while (!in_transit_.empty() && in_transit_.front().due <= now_) {
      const InTransit message = in_transit_.front();
      in_transit_.erase(in_transit_.begin());
      Deliver(message);
    }
  }
  void Deliver(const InTransit& message) {
    for (size_t i = 0; i < guards_.size(); ++i) {
      if (i == message.from) {
        continue;
      }
      guards_[i].OnPeerEvidence(ClockOf(i), message.evidence);
      for (const Fingerprint fingerprint : message.blocked) {
        guards_[i].BlockFromPeer(ClockOf(i), fingerprint);
      }
    }
  }

  MonoTime now_ = MonoTime(100s);
  std::vector<CrashGuard> guards_;
  std::vector<InTransit> in_transit_;
  size_t notices_ = 0;
  size_t messages_ = 0;
  size_t told_losses_ = 0;
};

TEST_CASE("a request that comes to another gateway each time is blocked after two crashes",
          "[crash_evidence_test]") {
  // Guards against losses that are never added up: with N gateways a request that is sent once in
  // a call crashed N + 1 endpoints (review/4).
  for (const size_t gateways : {2, 17, 152, 300}) {
    GuardNetwork network(gateways);
    network.Lose(0, 1, 1, "a");
    // Requests that were running there.
    network.Lose(1, 50, 1, "a");
    network.Lose(1, 51, 2, "a");
    network.Run(2s);
    CHECK(network.Blocking(1) == 0);
    network.Lose(1, 1, 3, "b");
    network.Run(500ms);
    INFO(gateways << " gateways");
    CHECK(network.Blocking(1) == gateways);
    CHECK(network.Blocking(50) + network.Blocking(51) == 0);
    CHECK(network.notices() == 1);
  }
}

TEST_CASE("calls of two gateways with the same number are different calls",
          "[crash_evidence_test]") {
  // Guards against call numbers that each gateway counts for itself: an order that was running at
  // another endpoint before the first loss would be taken for a retry.
  GuardNetwork network(2);
  network.Lose(0, 1, 7, "a");
  network.Run(100ms);
  network.Lose(1, 1, 7, "b", 2s);
  network.Run(1s);
  CHECK(network.Blocking(1) == 0);
}

TEST_CASE("two crashing requests that come together are both blocked when they come again",
          "[crash_evidence_test]") {
  // Guards against crashing requests that excuse each other (review/5).
  for (const size_t gateways : {3, 17}) {
    GuardNetwork network(gateways);
    network.Lose(0, 1, 1, "a", 5ms, true);
    network.Lose(0, 2, 2, "b", 5ms, true);
    network.Run(20ms);
    network.Lose(0, 1, 1, "c", 5ms, true);
    network.Lose(0, 2, 2, "d", 5ms, true);
    network.Run(4s);
    network.Lose(0, 1, 3, "e", 5ms, true);
    network.Lose(0, 2, 4, "f", 5ms, true);
    network.Run(20ms);
    network.Lose(0, 1, 3, "g", 5ms, true);
    network.Lose(0, 2, 4, "h", 5ms, true);
    network.Run(1s);
    INFO(gateways << " gateways");
    CHECK(network.Blocking(1) == gateways);
    CHECK(network.Blocking(2) == gateways);
  }
}

TEST_CASE("a gateway that starts is told what is blocked and what is suspected",
          "[crash_evidence_test]") {
  // Guards against gateways that restart in turn and let a crashing request through each time.
  GuardNetwork network(17);
  network.Lose(0, 1, 1, "a");
  network.Run(1s);
  network.Lose(1, 1, 2, "b");
  network.Lose(2, 9, 3, "b");
  network.Run(2s);
  REQUIRE(network.Blocking(1) == 17);
  for (size_t i = 1; i < 17; ++i) {
    network.Restart(i, i - 1);
  }
  CHECK(network.Blocking(1) == 17);
  network.Restart(0, 16);
  network.Run(1s);
  network.Lose(0, 9, 4, "c");
  network.Run(1s);
  CHECK(network.Blocking(9) == 17);
}

TEST_CASE("what was running in a zone that fails is not blocked by 17 gateways",
          "[crash_evidence_test]") {
  // Guards the first rule: an attempt sent before the first loss confirms nothing. All endpoints of
  // a zone fail within 200 ms, and each request runs at two of them for two gateways.
  GuardNetwork network(17);
  for (uint64_t request = 1; request <= 40; ++request) {
    const std::string endpoint = "e" + std::to_string(request % 8);
    const std::string other = "e" + std::to_string((request + 3) % 8);
    network.Lose(request % 17, request, request, endpoint, 500ms, true);
    network.Lose((request + 5) % 17, request, request, other, 500ms, true);
    network.Run(5ms);
  }
  network.Run(3s);
  for (uint64_t request = 1; request <= 40; ++request) {
    CHECK(network.Blocking(request) == 0);
  }
}

TEST_CASE("an answer at one gateway clears the suspicion at 17", "[crash_evidence_test]") {
  // Guards the second rule: a popular request is lost at one gateway and answered at another.
  GuardNetwork network(17);
  network.Lose(3, 1, 1, "a");
  network.Run(1s);
  network.Answer(5, 1);
  network.Run(1s);
  network.Lose(9, 1, 2, "b");
  network.Run(1s);
  CHECK(network.Blocking(1) == 0);
}

TEST_CASE("requests that a herd of failing endpoints interrupts are not blocked by 17 gateways",
          "[crash_evidence_test]") {
  // Guards the third rule: endpoints fail for another reason, and requests that were sent again are
  // lost again, first at once and then for seconds.
  for (const Duration gap : {Duration(20ms), Duration(1500ms)}) {
    GuardNetwork network(17);
    for (int round = 0; round < 4; ++round) {
      for (uint64_t request = 1; request <= 12; ++request) {
        const auto endpoint = std::to_string((request + static_cast<uint64_t>(round)) % 6);
        network.Lose(request % 17, request, request, "e" + endpoint, 5ms, true);
      }
      network.Run(gap);
    }
    network.Run(3s);
    for (uint64_t request = 1; request <= 12; ++request) {
      INFO("request " << request << " gap " << gap.count());
      CHECK(network.Blocking(request) == 0);
    }
  }
}

TEST_CASE("messages about losses are bounded when many endpoints fail", "[crash_evidence_test]") {
  // Guards against an outage whose losses, told to all gateways, use up their network links.
  GuardNetwork network(17);
  for (uint64_t i = 0; i < 17'000; ++i) {
    network.Lose(i % 17, i, i, "e" + std::to_string(i % 100));
    if (i % 17 == 0) {
      network.Run(2ms);
    }
  }
  // 17 gateways, two seconds: in each second a gateway sends one full message.
  CHECK(network.messages() <= 17 * 3);
  CHECK(network.told_losses() <= 17 * 3 * CrashGuard::kMaxToldAtOnce);
}

}  // namespace
}  // namespace jd
