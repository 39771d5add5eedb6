#include "standin/row_server.h"

#include <cstdlib>
#include <string>

#include "standin/standin_http.h"

namespace jd {
namespace {

// Interval at which waiting feed requests are checked for changes.
constexpr Duration kPollInterval = 10ms;

uint64_t ParseNumber(evhttp_request* request, const char* name) {
  return std::strtoull(QueryValue(request, name, "0").c_str(), nullptr, 10);
}

RowRequest ParseRowRequest(evhttp_request* request) {
  RowRequest row_request;
  row_request.path = RequestPath(request);
  row_request.table = QueryValue(request, "table", "");
  row_request.part = QueryValue(request, "part", "");
  row_request.from = QueryValue(request, "from", "");
  row_request.to = QueryValue(request, "to", "");
  row_request.limit = ParseNumber(request, "limit");
  row_request.after = ParseNumber(request, "after");
  row_request.wait = std::chrono::milliseconds(ParseNumber(request, "wait_ms"));
  row_request.body = ReadBody(request);
  return row_request;
}

}  // namespace

RowServer::RowServer(event_base* base) : timer_(base, [this] { AnswerReadyRequests(); }) {
  timer_.Arm(kPollInterval);
}

void RowServer::Serve(evhttp_request* request) {
  if (fault_ == RowFault::kReset) {
    CloseWithoutReply(request);
    return;
  }
  if (fault_ == RowFault::kRefuse) {
    AddEra(request);
    ReplyJson(request, 503, {{"error", "unavailable"}});
    return;
  }
  HeldRequest call{request, ParseRowRequest(request), ReadStandinClocks().mono, {}, false};
  call.process_after = call.arrived + (fault_ == RowFault::kSlow ? slow_delay_ : Duration(0));
  call.drop_reply = fault_ == RowFault::kLoseAnswer;
  held_requests_.push_back(std::move(call));
  AnswerReadyRequests();
}

void RowServer::AnswerReadyRequests() {
  timer_.Arm(kPollInterval);
  const MonoTime now = ReadStandinClocks().mono;
  for (auto call = held_requests_.begin(); call != held_requests_.end();) {
    const bool blocked = fault_ == RowFault::kSilent || now < call->process_after;
    const std::optional<RowReply> reply =
        blocked ? std::nullopt : store_.Handle(now, call->row_request, now - call->arrived);
    if (!reply) {
      ++call;
      continue;
    }
    SendReply(*call, *reply);
    call = held_requests_.erase(call);
  }
}

void RowServer::AddEra(evhttp_request* request) const {
  evhttp_add_header(evhttp_request_get_output_headers(request), "Store-Era",
                    std::to_string(store_.era()).c_str());
}

void RowServer::SendReply(const HeldRequest& call, const RowReply& reply) const {
  if (call.drop_reply) {
    CloseWithoutReply(call.request);
  } else {
    AddEra(call.request);
    ReplyJson(call.request, reply.status, reply.body);
  }
}

}  // namespace jd
