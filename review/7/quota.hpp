// What the two cases on allotments share: endpoints that note which requests arrive, requesters
// that ask for more than the allotment at every gateway, and the check of rule QUOTA.
#pragma once

#include <algorithm>

#include "world.hpp"

namespace kit {

struct QuotaTerms {
  int tenants = 1;
  double rate_per_s = 60;
  double burst = 20;
  double window_s = 5;
  double excess = 0.1;
  double slack = 20;
  double asked_share = 1;        // What a tenant asks each gateway for, as a share of its rate.
  bool random_times = false;     // Requests come at random times, not at equal distances.
  std::string ip = "127.0.0.1";  // Where the endpoints listen.
  double limit() const { return (rate_per_s * window_s + burst) * (1 + excess) + slack; }
};

class QuotaWorld {
 public:
  QuotaWorld(const QuotaTerms& terms, Record* record, Store* store)
      : terms_(terms), record_(record) {
    arrivals_.resize(static_cast<size_t>(terms.tenants));
    std::vector<Endpoint*> list;
    for (int i = 0; i < kEndpoints; ++i) {
      endpoints_.push_back(std::make_unique<Endpoint>(
          "i-" + std::to_string(i), "ledger", "nyarugenge", 20,
          [this, i](const std::shared_ptr<Connection>& connection, const Message& request) {
            Run(i, connection, request);
          },
          false, terms.ip));
      list.push_back(endpoints_.back().get());
    }
    heartbeats_ = std::make_unique<Heartbeats>(store, list);
    json manifest = ManifestJson(
        7, json::array({RouteJson("r-status", "/status/", "idempotent", "ledger", 1500, 800, 2)}),
        {"ledger"});
    for (int i = 0; i < terms.tenants; ++i) {
      manifest["tenants"].push_back({{"name", "t-" + std::to_string(i)},
                                     {"api_keys", {"key-" + std::to_string(i)}},
                                     {"priority", 1},
                                     {"rate_per_s", terms.rate_per_s},
                                     {"burst", terms.burst}});
    }
    store->Put("op", "config", manifest.dump());
  }

  // Starts requesters of each tenant at each gateway.
  void StartRequesters(const std::vector<Gateway*>& gateways, int threads) {
    started_ = Now();
    for (Gateway* gateway : gateways) {
      for (int tenant = 0; tenant < terms_.tenants; ++tenant) {
        for (int i = 0; i < threads; ++i) {
          requesters_.emplace_back(
              [this, gateway, tenant, threads] { Ask(gateway, tenant, threads); });
        }
      }
    }
  }
  void StopRequesters() {
    stop_ = true;
    for (std::thread& requester : requesters_) {
      requester.join();
    }
  }

  // Returns whether the rule held, and prints the worst window of each tenant.
  bool Check() {
    const std::lock_guard<std::mutex> lock(mutex_);
    bool held = true;
    for (size_t tenant = 0; tenant < arrivals_.size(); ++tenant) {
      std::vector<std::pair<double, double>>& runs = arrivals_[tenant];
      std::sort(runs.begin(), runs.end());  // By the time of sending.
      size_t worst = 0;
      double at = 0;
      for (size_t first = 0; first < runs.size(); ++first) {
        const double end = runs[first].first + terms_.window_s;
        size_t count = 0;
        for (size_t i = first; i < runs.size() && runs[i].first <= end; ++i) {
          count += runs[i].second <= end ? 1 : 0;
        }
        if (count > worst) {
          worst = count;
          at = runs[first].first - started_;
        }
      }
      const bool broken = static_cast<double>(worst) > terms_.limit();
      held = held && !broken;
      std::printf(
          "tenant t-%zu: at most %zu requests run in a window of %.0f s (from %.2f s on), allowed "
          "%.0f%s\n",
          tenant, worst, terms_.window_s, at, terms_.limit(), broken ? ": QUOTA broken" : "");
      record_->Line("tenant t-%zu: at most %zu in a window, from %.2f s on; allowed %.0f%s", tenant,
                    worst, at, terms_.limit(), broken ? ": QUOTA broken" : "");
    }
    for (const auto& [status, count] : statuses_) {
      std::printf("requests with status %d: %d\n", status, count);
    }
    return held;
  }

 private:
  static constexpr int kEndpoints = 6;

  void Run(int endpoint, const std::shared_ptr<Connection>& connection, const Message& request) {
    const std::string id = Find(request.headers, "Request-Id");
    const std::string tenant = Find(request.headers, "Tenant-Name");
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      arrivals_.at(std::strtoul(tenant.c_str() + 2, nullptr, 10)).emplace_back(sent_[id], Now());
    }
    record_->Line("run %s %s", id.c_str(), tenant.c_str());
    connection->Write(endpoints_[static_cast<size_t>(endpoint)]->Answer(200, request, "ok"));
  }

  void Ask(Gateway* gateway, int tenant, int threads) {
    std::mt19937 random(std::random_device{}());
    const double per_s = terms_.rate_per_s * terms_.asked_share / threads;
    std::exponential_distribution<double> gap(per_s);
    double due = Now();
    while (!stop_) {
      due = std::max(due + (terms_.random_times ? gap(random) : 1 / per_s), Now());
      SleepMs(static_cast<int>((due - Now()) * 1000));
      Request request;
      request.id = "q" + std::to_string(next_++);
      request.path = "/status/x";
      request.deadline_ms = 1500;
      request.extra = {{"Authorization", "Bearer key-" + std::to_string(tenant)}};
      {
        const std::lock_guard<std::mutex> lock(mutex_);
        sent_[request.id] = Now();
      }
      const Outcome outcome = Send(gateway->front(), request);
      record_->Line("sent %s t-%d to %s: %d", request.id.c_str(), tenant, gateway->name().c_str(),
                    outcome.status);
      {
        const std::lock_guard<std::mutex> lock(mutex_);
        ++statuses_[outcome.status];
      }
      if (outcome.status == 0) {
        SleepMs(20);
      }
    }
  }

  QuotaTerms terms_;
  Record* record_;
  std::vector<std::unique_ptr<Endpoint>> endpoints_;
  std::unique_ptr<Heartbeats> heartbeats_;
  std::mutex mutex_;
  std::map<std::string, double> sent_;
  std::vector<std::vector<std::pair<double, double>>> arrivals_;  // Sent and arrived, by tenant.
  std::map<int, int> statuses_;
  std::atomic<bool> stop_{false};
  std::atomic<int> next_{0};
  double started_ = 0;
  std::vector<std::thread> requesters_;
};

}  // namespace kit
