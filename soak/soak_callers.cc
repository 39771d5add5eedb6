#include "soak/soak_callers.h"

#include <random>

#include "soak/soak_site.h"
#include "standin/standin_http.h"

namespace jd {
namespace {

constexpr Duration kTick = 2ms;
constexpr int64_t kGreatestThinkMs = 120;
constexpr int kConnectionTimeoutSeconds = 12;
constexpr int kIdempotentPercent = 50;
constexpr int kVersionPercent = 15;

std::string AnswerHeader(evhttp_request* reply, const char* name) {
  const char* value = evhttp_find_header(evhttp_request_get_input_headers(reply), name);
  return value == nullptr ? "" : value;
}

}  // namespace

SoakCallers::SoakCallers(event_base* base, uint64_t seed, Promises* promises)
    : base_(base), random_(seed), promises_(promises), timer_(base, [this] { Advance(); }) {
  timer_.Arm(kTick);
}

void SoakCallers::Add(const std::string& gateway, uint16_t port) {
  Caller& caller = callers_.emplace_back();
  caller.callers = this;
  caller.gateway = gateway;
  caller.connection.reset(evhttp_connection_base_new(base_, nullptr, "127.0.0.1", port));
  evhttp_connection_set_timeout(caller.connection.get(), kConnectionTimeoutSeconds);
}

void SoakCallers::Advance() {
  const MonoTime now = ReadStandinClocks().mono;
  for (Caller& caller : callers_) {
    if (!caller.waits && !stopped_ && now >= caller.next) {
      Send(&caller);
    }
  }
  timer_.Arm(kTick);
}

void SoakCallers::Send(Caller* caller) {
  std::uniform_int_distribution<int> percent(1, 100);
  SoakRequest request;
  request.id = "r" + std::to_string(++sent_);
  request.gateway = caller->gateway;
  request.idempotent = percent(random_) <= kIdempotentPercent;
  request.limit = kRouteTimeout;
  std::string path = request.idempotent ? kReadPrefix : kWritePrefix;
  if (version_ > 1 && percent(random_) <= kVersionPercent) {
    request.route_version = version_ - percent(random_) % 2;
    request.idempotent = true;
    path = VersionPrefix(request.route_version);
  }
  evhttp_request* call = evhttp_request_new(&OnReply, caller);
  evkeyvalq* headers = evhttp_request_get_output_headers(call);
  evhttp_add_header(headers, "Host", kHost);
  evhttp_add_header(headers, "Request-Id", request.id.c_str());
  evhttp_add_header(headers, "Request-Deadline", "3000");
  caller->request = request.id;
  caller->waits = true;
  promises_->OnSent(ReadStandinClocks().mono, request);
  evhttp_make_request(caller->connection.get(), call,
                      request.idempotent ? EVHTTP_REQ_GET : EVHTTP_REQ_POST, (path + "x").c_str());
}

void SoakCallers::OnReply(evhttp_request* reply, void* context) {
  auto* caller = static_cast<Caller*>(context);
  SoakCallers* callers = caller->callers;
  SoakAnswer answer;
  answer.status = reply == nullptr ? 0 : evhttp_request_get_response_code(reply);
  if (answer.status != 0) {
    answer.request = AnswerHeader(reply, "Request-Id");
    answer.stamp = AnswerHeader(reply, "Server-Stamp");
    answer.body = ReadBody(reply);
  }
  const MonoTime now = ReadStandinClocks().mono;
  caller->waits = false;
  const auto think = std::chrono::milliseconds(
      std::uniform_int_distribution<int64_t>(1, kGreatestThinkMs)(callers->random_));
  caller->next = now + think;
  callers->promises_->OnAnswer(now, caller->request, answer);
}

}  // namespace jd
