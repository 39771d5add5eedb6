#include "standin/load_client.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>

#include <algorithm>
#include <iterator>
#include <utility>

#include "standin/echo_body.h"
#include "standin/standin_fetch.h"

namespace jd {
namespace {

using nlohmann::json;

constexpr Duration kTargetRefreshInterval = 200ms;

void FillRequest(const LoadRequest& request,
                 const LoadSettings& settings,
                 const HostPort& target,
                 evhttp_request* out) {
  evkeyvalq* headers = evhttp_request_get_output_headers(out);
  const std::string host = target.host + ":" + std::to_string(target.port);
  evhttp_add_header(headers, "Host", host.c_str());
  evhttp_add_header(headers, "x-service", request.service.c_str());
  evhttp_add_header(headers, "x-workspace", request.workspace.c_str());
  evhttp_add_header(headers, "x-request-id", request.id.c_str());
  const std::string deadline = std::to_string(settings.deadline / 1ms);
  evhttp_add_header(headers, "x-deadline-ms", deadline.c_str());
  if (!request.key.empty()) {
    evhttp_add_header(headers, settings.key_header.c_str(), request.key.c_str());
  }
  evbuffer_add(evhttp_request_get_output_buffer(out), request.body.data(), request.body.size());
}

bool AnswerMatchesRequest(const LoadRequest& request, const std::string& text) {
  const json body = json::parse(text, nullptr, false);
  return body.is_object() && body.value("request_id", "") == request.id &&
         body.value("body_hash", "") == BodyHash(request.body);
}

}  // namespace

LoadClient::LoadClient(event_base* base, const LoadSettings& settings)
    : base_(base),
      settings_(settings),
      plan_(settings),
      random_(settings.seed + 1),
      targets_(settings.targets),
      send_timer_(base, [this] { SendDueRequests(); }),
      refresh_timer_(base, [this] { RefreshTargets(); }) {}

LoadClient::~LoadClient() {
  for (const auto& connection : connections_) {
    evhttp_connection_free(connection->handle);
  }
}

void LoadClient::Run() {
  next_request_ = plan_.NextRequest();
  start_time_ = ReadStandinClocks().mono;
  if (settings_.platform.empty()) {
    SendDueRequests();
  } else {
    RefreshTargets();
  }
  event_base_dispatch(base_);
}

void LoadClient::RefreshTargets() {
  refresh_timer_.Arm(kTargetRefreshInterval);
  if (refresh_pending_) {
    return;
  }
  refresh_pending_ = true;
  FetchOnce(base_, ParseHostPort(settings_.platform), "/balancer",
            [this](const std::optional<std::string>& body) {
              refresh_pending_ = false;
              if (body) {
                SetTargets(*body);
              }
            });
}

void LoadClient::SetTargets(const std::string& balancer_body) {
  const bool first_targets = targets_.empty() && sent_requests_ == 0;
  targets_.clear();
  const json list = json::parse(balancer_body, nullptr, false);
  if (!list.is_object()) {
    return;
  }
  for (const json& gateway : list.at("gateways")) {
    targets_.push_back(HostPort{gateway.at("address"), gateway.at("port")});
  }
  if (first_targets && !targets_.empty()) {
    start_time_ = ReadStandinClocks().mono;
    SendDueRequests();
  }
}

void LoadClient::SendDueRequests() {
  const bool limited_by_count = settings_.count > 0;
  while (next_request_.arrival <= Elapsed()) {
    const bool plan_finished = limited_by_count ? sent_requests_ >= settings_.count
                                                : next_request_.arrival >= settings_.duration;
    if (plan_finished) {
      all_sent_ = true;
      StopWhenDone();
      return;
    }
    ++sent_requests_;
    ++calls_in_flight_;
    Send(Call{std::exchange(next_request_, plan_.NextRequest()), {}});
  }
  send_timer_.Arm(next_request_.arrival - Elapsed());
}

void LoadClient::Send(Call call) {
  std::vector<HostPort> untried;
  std::copy_if(targets_.begin(), targets_.end(), std::back_inserter(untried),
               [&](const HostPort& target) {
                 return std::find(call.tried.begin(), call.tried.end(), target) == call.tried.end();
               });
  if (untried.empty()) {
    RecordSample(call.request, LoadOutcome::kNotSent, "no-target", "not-run");
    return;
  }
  const size_t pick = std::uniform_int_distribution<size_t>(0, untried.size() - 1)(random_);
  call.tried.push_back(untried[pick]);
  Connection* connection = AcquireConnection(untried[pick]);
  connection->request_sent = false;
  connection->call = std::move(call);
  const LoadRequest& request = connection->call->request;
  evhttp_request* out = evhttp_request_new(
      [](evhttp_request* answer, void* arg) {
        auto* answered = static_cast<Connection*>(arg);
        answered->client->OnAnswer(answered, answer);
      },
      connection);
  FillRequest(request, settings_, connection->target, out);
  evhttp_make_request(connection->handle, out,
                      request.method == "GET" ? EVHTTP_REQ_GET : EVHTTP_REQ_POST,
                      request.path.c_str());
}

LoadClient::Connection* LoadClient::AcquireConnection(const HostPort& target) {
  std::vector<Connection*>& idle = idle_connections_[target];
  if (!idle.empty()) {
    Connection* connection = idle.back();
    idle.pop_back();
    return connection;
  }
  auto connection = std::make_unique<Connection>();
  connection->client = this;
  connection->target = target;
  connection->handle = evhttp_connection_base_new(base_, nullptr, target.host.c_str(), target.port);
  const timeval timeout = {settings_.timeout / 1s, settings_.timeout.count() % 1'000'000};
  evhttp_connection_set_timeout_tv(connection->handle, &timeout);
  bufferevent* stream = evhttp_connection_get_bufferevent(connection->handle);
  // evhttp adds a request to the output buffer only after the connection is established, so any
  // bytes added there count as sent.
  evbuffer_add_cb(
      bufferevent_get_output(stream),
      [](evbuffer*, const evbuffer_cb_info* info, void* arg) {
        if (info->n_added > 0) {
          static_cast<Connection*>(arg)->request_sent = true;
        }
      },
      connection.get());
  connections_.push_back(std::move(connection));
  return connections_.back().get();
}

void LoadClient::OnAnswer(Connection* connection, evhttp_request* answer) {
  const int status = answer == nullptr ? 0 : evhttp_request_get_response_code(answer);
  if (status == 0) {
    OnConnectionFailed(connection);
    return;
  }
  const LoadRequest request = std::move(connection->call->request);
  connection->call.reset();
  idle_connections_[connection->target].push_back(connection);
  if (status != 200) {
    RecordRefusal(request, answer, status);
    return;
  }
  const bool matches = AnswerMatchesRequest(request, ReadBody(answer));
  RecordSample(request, matches ? LoadOutcome::kAnswered : LoadOutcome::kWrong, "", "ran");
}

void LoadClient::OnConnectionFailed(Connection* connection) {
  Call call = std::move(*connection->call);
  connection->call.reset();
  const bool request_sent = connection->request_sent;
  idle_connections_[connection->target].push_back(connection);
  if (request_sent) {
    RecordSample(call.request, LoadOutcome::kUnknown, "connection", "may-have-run");
    return;
  }
  Send(std::move(call));
}

void LoadClient::RecordRefusal(const LoadRequest& request, evhttp_request* answer, int status) {
  std::string verdict = HeaderValue(answer, "x-verdict");
  std::string reason = HeaderValue(answer, "x-refusal");
  if (HeaderValue(answer, "x-refused") == "not-run" && verdict.empty()) {
    verdict = "not-run";
    reason = "upstream-refused";
  }
  const bool refused = !verdict.empty() && verdict != "ran";
  RecordSample(request, refused ? LoadOutcome::kRefused : LoadOutcome::kFailed,
               reason.empty() ? "status-" + std::to_string(status) : reason,
               refused ? verdict : "ran");
}

void LoadClient::RecordSample(const LoadRequest& request,
                              LoadOutcome outcome,
                              const std::string& reason,
                              const std::string& verdict) {
  LoadSample sample;
  sample.id = request.id;
  sample.method = request.method;
  sample.workspace = request.workspace;
  sample.service = request.service;
  sample.arrival = request.arrival;
  sample.latency = Elapsed() - request.arrival;
  sample.outcome = outcome;
  sample.reason = reason;
  sample.verdict = verdict;
  samples_.push_back(std::move(sample));
  --calls_in_flight_;
  StopWhenDone();
}

void LoadClient::StopWhenDone() {
  if (all_sent_ && calls_in_flight_ == 0) {
    event_base_loopbreak(base_);
  }
}

int RunLoad(const LoadSettings& settings) {
  const EventBasePtr base = MakeStandinBase();
  LoadClient client(base.get(), settings);
  client.Run();
  json report = ReportLoad(settings, client.samples());
  report["connections"] = client.connections_opened();
  bool checks_passed =
      std::none_of(client.samples().begin(), client.samples().end(),
                   [](const auto& sample) { return sample.outcome == LoadOutcome::kWrong; });
  json runs = json::object();
  for (const std::string& ledger : settings.ledger_addresses) {
    FetchOnce(base.get(), ParseHostPort(ledger), "/ledger",
              [&](const std::optional<std::string>& body) {
                checks_passed = checks_passed && body.has_value();
                const json upstream_runs = json::parse(body.value_or("{}"));
                for (const auto& [id, list] : upstream_runs.items()) {
                  for (const json& run : list) {
                    runs[id].push_back(run);
                  }
                }
                event_base_loopbreak(base.get());
              });
    event_base_dispatch(base.get());
  }
  if (!settings.ledger_addresses.empty()) {
    const json comparison = CompareWithLedger(client.samples(), runs);
    checks_passed = checks_passed && comparison.at("lost") == 0 &&
                    comparison.at("duplicates") == 0 && comparison.at("refused_ran") == 0;
    report["ledger"] = comparison;
  }
  std::printf("%s\n", report.dump(2).c_str());
  return checks_passed ? 0 : 1;
}

}  // namespace jd
