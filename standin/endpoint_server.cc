#include "standin/endpoint_server.h"

#include <event2/bufferevent.h>

#include <utility>

#include "standin/echo_body.h"

namespace jd {
namespace {

constexpr Duration kCrashDownTime = 1s;
constexpr char kHealthPath[] = "/health";

// evhttp stops reading from a connection while a request waits for its answer, so it does not
// notice that the caller closed the connection. Reading is enabled again here without a read
// callback, so that evhttp gets the end-of-stream event but no data.
void WatchForClose(evhttp_connection* connection) {
  bufferevent* stream = evhttp_connection_get_bufferevent(connection);
  bufferevent_data_cb on_read = nullptr;
  bufferevent_data_cb on_write = nullptr;
  bufferevent_event_cb on_event = nullptr;
  void* arg = nullptr;
  bufferevent_getcb(stream, &on_read, &on_write, &on_event, &arg);
  bufferevent_setcb(stream, nullptr, on_write, on_event, arg);
  bufferevent_enable(stream, EV_READ);
}

void AddLoadReport(evhttp_request* request, const LoadReport& report) {
  evkeyvalq* headers = evhttp_request_get_output_headers(request);
  evhttp_add_header(headers, "x-instance-id", report.instance.value.c_str());
  evhttp_add_header(headers, "x-load", FormatLoadReport(report).c_str());
}

}  // namespace

EndpointServer::EndpointServer(event_base* base,
                               const EndpointSettings& settings,
                               uint64_t seed,
                               std::string crash_marker,
                               RunLedger* ledger)
    : timer_(base, [this] { AdvanceModel(); }),
      reopen_timer_(base, [this] { http_.OpenListener(); }),
      model_(settings, seed, ledger),
      ledger_(ledger),
      crash_marker_(std::move(crash_marker)),
      http_(base, settings.port, [this](evhttp_request* request) { Serve(request); }) {}

UpstreamJob EndpointServer::ParseJob(evhttp_request* request,
                                     const std::string& body,
                                     bool new_connection) {
  UpstreamJob job;
  job.token = ++last_token_;
  job.request_id = HeaderValue(request, "x-request-id");
  job.method = RequestMethod(request);
  job.new_connection = new_connection;
  job.probe = RequestPath(request) == kHealthPath;
  job.crash = HeaderValue(request, "x-crash") == "1" ||
              (!crash_marker_.empty() && body.find(crash_marker_) != std::string::npos);
  const std::string deadline = HeaderValue(request, "x-deadline-ms");
  if (!deadline.empty()) {
    const double millis = std::strtod(deadline.c_str(), nullptr);
    job.deadline = ReadStandinClocks().mono + Duration(static_cast<int64_t>(millis * 1000));
  }
  return job;
}

void EndpointServer::RefuseConnection(evhttp_request* request) {
  ++ledger_->endpoint_counters(model_.settings().id).refused;
  evkeyvalq* headers = evhttp_request_get_output_headers(request);
  evhttp_add_header(headers, "x-refused", "not-run");
  evhttp_add_header(headers, "Connection", "close");
  ReplyJson(request, 503, {{"error", "too many connections"}});
}

void EndpointServer::Serve(evhttp_request* request) {
  evhttp_connection* connection = evhttp_request_get_connection(request);
  const bool is_new = !connections_.contains(connection);
  if (is_new && std::cmp_greater_equal(connections_.size(), model_.settings().max_connections)) {
    RefuseConnection(request);
    return;
  }
  Connection& state = connections_[connection];
  if (is_new) {
    state.server = this;
    evhttp_connection_set_closecb(
        connection,
        [](evhttp_connection* closed, void* arg) {
          static_cast<EndpointServer*>(arg)->OnConnectionClosed(closed);
        },
        this);
  }
  const std::string body = ReadBody(request);
  const UpstreamJob job = ParseJob(request, body, is_new);
  state.token = job.token;
  pending_[job.token] = Pending{request, connection, job.request_id, BodyHash(body), job.probe};
  WatchForClose(connection);
  if (state.silent) {
    return;
  }
  UpstreamOutput out;
  model_.Submit(ReadStandinClocks().mono, job, &out);
  ApplyOutput(out);
}

void EndpointServer::OnConnectionClosed(evhttp_connection* connection) {
  const auto state = connections_.find(connection);
  if (state == connections_.end()) {
    return;
  }
  const auto waiting = pending_.find(state->second.token);
  if (waiting != pending_.end()) {
    evhttp_request* request = waiting->second.request;
    pending_.erase(waiting);
    model_.Cancel(ReadStandinClocks().mono, state->second.token);
    // evhttp has already detached the request from its connection, so this call only frees the
    // request.
    evhttp_send_reply(request, 500, nullptr, nullptr);
  }
  connections_.erase(state);
}

void EndpointServer::SendAnswer(const UpstreamAnswer& answer) {
  const auto found = pending_.find(answer.token);
  if (found == pending_.end() || connections_[found->second.connection].silent) {
    return;
  }
  const Pending pending = std::move(found->second);
  pending_.erase(found);
  connections_[pending.connection].token = 0;
  const LoadReport report = model_.Report(ReadStandinClocks().mono);
  AddLoadReport(pending.request, report);
  evkeyvalq* headers = evhttp_request_get_output_headers(pending.request);
  if (answer.refused_not_run) {
    evhttp_add_header(headers, "x-refused", "not-run");
  }
  if (!pending.request_id.empty()) {
    evhttp_add_header(headers, "x-request-id", pending.request_id.c_str());
  }
  nlohmann::json body = {{"request_id", pending.request_id},
                         {"body_hash", pending.body_hash},
                         {"endpoint", model_.settings().id},
                         {"padding", std::string(model_.settings().padding, '.')}};
  if (pending.probe) {
    body = {{"load", FormatLoadReport(report)}, {"instance", report.instance.value}};
  }
  ReplyJson(pending.request, answer.status, body);
}

void EndpointServer::ApplyOutput(const UpstreamOutput& out) {
  for (const UpstreamAnswer& answer : out.answers) {
    SendAnswer(answer);
  }
  if (out.crashed) {
    Crash(kCrashDownTime);
  }
  const std::optional<MonoTime> next = model_.next_event();
  if (next) {
    timer_.Arm(*next - ReadStandinClocks().mono);
  }
}

void EndpointServer::AdvanceModel() {
  UpstreamOutput out;
  model_.Advance(ReadStandinClocks().mono, &out);
  ApplyOutput(out);
}

void EndpointServer::Crash(Duration down_for) {
  model_.Restart(ReadStandinClocks().mono);
  http_.CloseListener();
  for (const auto& [connection, state] : connections_) {
    ShutDownConnection(connection);
  }
  reopen_timer_.Arm(down_for);
}

void EndpointServer::SilenceConnections() {
  for (auto& [connection, state] : connections_) {
    state.silent = true;
  }
}

}  // namespace jd
