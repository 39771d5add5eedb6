#include "standin/row_server.h"

#include <cstdlib>
#include <string>

#include "standin/standin_http.h"

namespace jd {
namespace {

// Interval at which waiting feed requests are checked for changes.
constexpr Duration kTick = 10ms;

uint64_t Number(evhttp_request* request, const char* name) {
  return std::strtoull(QueryValue(request, name, "0").c_str(), nullptr, 10);
}

RowQuery ReadQuery(evhttp_request* request) {
  RowQuery query;
  query.path = RequestPath(request);
  query.table = QueryValue(request, "table", "");
  query.part = QueryValue(request, "part", "");
  query.from = QueryValue(request, "from", "");
  query.to = QueryValue(request, "to", "");
  query.limit = Number(request, "limit");
  query.after = Number(request, "after");
  query.wait = std::chrono::milliseconds(Number(request, "wait_ms"));
  query.body = ReadBody(request);
  return query;
}

}  // namespace

RowServer::RowServer(event_base* base) : timer_(base, [this] { Advance(); }) {
  timer_.Arm(kTick);
}

void RowServer::Serve(evhttp_request* request) {
  if (fault_ == RowFault::kReset) {
    DropRequest(request);
    return;
  }
  if (fault_ == RowFault::kRefuse) {
    ReplyJson(request, 503, {{"error", "unavailable"}});
    return;
  }
  Waiting call{request, ReadQuery(request), ReadStandinClocks().mono, {}, false};
  call.not_before = call.arrived + (fault_ == RowFault::kSlow ? delay_ : Duration(0));
  call.lose = fault_ == RowFault::kLoseAnswer;
  waiting_.push_back(std::move(call));
  Advance();
}

void RowServer::Advance() {
  timer_.Arm(kTick);
  const MonoTime now = ReadStandinClocks().mono;
  for (auto call = waiting_.begin(); call != waiting_.end();) {
    const bool held = fault_ == RowFault::kSilent || now < call->not_before;
    const std::optional<RowReply> reply =
        held ? std::nullopt : store_.Handle(now, call->query, now - call->arrived);
    if (!reply) {
      ++call;
      continue;
    }
    Finish(*call, *reply);
    call = waiting_.erase(call);
  }
}

void RowServer::Finish(const Waiting& call, const RowReply& reply) {
  if (call.lose) {
    DropRequest(call.request);
  } else {
    ReplyJson(call.request, reply.status, reply.body);
  }
}

}  // namespace jd
