// The cases of the review that are scripts.
#pragma once

#include <iostream>

#include "deployment.hpp"

namespace kit {

struct Setup {
  GatewayProcess::Place place;
  Recorder* record;
  bool trouble;
};

inline void Summary(const Setup& setup, const std::string& text) {
  setup.record->Add(text);
  std::cout << text << "\n";
}

// A store, gateways and endpoints.
struct Deployment {
  Store store;
  RunLog log;
  std::vector<std::unique_ptr<Endpoint>> endpoints;
  std::vector<std::unique_ptr<GatewayProcess>> gateways;
  Recorder* record;

  explicit Deployment(const Setup& setup) : record(setup.record) {}

  void AddEndpoints(const std::string& name, int count, const EndpointOptions& options) {
    for (int i = 0; i < count; ++i) {
      EndpointOptions own = options;
      own.zone = std::string("zone-") + static_cast<char>('a' + i % zones);
      endpoints.push_back(
          std::make_unique<Endpoint>("i-" + name + std::to_string(i), own, &store, &log, record));
    }
  }
  // Starts the gateways and waits until all say that they are ready.
  bool StartGateways(const Setup& setup, int count) {
    for (int i = 0; i < count; ++i) {
      const std::string zone = std::string("zone-") + static_cast<char>('a' + i % zones);
      gateways.push_back(std::make_unique<GatewayProcess>(
          setup.place, "edge-" + zone + "-" + std::to_string(i), zone, store.port(), record));
    }
    for (const auto& gateway : gateways) {
      gateway->Start();
    }
    const int64_t until = NowMs() + 20'000;
    for (const auto& gateway : gateways) {
      while (!gateway->Ready()) {
        if (NowMs() > until) {
          std::cerr << gateway->name() << " does not get ready\n";
          return false;
        }
        SleepMs(50);
      }
    }
    record->Add("ready");
    return true;
  }
  void StopGateways() {
    for (const auto& gateway : gateways) {
      gateway->Stop();
    }
  }
  int zones = 1;
};

// Sends ordinary requests at a steady rate, each to the next gateway, until it is stopped.
class Load {
 public:
  // Reads, or orders if `orders` is set; each has a path of its own.
  Load(Deployment* deployment, int interval_ms, bool orders = false)
      : deployment_(deployment), name_(orders ? "order" : "read") {
    thread_ = std::thread([this, interval_ms, orders] {
      for (int i = 0; !stop_; ++i) {
        ++pending_;
        std::thread([this, i, orders] {
          const auto& gateways = deployment_->gateways;
          const std::string id = name_ + "-" + std::to_string(i);
          const std::string path = (orders ? "/orders/" : "/status/") + std::to_string(i);
          const Answer answer = Call(gateways[static_cast<size_t>(i) % gateways.size()]->front(),
                                     orders ? "POST" : "GET", path, id, 2500, orders ? "{}" : "",
                                     deployment_->record);
          ++sent_;
          good_ += answer.status == 200 ? 1 : 0;
          unanswered_ += answer.status == 0 ? 1 : 0;
          // The order was passed on to an endpoint and its result is unknown to the caller.
          lost_ += answer.status != 200 && deployment_->log.Count(id) > 0 ? 1 : 0;
          --pending_;
        }).detach();
        SleepMs(interval_ms);
      }
    });
  }
  void Stop() {
    stop_ = true;
    thread_.join();
    while (pending_ > 0) {
      SleepMs(10);
    }
  }
  int sent() const { return sent_; }
  int good() const { return good_; }
  int unanswered() const { return unanswered_; }
  std::string Totals() const {
    return name_ + "s sent " + std::to_string(sent_) + ", answered with success " +
           std::to_string(good_) + ", begun by an endpoint and not answered with success " +
           std::to_string(lost_);
  }

 private:
  Deployment* deployment_;
  std::string name_;
  std::thread thread_;
  std::atomic<int> lost_{0};
  std::atomic<bool> stop_{false};
  std::atomic<int> pending_{0};
  std::atomic<int> sent_{0};
  std::atomic<int> good_{0};
  std::atomic<int> unanswered_{0};
};

// Judges the rule on requests that crash the endpoints that run them.
struct CrashJudge {
  static constexpr int kStableWindowMs = 3000;
  static constexpr int kMaxLateRetries = 3;

