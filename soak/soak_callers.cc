#include "soak/soak_callers.h"

#include <random>

#include "soak/soak_environment.h"
#include "standin/standin_http.h"

namespace jd {
namespace {

constexpr Duration kTickInterval = 2ms;
constexpr int64_t kMaxThinkMs = 120;
constexpr int kConnectionTimeoutSeconds = 12;
constexpr int kIdempotentPercent = 50;
constexpr int kVersionRoutePercent = 15;

std::string AnswerHeader(evhttp_request* reply, const char* name) {
  const char* value = evhttp_find_header(evhttp_request_get_input_headers(reply), name);
  return value == nullptr ? "" : value;
}

}  // namespace

SoakCallers::SoakCallers(event_base* base, uint64_t seed, GuaranteeChecker* checker)
    : base_(base), random_(seed), checker_(checker), timer_(base, [this] { SendDueRequests(); }) {
  timer_.Arm(kTickInterval);
}

void SoakCallers::AddCaller(const std::string& gateway, uint16_t port) {
  Caller& caller = callers_.emplace_back();
  caller.callers = this;
  caller.gateway = gateway;
  caller.connection.reset(evhttp_connection_base_new(base_, nullptr, "127.0.0.1", port));
  evhttp_connection_set_timeout(caller.connection.get(), kConnectionTimeoutSeconds);
}

void SoakCallers::SendDueRequests() {
  const MonoTime now = ReadStandinClocks().mono;
  for (Caller& caller : callers_) {
    if (!caller.awaiting_answer && !stopped_ && now >= caller.next_send) {
      SendRequest(&caller);
    }
  }
  timer_.Arm(kTickInterval);
}

void SoakCallers::SendRequest(Caller* caller) {
  std::uniform_int_distribution<int> percent(1, 100);
  SoakRequest request;
  request.id = "r" + std::to_string(++sent_);
  request.gateway = caller->gateway;
  request.idempotent = percent(random_) <= kIdempotentPercent;
  request.timeout = kRouteTimeout;
  std::string path = request.idempotent ? kReadPrefix : kWritePrefix;
  if (configuration_version_ > 1 && percent(random_) <= kVersionRoutePercent) {
    request.route_version = configuration_version_ - percent(random_) % 2;
    request.idempotent = true;
    path = VersionRoutePrefix(request.route_version);
  }
  evhttp_request* call = evhttp_request_new(&OnReply, caller);
  evkeyvalq* headers = evhttp_request_get_output_headers(call);
  evhttp_add_header(headers, "Host", kSoakHost);
  evhttp_add_header(headers, "Request-Id", request.id.c_str());
  evhttp_add_header(headers, "Request-Deadline", "3000");
  caller->request_id = request.id;
  caller->awaiting_answer = true;
  checker_->OnRequestSent(ReadStandinClocks().mono, request);
  evhttp_make_request(caller->connection.get(), call,
                      request.idempotent ? EVHTTP_REQ_GET : EVHTTP_REQ_POST, (path + "x").c_str());
}

void SoakCallers::OnReply(evhttp_request* reply, void* context) {
  auto* caller = static_cast<Caller*>(context);
  SoakCallers* callers = caller->callers;
  SoakAnswer answer;
  answer.status = reply == nullptr ? 0 : evhttp_request_get_response_code(reply);
  if (answer.status != 0) {
    answer.request_id = AnswerHeader(reply, "Request-Id");
    answer.stamp = AnswerHeader(reply, "Server-Stamp");
    answer.body = ReadBody(reply);
  }
  const MonoTime now = ReadStandinClocks().mono;
  caller->awaiting_answer = false;
  const auto think = std::chrono::milliseconds(
      std::uniform_int_distribution<int64_t>(1, kMaxThinkMs)(callers->random_));
  caller->next_send = now + think;
  callers->checker_->OnAnswer(now, caller->request_id, answer);
}

}  // namespace jd
