#include "gateway/upstream_pool.h"

#include <algorithm>
#include <cassert>

#include "gateway/header_rules.h"

namespace jd {
namespace {

// Distinguishes the ids of probes from the ids of attempts, which the dispatcher counts from 1.
constexpr uint64_t kProbeBit = 1ULL << 63;

// No request is sent on an idle connection within this time before the upstream closes it.
constexpr Duration kIdleMargin = 1s;
// A faulty upstream may send a second answer to a request, which arrives within about this time of
// the first. If the next request were already sent on the connection, the second answer would be
// taken for the answer to that request, and closing the connection would abort its processing.
constexpr Duration kLateAnswer = 1s;
// Used for upstreams that do not announce an idle timeout, because they may close idle connections
// as well.
constexpr Duration kAssumedIdleTimeout = 5s;

HttpHeaders HeadersOf(const HttpHeaders& callers, const std::string& address) {
  HttpHeaders headers = callers;
  if (std::none_of(headers.begin(), headers.end(),
                   [](const auto& header) { return SameHeader(header.first, "Host"); })) {
    headers.emplace_back("Host", address);
  }
  return headers;
}

}  // namespace

UpstreamPool::UpstreamPool(EventLoop* loop,
                           const HttpConnection::Limits& limits,
                           const HttpDialect* dialect)
    : loop_(loop),
      limits_(limits),
      dialect_(dialect),
      deadline_timer_(loop, [this] { CheckDeadlines(); }),
      discard_timer_(loop, [this] { discarded_.clear(); }) {}

void UpstreamPool::SetConfiguration(const ConfigurationPtr& configuration) {
  std::map<EndpointId, Target> targets;
  if (configuration != nullptr) {
    for (const auto& [id, service] : configuration->services) {
      for (const Endpoint& endpoint : service.endpoints) {
        targets[endpoint.id] = {
            endpoint.address, endpoint.port, endpoint.max_connections, service.health_path, id,
            endpoint.instance};
      }
    }
  }
  for (auto& [id, peer] : peers_) {
    const auto target = targets.find(id);
    const bool gone = target == targets.end();
    if (gone || target->second.address != peer.target.address ||
        target->second.port != peer.target.port) {
      for (LinkPtr& link : peer.idle) {
        Discard(std::move(link));
      }
      peer.idle.clear();
    }
    peer.target = gone ? Target() : target->second;
  }
  for (const auto& [id, target] : targets) {
    peers_[id].target = target;
  }
}

std::vector<UpstreamPool::LinkPtr>::iterator UpstreamPool::ChooseIdle(Peer* peer) const {
  const auto latest = std::prev(peer->idle.end());
  const MonoTime settled = loop_->ReadClocks().mono - kLateAnswer;
  const auto quiet = std::find_if(peer->idle.rbegin(), peer->idle.rend(),
                                  [&](const LinkPtr& link) { return link->answered <= settled; });
  return quiet == peer->idle.rend() ? latest : std::prev(quiet.base());
}

UpstreamPool::LinkPtr UpstreamPool::TakeLink(const EndpointId& endpoint, bool* is_new) {
  const auto found = peers_.find(endpoint);
  if (found == peers_.end() || found->second.target.address.empty()) {
    return nullptr;
  }
  Peer& peer = found->second;
  *is_new = false;
  while (!peer.idle.empty()) {
    const auto chosen = ChooseIdle(&peer);
    LinkPtr link = std::move(*chosen);
    peer.idle.erase(chosen);
    if (link->http->usable() && !link->http->PeerClosed() &&
        loop_->ReadClocks().mono < link->idle_until) {
      return link;
    }
    Discard(std::move(link));
  }
  if (peer.target.max_connections > 0 && peer.open >= peer.target.max_connections) {
    return nullptr;
  }
  *is_new = true;
  auto link = std::make_unique<Link>();
  link->endpoint = endpoint;
  link->target = peer.target;
  link->opened = loop_->ReadClocks().mono;
  link->http = std::make_unique<HttpConnection>(loop_->base(), peer.target.address,
                                                peer.target.port, limits_);
  ++peer.open;
  ++connections_;
  return link;
}

void UpstreamPool::Send(const SendAttempt& attempt, const UpstreamRequest& request) {
  Start(attempt.attempt.value, attempt, request, false);
}

void UpstreamPool::Probe(const SendProbe& probe) {
  const auto peer = peers_.find(probe.endpoint);
  UpstreamRequest request;
  const uint64_t id = ++next_probe_;
  request.target = "/";
  if (peer != peers_.end()) {
    request.target = peer->second.target.health_path;
    request.headers = dialect_->ProbeHeaders(peer->second.target.service, id);
  }
  SendAttempt attempt;
  attempt.endpoint = probe.endpoint;
  attempt.timeout = probe.timeout;
  Start(kProbeBit | id, attempt, request, true);
}

void UpstreamPool::Start(uint64_t id,
                         const SendAttempt& attempt,
                         const UpstreamRequest& request,
                         bool probe) {
  const MonoTime now = loop_->ReadClocks().mono;
  Exchange exchange;
  exchange.request = request.request;
  exchange.is_probe = probe;
  exchange.sent = now;
  exchange.deadline = now + attempt.timeout;
  exchange.link = TakeLink(attempt.endpoint, &exchange.new_connection);
  if (exchange.link == nullptr) {
    exchange.link = std::make_unique<Link>();
    exchange.link->endpoint = attempt.endpoint;
    Report(id, exchange, {}, {AttemptOutcome::kConnectFailed, std::nullopt, std::nullopt});
    return;
  }
  HttpConnection* http = exchange.link->http.get();
  deadlines_.emplace(exchange.deadline, id);
  exchanges_.emplace(id, std::move(exchange));
  ScheduleDeadline();
  const Target& target = exchanges_.at(id).link->target;
  HttpHeaders headers = HeadersOf(request.headers, target.address);
  dialect_->AddToAttempt({request.request, attempt.timeout, target.instance}, &headers);
  BufferPtr body;
  if (request.body != nullptr && evbuffer_get_length(request.body) > 0) {
    body.reset(evbuffer_new());
    evbuffer_add_buffer_reference(body.get(), request.body);
  }
  http->Send(request.method, request.target, headers, body.get(),
             [this, id](HttpExchange done) { OnDone(id, std::move(done)); });
}

void UpstreamPool::OnDone(uint64_t id, HttpExchange done) {
  auto node = exchanges_.extract(id);
  assert(!node.empty());
  Exchange exchange = std::move(node.mapped());
  deadlines_.erase({exchange.deadline, id});
  UpstreamReply reply;
  if (done.response != nullptr) {
    reply = dialect_->ReadReply(exchange.request, done.response.get());
  } else {
    reply.outcome =
        done.request_written ? AttemptOutcome::kConnectionLost : AttemptOutcome::kConnectFailed;
  }
  if (exchange.is_probe && done.response == nullptr && !exchange.new_connection) {
    ProbeAgain(std::move(exchange));
    return;
  }
  const EndpointId endpoint = exchange.link->endpoint;
  LinkPtr link = std::move(exchange.link);
  exchange.link = std::make_unique<Link>();
  exchange.link->endpoint = endpoint;
  exchange.link->opened = link->opened;
  // The bytes of an invalid response may belong to another request, so the connection is not
  // reused.
  if (done.response != nullptr && link->http->usable() &&
      reply.outcome != AttemptOutcome::kInvalid) {
    if (!exchange.is_probe) {
      link->answered = loop_->ReadClocks().mono;
    }
    link->idle_until = loop_->ReadClocks().mono +
                       reply.idle_timeout.value_or(kAssumedIdleTimeout + kIdleMargin) - kIdleMargin;
    ReturnLink(std::move(link));
  } else {
    Discard(std::move(link));
  }
  Report(id, exchange, std::move(done), reply);
}

void UpstreamPool::ProbeAgain(Exchange exchange) {
  const EndpointId endpoint = exchange.link->endpoint;
  const MonoTime rested_since = exchange.link->returned;
  Discard(std::move(exchange.link));
  std::vector<LinkPtr>& idle = peers_.at(endpoint).idle;
  const auto fresher = std::find_if(
      idle.begin(), idle.end(), [&](const LinkPtr& link) { return link->returned > rested_since; });
  for (auto link = idle.begin(); link != fresher; ++link) {
    Discard(std::move(*link));
  }
  idle.erase(idle.begin(), fresher);
  Probe({endpoint, std::max(exchange.deadline - loop_->ReadClocks().mono, Duration(1))});
}

void UpstreamPool::ReturnLink(LinkPtr link) {
  link->returned = loop_->ReadClocks().mono;
  Peer& peer = peers_.at(link->endpoint);
  if (link->target.address == peer.target.address && link->target.port == peer.target.port) {
    peer.idle.push_back(std::move(link));
  } else {
    Discard(std::move(link));
  }
}

void UpstreamPool::Discard(LinkPtr link) {
  --peers_.at(link->endpoint).open;
  --connections_;
  link->http->Abandon();
  discarded_.push_back(std::move(link));
  discard_timer_.ScheduleNow();
}

void UpstreamPool::Abandon(uint64_t id, AttemptOutcome outcome) {
  auto node = exchanges_.extract(id);
  if (node.empty()) {
    return;
  }
  Exchange exchange = std::move(node.mapped());
  deadlines_.erase({exchange.deadline, id});
  HttpExchange done = exchange.link->http->Abandon();
  LinkPtr link = std::move(exchange.link);
  exchange.link = std::make_unique<Link>();
  exchange.link->endpoint = link->endpoint;
  exchange.link->opened = link->opened;
  Discard(std::move(link));
  Report(id, exchange, std::move(done), {outcome, std::nullopt, std::nullopt});
}

void UpstreamPool::Cancel(AttemptId attempt) {
  Abandon(attempt.value, AttemptOutcome::kCancelled);
}

void UpstreamPool::Close(const CloseConnections& close) {
  const auto found = peers_.find(close.endpoint);
  if (found == peers_.end()) {
    return;
  }
  std::vector<LinkPtr>& idle = found->second.idle;
  const auto old = std::stable_partition(idle.begin(), idle.end(), [&](const LinkPtr& link) {
    return link->opened >= close.opened_before;
  });
  for (auto link = old; link != idle.end(); ++link) {
    Discard(std::move(*link));
  }
  idle.erase(old, idle.end());
  std::vector<uint64_t> busy;
  for (const auto& [id, exchange] : exchanges_) {
    const Link& link = *exchange.link;
    if (link.endpoint == close.endpoint && link.opened < close.opened_before &&
        exchange.sent < close.sent_before && !link.http->response_started()) {
      busy.push_back(id);
    }
  }
  for (const uint64_t id : busy) {
    const auto exchange = exchanges_.find(id);
    if (exchange != exchanges_.end()) {
      Abandon(id, exchange->second.link->http->request_written() ? AttemptOutcome::kConnectionLost
                                                                 : AttemptOutcome::kConnectFailed);
    }
  }
}

void UpstreamPool::Report(uint64_t id,
                          const Exchange& exchange,
                          HttpExchange done,
                          const UpstreamReply& reply) {
  const Duration latency = loop_->ReadClocks().mono - exchange.sent;
  const int status =
      done.response == nullptr ? 0 : evhttp_request_get_response_code(done.response.get());
  if (exchange.is_probe) {
    probe_ended_.emit(
        {exchange.link->endpoint, done.response != nullptr, status, latency, reply.report});
    return;
  }
  AttemptResult result;
  result.attempt = AttemptId(id);
  result.outcome = reply.outcome;
  result.status = status;
  result.latency = latency;
  result.request_written = done.request_written;
  result.response_started = done.response_started;
  result.new_connection = exchange.new_connection;
  result.connection_opened = exchange.link->opened;
  result.report = reply.report;
  attempt_ended_.emit(result, done.response);
}

void UpstreamPool::CheckDeadlines() {
  scheduled_.reset();
  const MonoTime now = loop_->ReadClocks().mono;
  while (!deadlines_.empty() && deadlines_.begin()->first <= now) {
    Abandon(deadlines_.begin()->second, AttemptOutcome::kTimedOut);
  }
  ScheduleDeadline();
}

void UpstreamPool::ScheduleDeadline() {
  // The timer is only ever moved forward. A timer that fires too early costs one check;
  // rescheduling it for each call would cost more.
  if (!deadlines_.empty() && (!scheduled_ || deadlines_.begin()->first < *scheduled_)) {
    scheduled_ = deadlines_.begin()->first;
    deadline_timer_.Schedule(*scheduled_ - loop_->ReadClocks().mono);
  }
}

}  // namespace jd
