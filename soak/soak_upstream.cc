#include "soak/soak_upstream.h"

#include <random>
#include <utility>

namespace jd {
namespace {

constexpr size_t kSlots = 4;
constexpr int64_t kLeastWorkMs = 5;
constexpr int64_t kGreatestWorkMs = 120;
constexpr Duration kTick = 3ms;

void AddHeader(evhttp_request* request, const char* name, const std::string& value) {
  evhttp_add_header(evhttp_request_get_output_headers(request), name, value.c_str());
}

}  // namespace

SoakUpstream::SoakUpstream(event_base* base, uint16_t port, uint64_t seed, OnArrival arrival)
    : base_(base),
      port_(port),
      random_(seed),
      arrival_(std::move(arrival)),
      proxy_(std::make_unique<TcpProxy>(base, port)),
      timer_(base, [this] { Advance(); }) {
  timer_.Arm(kTick);
}

void SoakUpstream::Start(const std::string& instance) {
  instance_ = instance;
  running_ = true;
  draining_ = false;
  http_ = std::make_unique<StandinHttp>(base_, port_,
                                        [this](evhttp_request* request) { Serve(request); });
}

void SoakUpstream::Crash() {
  running_ = false;
  proxy_->SetFault(LinkFault::kReset);
  proxy_->SetFault(LinkFault::kNone);
  // http_ frees the requests that still have a connection; the others are freed here.
  for (const Run& run : std::exchange(runs_, {})) {
    if (evhttp_request_get_connection(run.request) == nullptr) {
      evhttp_request_free(run.request);
    }
  }
  http_.reset();
}

void SoakUpstream::Serve(evhttp_request* request) {
  const std::string id = HeaderValue(request, "Request-Id");
  if (id.empty()) {
    ServeHealth(request);
    return;
  }
  const std::string expected = HeaderValue(request, "Expect-Instance");
  AddHeader(request, "Request-Id", id);
  if (!expected.empty() && expected != instance_) {
    ReplyText(request, 421, "another instance");
    return;
  }
  const bool runs = runs_.size() < kSlots;
  arrival_(id, runs);
  if (!runs) {
    AddLoad(request);
    AddHeader(request, "Not-Executed", "1");
    ReplyText(request, 503, "full");
    return;
  }
  const int64_t work =
      std::uniform_int_distribution<int64_t>(kLeastWorkMs, kGreatestWorkMs)(random_);
  runs_.push_back({request, id, ReadStandinClocks().mono + std::chrono::milliseconds(work)});
}

void SoakUpstream::ServeHealth(evhttp_request* request) {
  AddHeader(request, "Instance-Id", instance_);
  AddLoad(request);
  ReplyText(request, draining_ ? 503 : 200, "");
}

void SoakUpstream::AddLoad(evhttp_request* request) const {
  AddHeader(request, "Server-Load",
            std::to_string(runs_.size()) + ",0," + std::to_string(kSlots) + ",100");
}

void SoakUpstream::Advance() {
  const MonoTime now = ReadStandinClocks().mono;
  for (auto run = runs_.begin(); run != runs_.end();) {
    if (run->until > now) {
      ++run;
      continue;
    }
    const Run done = *run;
    run = runs_.erase(run);
    const std::string stamp = instance_ + "." + done.id;
    AddHeader(done.request, "Server-Stamp", stamp);
    AddLoad(done.request);
    ReplyText(done.request, 200, stamp + " ran " + done.id);
  }
  timer_.Arm(kTick);
}

}  // namespace jd
