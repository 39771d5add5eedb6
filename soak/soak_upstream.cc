#include "soak/soak_upstream.h"

#include <random>
#include <utility>

namespace jd {
namespace {

constexpr size_t kSlots = 4;
constexpr int64_t kMinServiceTimeMs = 5;
constexpr int64_t kMaxServiceTimeMs = 120;
constexpr Duration kTickInterval = 3ms;

void AddHeader(evhttp_request* request, const char* name, const std::string& value) {
  evhttp_add_header(evhttp_request_get_output_headers(request), name, value.c_str());
}

}  // namespace

SoakUpstream::SoakUpstream(event_base* base,
                           uint16_t port,
                           uint64_t seed,
                           ArrivalCallback on_arrival)
    : base_(base),
      port_(port),
      random_(seed),
      on_arrival_(std::move(on_arrival)),
      proxy_(std::make_unique<TcpProxy>(base, port)),
      timer_(base, [this] { AnswerDueRequests(); }) {
  timer_.Arm(kTickInterval);
}

void SoakUpstream::Start(const std::string& instance) {
  instance_ = instance;
  running_ = true;
  draining_ = false;
  limit_.reset();
  says_leaving_ = false;
  wants_nothing_until_ = MonoTime();
  http_ = std::make_unique<StandinHttp>(base_, port_,
                                        [this](evhttp_request* request) { ServeRequest(request); });
}

void SoakUpstream::Crash() {
  running_ = false;
  proxy_->SetFault(LinkFault::kReset);
  proxy_->SetFault(LinkFault::kNone);
  // http_ frees the requests that still have a connection; the others are freed here.
  for (const RunningRequest& run : std::exchange(running_requests_, {})) {
    if (evhttp_request_get_connection(run.request) == nullptr) {
      evhttp_request_free(run.request);
    }
  }
  http_.reset();
}

void SoakUpstream::ServeRequest(evhttp_request* request) {
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
  const bool wants_nothing = ReadStandinClocks().mono < wants_nothing_until_;
  const bool runs = running_requests_.size() < kSlots && !wants_nothing;
  on_arrival_(id, runs);
  if (TurnAway(request)) {
    return;
  }
  if (!runs) {
    AddLoadHeader(request);
    AddHeader(request, "Not-Executed", "1");
    ReplyText(request, 503, "full");
    return;
  }
  const int64_t service_time =
      std::uniform_int_distribution<int64_t>(kMinServiceTimeMs, kMaxServiceTimeMs)(random_);
  running_requests_.push_back(
      {request, id, ReadStandinClocks().mono + std::chrono::milliseconds(service_time)});
}

void SoakUpstream::ServeHealth(evhttp_request* request) {
  AddHeader(request, "Instance-Id", instance_);
  if (TurnAway(request)) {
    return;
  }
  AddLoadHeader(request);
  ReplyText(request, draining_ ? 503 : 200, "");
}

bool SoakUpstream::TurnAway(evhttp_request* request) {
  const Duration left = wants_nothing_until_ - ReadStandinClocks().mono;
  if (left <= Duration(0)) {
    return false;
  }
  AddLoadHeader(request);
  AddHeader(request, "Not-Executed", "1");
  AddHeader(request, "Retry-After", std::to_string(std::chrono::duration<double>(left).count()));
  ReplyText(request, 503, "wants nothing");
  return true;
}

void SoakUpstream::AddLoadHeader(evhttp_request* request) const {
  AddHeader(request, "Server-Load",
            std::to_string(running_requests_.size()) + ",0," + std::to_string(kSlots) + ",100");
  if (says_leaving_) {
    AddHeader(request, "Server-Leaving", "1");
  }
  if (limit_) {
    AddHeader(request, "Server-Limit", std::to_string(*limit_));
  }
}

void SoakUpstream::AnswerDueRequests() {
  const MonoTime now = ReadStandinClocks().mono;
  for (auto run = running_requests_.begin(); run != running_requests_.end();) {
    if (run->done_at > now) {
      ++run;
      continue;
    }
    const RunningRequest done = *run;
    run = running_requests_.erase(run);
    const std::string stamp = instance_ + "." + done.id;
    AddHeader(done.request, "Server-Stamp", stamp);
    AddLoadHeader(done.request);
    ReplyText(done.request, 200, stamp + " ran " + done.id);
  }
  timer_.Arm(kTickInterval);
}

}  // namespace jd
