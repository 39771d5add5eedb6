#include "gateway/upstream_pool.h"

#include <algorithm>
#include <cassert>
#include <stdexcept>

#include "gateway/header_rules.h"
#include "gateway/log.h"

namespace jd {
namespace {

// Distinguishes the ids of probes from the ids of attempts, which the dispatcher counts from 1.
constexpr uint64_t kProbeBit = 1ULL << 63;

// No request is sent on an idle connection within this time before the upstream closes it.
constexpr Duration kIdleTimeoutMargin = 1s;
// A faulty upstream may send a second answer to a request, which arrives within about this time of
// the first. If the next request were already sent on the connection, the second answer would be
// taken for the answer to that request, and closing the connection would abort its processing.
constexpr Duration kSecondAnswerWindow = 1s;
// Callers and the gateway may repeat a request that was answered with a status from this one on.
constexpr int kFirstFailure = 400;
// Used for upstreams that do not announce an idle timeout, because they may close idle connections
// as well.
constexpr Duration kDefaultIdleTimeout = 5s;

// Removes the caller's key, and replaces what the caller says of its workspace.
void SetWorkspace(const WorkspaceId& workspace, std::string_view name, HttpHeaders* headers) {
  std::erase_if(*headers, [&](const auto& header) {
    return EqualsIgnoreCase(header.first, "Authorization") || EqualsIgnoreCase(header.first, name);
  });
  if (!workspace.empty()) {
    headers->emplace_back(name, workspace.value);
  }
}

HttpHeaders WithHostHeader(const HttpHeaders& caller_headers, const std::string& address) {
  HttpHeaders headers = caller_headers;
  if (std::none_of(headers.begin(), headers.end(),
                   [](const auto& header) { return EqualsIgnoreCase(header.first, "Host"); })) {
    headers.emplace_back("Host", address);
  }
  return headers;
}

}  // namespace

UpstreamPool::UpstreamPool(EventLoop* loop,
                           const HttpConnection::Limits& limits,
                           size_t memory_bytes,
                           const HttpDialect* dialect)
    : loop_(loop),
      limits_(limits),
      memory_(memory_bytes),
      dialect_(dialect),
      deadline_timer_(loop, [this] { AbortOverdueExchanges(); }),
      discard_timer_(loop, [this] { discarded_.clear(); }) {}

void UpstreamPool::SetConfiguration(const ConfigurationPtr& configuration) {
  std::map<EndpointId, EndpointConfig> configs;
  if (configuration != nullptr) {
    for (const auto& [id, service] : configuration->services) {
      for (const Endpoint& endpoint : service.endpoints) {
        configs[endpoint.id] = {
            endpoint.address, endpoint.port, endpoint.max_connections, service.health_path, id,
            endpoint.instance};
      }
    }
  }
  for (auto& [id, pool] : endpoint_pools_) {
    const auto config = configs.find(id);
    const bool removed = config == configs.end();
    if (removed || config->second.address != pool.config.address ||
        config->second.port != pool.config.port) {
      for (ConnectionPtr& connection : pool.idle) {
        DiscardConnection(std::move(connection));
      }
      pool.idle.clear();
    }
    pool.config = removed ? EndpointConfig() : config->second;
  }
  for (const auto& [id, config] : configs) {
    endpoint_pools_[id].config = config;
  }
}

std::vector<UpstreamPool::ConnectionPtr>::iterator UpstreamPool::ChooseIdleConnection(
    EndpointPool* pool,
    const RequestId& request) const {
  const MonoTime latest_safe_answer = loop_->ReadClocks().mono - kSecondAnswerWindow;
  auto chosen = pool->idle.end();
  for (auto connection = pool->idle.end(); connection != pool->idle.begin();) {
    --connection;
    if ((*connection)->unsuccessful.Contains(request)) {
      continue;
    }
    if ((*connection)->last_answered <= latest_safe_answer) {
      return connection;
    }
    if (chosen == pool->idle.end()) {
      chosen = connection;
    }
  }
  return chosen;
}

UpstreamPool::ConnectionPtr UpstreamPool::TakeIdleConnection(EndpointPool* pool,
                                                             const RequestId& request) {
  auto chosen = ChooseIdleConnection(pool, request);
  while (chosen != pool->idle.end()) {
    ConnectionPtr connection = std::move(*chosen);
    pool->idle.erase(chosen);
    if (connection->http->usable() && !connection->http->PeerClosed() &&
        loop_->ReadClocks().mono < connection->idle_until) {
      return connection;
    }
    DiscardConnection(std::move(connection));
    chosen = ChooseIdleConnection(pool, request);
  }
  return nullptr;
}

void UpstreamPool::CloseIdleConnection(EndpointPool* pool) {
  if (!pool->idle.empty()) {
    ConnectionPtr connection = std::move(pool->idle.front());
    pool->idle.erase(pool->idle.begin());
    DiscardConnection(std::move(connection));
  }
}

UpstreamPool::ConnectionPtr UpstreamPool::AcquireConnection(const EndpointId& endpoint,
                                                            const RequestId& request,
                                                            bool* is_new) {
  const auto found = endpoint_pools_.find(endpoint);
  if (found == endpoint_pools_.end() || found->second.config.address.empty()) {
    return nullptr;
  }
  EndpointPool& pool = found->second;
  *is_new = false;
  if (ConnectionPtr idle = TakeIdleConnection(&pool, request)) {
    return idle;
  }
  if (!pool.idle.empty()) {
    // Each of them has carried an earlier attempt of the request.
    ++connections_passed_over_;
    LogDebug(LogPart::kCalls, "event=connection-passed-over endpoint=" + endpoint.value +
                                  " request=" + request.value +
                                  " idle=" + std::to_string(pool.idle.size()));
  }
  const auto at_limit = [&pool] {
    return pool.config.max_connections > 0 && pool.connections >= pool.config.max_connections;
  };
  if (at_limit()) {
    CloseIdleConnection(&pool);
  }
  if (at_limit()) {
    return nullptr;
  }
  *is_new = true;
  ConnectionPtr connection = NewConnection(endpoint, pool.config);
  if (connection == nullptr) {
    return nullptr;
  }
  ++pool.connections;
  ++connection_count_;
  return connection;
}

UpstreamPool::ConnectionPtr UpstreamPool::NewConnection(const EndpointId& endpoint,
                                                        const EndpointConfig& config) {
  auto connection = std::make_unique<Connection>();
  connection->endpoint = endpoint;
  connection->config = config;
  connection->opened = loop_->ReadClocks().mono;
  try {
    connection->http = std::make_unique<HttpConnection>(loop_->base(), config.address, config.port,
                                                        limits_, &memory_);
  } catch (const std::runtime_error& error) {
    // Only the calls to this endpoint fail; the other calls of the process go on.
    LogWarning(LogPart::kCalls,
               "event=connection-not-opened endpoint=" + endpoint.value + " fault=" + error.what());
    return nullptr;
  }
  return connection;
}

void UpstreamPool::Send(const SendAttempt& attempt, const UpstreamRequest& request) {
  StartExchange(attempt.attempt.value, attempt, request, false);
}

void UpstreamPool::Probe(const SendProbe& probe) {
  const auto pool = endpoint_pools_.find(probe.endpoint);
  UpstreamRequest request;
  const uint64_t id = ++next_probe_;
  request.target = "/";
  if (pool != endpoint_pools_.end()) {
    request.target = pool->second.config.health_path;
    request.headers = dialect_->ProbeHeaders(pool->second.config.service, id);
  }
  SendAttempt attempt;
  attempt.endpoint = probe.endpoint;
  attempt.timeout = probe.timeout;
  StartExchange(kProbeBit | id, attempt, request, true);
}

void UpstreamPool::StartExchange(uint64_t id,
                                 const SendAttempt& attempt,
                                 const UpstreamRequest& request,
                                 bool is_probe) {
  const MonoTime now = loop_->ReadClocks().mono;
  Exchange exchange;
  exchange.request_id = request.request_id;
  exchange.is_probe = is_probe;
  exchange.idempotent = attempt.idempotent;
  exchange.sent = now;
  exchange.deadline = now + attempt.timeout;
  exchange.connection =
      AcquireConnection(attempt.endpoint, request.request_id, &exchange.new_connection);
  if (exchange.connection == nullptr) {
    exchange.connection = std::make_unique<Connection>();
    exchange.connection->endpoint = attempt.endpoint;
    ReportResult(id, exchange, {}, {AttemptOutcome::kConnectFailed, std::nullopt, std::nullopt});
    return;
  }
  HttpConnection* http = exchange.connection->http.get();
  deadlines_.emplace(exchange.deadline, id);
  exchanges_.emplace(id, std::move(exchange));
  ScheduleDeadlineTimer();
  const EndpointConfig& config = exchanges_.at(id).connection->config;
  HttpHeaders headers = WithHostHeader(request.headers, config.address);
  if (attempt.workspace) {
    SetWorkspace(*attempt.workspace, dialect_->workspace_header(), &headers);
  }
  dialect_->AddAttemptHeaders({request.request_id, attempt.timeout, config.instance}, &headers);
  BufferPtr body;
  if (request.body != nullptr && evbuffer_get_length(request.body) > 0) {
    body.reset(evbuffer_new());
    evbuffer_add_buffer_reference(body.get(), request.body);
  }
  http->Send(
      request.method, request.target, headers, body.get(),
      [this, id](HttpExchange result) { OnExchangeDone(id, std::move(result)); },
      [this, request_id = request.request_id](const HttpResponse& response) {
        return dialect_->AnswersOtherRequest(request_id, response);
      });
}

void UpstreamPool::OnExchangeDone(uint64_t id, HttpExchange result) {
  auto entry = exchanges_.extract(id);
  assert(!entry.empty());
  Exchange exchange = std::move(entry.mapped());
  deadlines_.erase({exchange.deadline, id});
  UpstreamReply reply;
  if (!result.error.empty()) {
    LogWarning(LogPart::kCalls,
               "event=answer-unreadable endpoint=" + exchange.connection->endpoint.value +
                   " request=" + exchange.request_id.value + " fault=" + result.error);
  }
  if (result.response != nullptr) {
    reply = dialect_->ParseReply(exchange.request_id, *result.response);
    if (reply.limit_unreadable) {
      LogWarning(LogPart::kCalls,
                 "event=limit-unreadable endpoint=" + exchange.connection->endpoint.value +
                     " request=" + exchange.request_id.value + " value='" + reply.unreadable_limit +
                     "'");
    }
    if (!reply.unreadable_statement.empty()) {
      LogWarning(LogPart::kCalls,
                 "event=statement-unreadable endpoint=" + exchange.connection->endpoint.value +
                     " request=" + exchange.request_id.value + " header='" +
                     reply.unreadable_statement + "'");
    }
  } else {
    reply.outcome =
        result.request_written ? AttemptOutcome::kConnectionLost : AttemptOutcome::kConnectFailed;
  }
  if (exchange.is_probe && result.response == nullptr && !exchange.new_connection) {
    RetryProbe(std::move(exchange));
    return;
  }
  const EndpointId endpoint = exchange.connection->endpoint;
  ConnectionPtr connection = std::move(exchange.connection);
  exchange.connection = std::make_unique<Connection>();
  exchange.connection->endpoint = endpoint;
  exchange.connection->opened = connection->opened;
  // The bytes of an invalid response may belong to another request, so the connection is not
  // reused.
  if (result.response != nullptr && connection->http->usable() &&
      reply.outcome != AttemptOutcome::kInvalid && reply.reusable &&
      !connection->unsuccessful.full()) {
    if (reply.outcome == AttemptOutcome::kRefused || result.response->status >= kFirstFailure) {
      connection->unsuccessful.Add(exchange.request_id);
    }
    if (!exchange.is_probe) {
      connection->last_answered = loop_->ReadClocks().mono;
    }
    connection->idle_until = loop_->ReadClocks().mono +
                             reply.idle_timeout.value_or(kDefaultIdleTimeout + kIdleTimeoutMargin) -
                             kIdleTimeoutMargin;
    ReleaseConnection(std::move(connection));
  } else {
    DiscardConnection(std::move(connection));
  }
  ReportResult(id, exchange, std::move(result), reply);
}

void UpstreamPool::RetryProbe(Exchange exchange) {
  const EndpointId endpoint = exchange.connection->endpoint;
  const MonoTime idle_since = exchange.connection->idle_since;
  DiscardConnection(std::move(exchange.connection));
  std::vector<ConnectionPtr>& idle = endpoint_pools_.at(endpoint).idle;
  const auto first_newer = std::find_if(
      idle.begin(), idle.end(),
      [&](const ConnectionPtr& connection) { return connection->idle_since > idle_since; });
  for (auto connection = idle.begin(); connection != first_newer; ++connection) {
    DiscardConnection(std::move(*connection));
  }
  idle.erase(idle.begin(), first_newer);
  Probe({endpoint, std::max(exchange.deadline - loop_->ReadClocks().mono, Duration(1))});
}

void UpstreamPool::ReleaseConnection(ConnectionPtr connection) {
  connection->idle_since = loop_->ReadClocks().mono;
  EndpointPool& pool = endpoint_pools_.at(connection->endpoint);
  if (connection->config.address == pool.config.address &&
      connection->config.port == pool.config.port) {
    pool.idle.push_back(std::move(connection));
  } else {
    DiscardConnection(std::move(connection));
  }
}

void UpstreamPool::DiscardConnection(ConnectionPtr connection) {
  --endpoint_pools_.at(connection->endpoint).connections;
  --connection_count_;
  connection->http->Abandon();
  discarded_.push_back(std::move(connection));
  discard_timer_.ScheduleNow();
}

void UpstreamPool::AbortExchange(uint64_t id, AttemptOutcome outcome) {
  auto entry = exchanges_.extract(id);
  if (entry.empty()) {
    return;
  }
  Exchange exchange = std::move(entry.mapped());
  deadlines_.erase({exchange.deadline, id});
  HttpExchange result = exchange.connection->http->Abandon();
  ConnectionPtr connection = std::move(exchange.connection);
  exchange.connection = std::make_unique<Connection>();
  exchange.connection->endpoint = connection->endpoint;
  exchange.connection->opened = connection->opened;
  DiscardConnection(std::move(connection));
  ReportResult(id, exchange, std::move(result), {outcome, std::nullopt, std::nullopt});
}

void UpstreamPool::Cancel(AttemptId attempt) {
  AbortExchange(attempt.value, AttemptOutcome::kCancelled);
}

void UpstreamPool::CloseOldConnections(const CloseConnections& close) {
  const auto found = endpoint_pools_.find(close.endpoint);
  if (found == endpoint_pools_.end()) {
    return;
  }
  std::vector<ConnectionPtr>& idle = found->second.idle;
  const auto first_old = std::stable_partition(
      idle.begin(), idle.end(),
      [&](const ConnectionPtr& connection) { return connection->opened >= close.opened_before; });
  for (auto connection = first_old; connection != idle.end(); ++connection) {
    DiscardConnection(std::move(*connection));
  }
  idle.erase(first_old, idle.end());
  std::vector<uint64_t> busy;
  for (const auto& [id, exchange] : exchanges_) {
    const Connection& connection = *exchange.connection;
    if (connection.endpoint == close.endpoint && connection.opened < close.opened_before &&
        exchange.sent < close.sent_before && !connection.http->response_started() &&
        exchange.CanBeSentAgain()) {
      busy.push_back(id);
    }
  }
  for (const uint64_t id : busy) {
    const auto exchange = exchanges_.find(id);
    if (exchange != exchanges_.end()) {
      AbortExchange(id, exchange->second.connection->http->request_written()
                            ? AttemptOutcome::kConnectionLost
                            : AttemptOutcome::kConnectFailed);
    }
  }
}

void UpstreamPool::ReportResult(uint64_t id,
                                const Exchange& exchange,
                                HttpExchange result,
                                const UpstreamReply& reply) {
  const Duration latency = loop_->ReadClocks().mono - exchange.sent;
  const int status = result.response == nullptr ? 0 : result.response->status;
  if (exchange.is_probe) {
    probe_ended_.emit({exchange.connection->endpoint, result.response != nullptr, status, latency,
                       reply.report, reply.statement});
    return;
  }
  AttemptResult attempt_result;
  attempt_result.attempt = AttemptId(id);
  attempt_result.outcome = reply.outcome;
  attempt_result.status = status;
  attempt_result.latency = latency;
  attempt_result.request_written = result.request_written;
  attempt_result.response_started = result.response_started;
  attempt_result.new_connection = exchange.new_connection;
  attempt_result.connection_opened = exchange.connection->opened;
  attempt_result.report = reply.report;
  attempt_result.statement = reply.statement;
  attempt_ended_.emit(attempt_result, result.response);
}

void UpstreamPool::AbortOverdueExchanges() {
  deadline_timer_due_.reset();
  const MonoTime now = loop_->ReadClocks().mono;
  while (!deadlines_.empty() && deadlines_.begin()->first <= now) {
    AbortExchange(deadlines_.begin()->second, AttemptOutcome::kTimedOut);
  }
  ScheduleDeadlineTimer();
}

void UpstreamPool::ScheduleDeadlineTimer() {
  // The timer is only rescheduled to an earlier time. A timer that fires too early costs one check;
  // rescheduling it for each call would cost more.
  if (!deadlines_.empty() &&
      (!deadline_timer_due_ || deadlines_.begin()->first < *deadline_timer_due_)) {
    deadline_timer_due_ = deadlines_.begin()->first;
    deadline_timer_.Schedule(*deadline_timer_due_ - loop_->ReadClocks().mono);
  }
}

}  // namespace jd