  // Returns whether more retries than allowed, sent late, have reached endpoints.
  // `sent` holds when each attempt of the requester was sent, by its id.
  static bool Broken(const Setup& setup,
                     Deployment* deployment,
                     const std::string& name,
                     const std::map<std::string, int64_t>& sent) {
    int runs = 0;
    int64_t third = 0;
    std::set<std::string> late;
    for (const Run& run : deployment->log.runs()) {
      const auto attempt = sent.find(run.id);
      if (attempt == sent.end()) {
        continue;
      }
      if (++runs == 3) {
        third = run.at;
      }
      if (third > 0 && attempt->second > third + kStableWindowMs) {
        late.insert(run.id);
      }
    }
    Summary(
        setup,
        name + ": sent " + std::to_string(sent.size()) + " times, crashed " + std::to_string(runs) +
            " endpoints; retries that were sent later than " + std::to_string(kStableWindowMs) +
            " ms after the third crash and reached an endpoint: " + std::to_string(late.size()) +
            " (bound " + std::to_string(kMaxLateRetries) + ")");
    return late.size() > kMaxLateRetries;
  }
};

// Endpoints of the cases in which a request crashes them. Their work takes long enough that a crash
// meets other requests.
constexpr int kCrashEndpoints = 16;
constexpr int kOrderIntervalMs = 25;
inline EndpointOptions CrashEndpointOptions() {
  EndpointOptions options;
  options.work_ms = 300;
  return options;
}

// An entry of another writer whose address is no address.
inline int ForeignEntry(const Setup& setup) {
  Deployment& d = *new Deployment(setup);  // Its threads run until the process ends.
  d.zones = 2;
  d.store.Put(
      "op", "config",
      Manifest(7, {{"/status/", "idempotent"}, {"/orders/", "non_idempotent"}}, {"ledger"}));
  d.AddEndpoints("ledger", 6, {});
  if (!d.StartGateways(setup, 4)) {
    return 2;
  }
  Load reads(&d, 50);
  SleepMs(3000);
  const char* named = std::getenv("ADDRESS");
  const std::string address = named == nullptr ? "ledger-7:8080" : named;
  // Like an endpoint, the other writer writes its entry once in each heartbeat interval.
  for (int seq = 1; seq <= 10; ++seq) {
    if (setup.trouble) {
      d.store.Put("servers", "i-other",
                  "{\"service\":\"ledger\",\"address\":" + Quote(address) +
                      ",\"zone\":\"zone-a\",\"config_version\":\"v1\",\"slots\":4,"
                      "\"state\":\"ready\",\"warmup_left_ms\":0,\"seq\":" +
                      std::to_string(seq) + ",\"born\":1796000000000}");
      setup.record->Add("other writer: servers/i-other address=" + address);
    }
    SleepMs(1500);
  }
  reads.Stop();
  int ended_often = 0;
  for (const auto& gateway : d.gateways) {
    Summary(setup,
            gateway->name() + " ended by itself " + std::to_string(gateway->own_ends()) + " times");
    ended_often += gateway->own_ends() >= 3 ? 1 : 0;
  }
  d.StopGateways();
  Summary(setup, "reads sent " + std::to_string(reads.sent()) + " good " +
                     std::to_string(reads.good()) + " without an answer " +
                     std::to_string(reads.unanswered()));
  return ended_often >= 2 ? 1 : 0;
}

// A request that crashes the endpoints that run it, sent again to another machine each time.
inline int CrashingRequest(const Setup& setup) {
  constexpr int kGateways = 9;
  Deployment& d = *new Deployment(setup);  // Its threads run until the process ends.
  d.zones = 3;
  d.store.Put(
      "op", "config",
      Manifest(7, {{"/status/", "idempotent"}, {"/orders/", "non_idempotent"}}, {"ledger"}));
  d.AddEndpoints("ledger", kCrashEndpoints, CrashEndpointOptions());
  for (const auto& endpoint : d.endpoints) {
    endpoint->crashes_on = [&](const Message& request) {
      return setup.trouble && request.Word(1) == "/orders/bad";
    };
  }
  if (!d.StartGateways(setup, kGateways)) {
    return 2;
  }
  SleepMs(4000);
  Load reads(&d, 100);
  Load orders(&d, kOrderIntervalMs, true);
  std::map<std::string, int64_t> sent;
  for (int i = 0; i < 16; ++i) {
    const std::string id = "bad-" + std::to_string(i);
    const int64_t begin = NowMs();
    sent[id] = begin;
    Call(d.gateways[static_cast<size_t>(i) % kGateways]->front(), "POST", "/orders/bad", id, 3000,
         "{\"order\":777}", setup.record);
    SleepMs(begin + 2000 - NowMs());
  }
  reads.Stop();
  orders.Stop();
  d.StopGateways();
  Summary(setup, reads.Totals());
  Summary(setup, orders.Totals());
  return setup.trouble && CrashJudge::Broken(setup, &d, "/orders/bad", sent) ? 1 : 0;
}

// Two requests that crash the endpoints that run them, sent at the same time, again and again.
inline int TwoCrashingRequests(const Setup& setup) {
  Deployment& d = *new Deployment(setup);  // Its threads run until the process ends.
  d.store.Put(
      "op", "config",
      Manifest(7, {{"/status/", "idempotent"}, {"/orders/", "non_idempotent"}}, {"ledger"}));
  d.AddEndpoints("ledger", kCrashEndpoints, CrashEndpointOptions());
  const size_t kinds = setup.trouble ? 2 : 1;
  for (const auto& endpoint : d.endpoints) {
    endpoint->crashes_on = [](const Message& request) {
      return request.Word(1).rfind("/status/bad-", 0) == 0;
    };
  }
  if (!d.StartGateways(setup, 3)) {
    return 2;
  }
  SleepMs(4000);
  Load reads(&d, 50);
  Load orders(&d, kOrderIntervalMs, true);
  SleepMs(3000);
  // The platform chooses the gateway by a hash of the requester, so a requester keeps to one.
  const uint16_t front = d.gateways[0]->front();
  std::vector<std::map<std::string, int64_t>> sent(kinds);
  for (int i = 0; i < 10; ++i) {
    const int64_t begin = NowMs();
    std::vector<std::thread> calls;
    for (size_t kind = 0; kind < kinds; ++kind) {
      const std::string path = "/status/bad-" + std::to_string(kind);
      const std::string id = "bad-" + std::to_string(kind) + "-" + std::to_string(i);
      sent[kind][id] = begin;
      calls.emplace_back(
          [&setup, front, path, id] { Call(front, "GET", path, id, 2500, "", setup.record); });
    }
    for (std::thread& call : calls) {
      call.join();
    }
    SleepMs(begin + 4000 - NowMs());
  }
  reads.Stop();
  orders.Stop();
  d.StopGateways();
  Summary(setup, reads.Totals());
  Summary(setup, orders.Totals());
  int broken = 0;
  for (size_t kind = 0; kind < kinds; ++kind) {
    broken +=
        CrashJudge::Broken(setup, &d, "/status/bad-" + std::to_string(kind), sent[kind]) ? 1 : 0;
  }
  return broken > 0 ? 1 : 0;
}

// An endpoint starts again under its instance id and works for another service from then on.
inline int MovedEndpoint(const Setup& setup) {
  Deployment& d = *new Deployment(setup);
  d.zones = 2;
  d.store.Put("op", "config",
              Manifest(7,
                       {{"/status/", "idempotent", "ledger"},
                        {"/orders/", "non_idempotent", "ledger"},
                        {"/intake/", "idempotent", "intake"}},
                       {"ledger", "intake"}));
  EndpointOptions ledger;
  ledger.work_ms = 300;
  d.AddEndpoints("ledger", 8, ledger);
  EndpointOptions intake;
  intake.service = "intake";
  d.AddEndpoints("intake", 2, intake);
  if (!d.StartGateways(setup, 4)) {
    return 2;
  }
  SleepMs(2000);
  std::vector<std::unique_ptr<KeptCaller>> callers;
  for (size_t i = 0; i < 16; ++i) {
    callers.push_back(std::make_unique<KeptCaller>(d.gateways[i % d.gateways.size()]->front(),
                                                   "kept-" + std::to_string(i),
                                                   "/orders/" + std::to_string(i), setup.record));
  }
  Load reads(&d, 100);
  std::atomic<bool> stop{false};
  std::thread intake_calls([&] {
    for (int i = 0; !stop; ++i) {
      Call(d.gateways[static_cast<size_t>(i) % 4]->front(), "GET", "/intake/1",
           "intake-" + std::to_string(i), 2500, "", setup.record);
      SleepMs(50);
    }
  });
  SleepMs(3000);
  if (setup.trouble) {
    d.endpoints[0]->RestartIn("intake");
  }
  SleepMs(6000);
  stop = true;
  intake_calls.join();
  reads.Stop();
  int lost = 0;
  int answered = 0;
  for (const auto& caller : callers) {
    caller->Stop();
    answered += caller->answered();
    for (const Run& run : d.log.runs()) {
      const auto& closed = caller->closed();
      // The endpoint that crashed is not sound.
      lost += run.endpoint != d.endpoints[0]->instance() &&
                      std::find(closed.begin(), closed.end(), run.id) != closed.end()
                  ? 1
                  : 0;
    }
  }
  for (const auto& gateway : d.gateways) {
    Summary(setup,
            gateway->name() + " ended by itself " + std::to_string(gateway->own_ends()) + " times");
  }
  d.StopGateways();
  Summary(setup, "orders on kept connections: answered " + std::to_string(answered) +
                     ", passed on and closed without an answer " + std::to_string(lost) +
                     " (bound 3)");
  return lost > 3 ? 1 : 0;
}

// Full endpoints reject probes, and faulty ones send some answers twice, late.
inline int SecondCopies(const Setup& setup) {
  constexpr double kShareOfAnswers = 0.03;
  constexpr size_t kFaultyEndpoints = 3;   // Of 6.
  Deployment& d = *new Deployment(setup);  // Its threads run until the process ends.
  RouteOptions orders_route{"/orders/", "non_idempotent"};
  orders_route.priority = 0;
  d.store.Put("op", "config", Manifest(7, {orders_route}, {"ledger"}));
  EndpointOptions options;
  options.work_ms = 150;
  options.queue = 4;
  d.AddEndpoints("ledger", 6, options);
  for (size_t i = 0; i < kFaultyEndpoints && setup.trouble; ++i) {
    d.endpoints[i]->second_copies = kShareOfAnswers;
  }
  if (!d.StartGateways(setup, 4)) {
    return 2;
  }
  SleepMs(2000);
  Load orders(&d, 5, true);
  SleepMs(30'000);
  orders.Stop();
  d.StopGateways();
  std::map<std::string, int> runs;
  for (const Run& run : d.log.runs()) {
    ++runs[run.id];
  }
  int twice = 0;
  for (const auto& [id, count] : runs) {
    if (count > 1) {
      ++twice;
      setup.record->Add("ran more than once: " + id);
    }
  }
  int rejected = 0;
  for (const auto& endpoint : d.endpoints) {
    rejected += endpoint->rejected_probes;
  }
  Summary(setup, orders.Totals());
  Summary(setup, "probes rejected by full endpoints " + std::to_string(rejected) +
                     ", orders that ran more than once " + std::to_string(twice) + " (bound 0)");
  return twice > 0 ? 1 : 0;
}

using CaseFunction = std::function<int(const Setup&)>;

inline const std::map<std::string, CaseFunction>& Cases() {
  static const std::map<std::string, CaseFunction> cases = {
      {"second-copies", SecondCopies},
      {"moved-endpoint", MovedEndpoint},
      {"foreign-entry", ForeignEntry},
      {"crashing-request", CrashingRequest},
      {"two-crashing-requests", TwoCrashingRequests},
  };
  return cases;
}

}  // namespace kit
