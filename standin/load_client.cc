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

constexpr Duration kTargetRefresh = 200ms;

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

bool IsOwnAnswer(const LoadRequest& request, const std::string& text) {
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
      send_timer_(base, [this] { SendDue(); }),
      refresh_timer_(base, [this] { RefreshTargets(); }) {}

LoadClient::~LoadClient() {
  for (const auto& connection : connections_) {
    evhttp_connection_free(connection->handle);
  }
}

void LoadClient::Run() {
  next_ = plan_.Next();
  start_ = ReadStandinClocks().mono;
  if (settings_.platform.empty()) {
    SendDue();
  } else {
    RefreshTargets();
  }
  event_base_dispatch(base_);
}

void LoadClient::RefreshTargets() {
  refresh_timer_.Arm(kTargetRefresh);
  if (fetching_) {
    return;
  }
  fetching_ = true;
  FetchOnce(base_, ParseHostPort(settings_.platform), "/balancer",
            [this](const std::optional<std::string>& body) {
              fetching_ = false;
              if (body) {
                SetTargets(*body);
              }
            });
}

void LoadClient::SetTargets(const std::string& balancer_body) {
  const bool first = targets_.empty() && planned_ == 0;
  targets_.clear();
  const json list = json::parse(balancer_body, nullptr, false);
  if (!list.is_object()) {
    return;
  }
  for (const json& gateway : list.at("gateways")) {
    targets_.push_back(HostPort{gateway.at("address"), gateway.at("port")});
  }
  if (first && !targets_.empty()) {
    start_ = ReadStandinClocks().mono;
    SendDue();
  }
}

void LoadClient::SendDue() {
  const bool by_count = settings_.count > 0;
  while (next_.at <= Elapsed()) {
    const bool over = by_count ? planned_ >= settings_.count : next_.at >= settings_.duration;
    if (over) {
      all_sent_ = true;
      StopWhenDone();
      return;
    }
    ++planned_;
    ++open_calls_;
    Send(Call{std::exchange(next_, plan_.Next()), {}});
  }
  send_timer_.Arm(next_.at - Elapsed());
}

void LoadClient::Send(Call call) {
  std::vector<HostPort> untried;
  std::copy_if(targets_.begin(), targets_.end(), std::back_inserter(untried),
               [&](const HostPort& target) {
                 return std::find(call.tried.begin(), call.tried.end(), target) == call.tried.end();
               });
  if (untried.empty()) {
    Record(call.request, LoadOutcome::kNotSent, "no-target", "not-run");
    return;
  }
  const size_t pick = std::uniform_int_distribution<size_t>(0, untried.size() - 1)(random_);
  call.tried.push_back(untried[pick]);
  Connection* connection = TakeConnection(untried[pick]);
  connection->written = false;
  connection->call = std::move(call);
  const LoadRequest& request = connection->call->request;
  evhttp_request* out = evhttp_request_new(
      [](evhttp_request* answer, void* arg) {
        auto* done = static_cast<Connection*>(arg);
        done->client->OnAnswer(done, answer);
      },
      connection);
  FillRequest(request, settings_, connection->target, out);
  evhttp_make_request(connection->handle, out,
                      request.method == "GET" ? EVHTTP_REQ_GET : EVHTTP_REQ_POST,
                      request.path.c_str());
}

LoadClient::Connection* LoadClient::TakeConnection(const HostPort& target) {
  std::vector<Connection*>& idle = idle_[target];
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
          static_cast<Connection*>(arg)->written = true;
        }
      },
      connection.get());
  connections_.push_back(std::move(connection));
  return connections_.back().get();
}

void LoadClient::OnAnswer(Connection* connection, evhttp_request* answer) {
  const int status = answer == nullptr ? 0 : evhttp_request_get_response_code(answer);
  if (status == 0) {
    OnFailed(connection);
    return;
  }
  const LoadRequest request = std::move(connection->call->request);
  connection->call.reset();
  idle_[connection->target].push_back(connection);
  if (status != 200) {
    RecordRefusal(request, answer, status);
    return;
  }
  const bool own = IsOwnAnswer(request, ReadBody(answer));
  Record(request, own ? LoadOutcome::kAnswered : LoadOutcome::kWrong, "", "ran");
}

void LoadClient::OnFailed(Connection* connection) {
  Call call = std::move(*connection->call);
  connection->call.reset();
  const bool written = connection->written;
  idle_[connection->target].push_back(connection);
  if (written) {
    Record(call.request, LoadOutcome::kUnknown, "connection", "may-have-run");
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
  Record(request, refused ? LoadOutcome::kRefused : LoadOutcome::kFailed,
         reason.empty() ? "status-" + std::to_string(status) : reason, refused ? verdict : "ran");
}

void LoadClient::Record(const LoadRequest& request,
                        LoadOutcome outcome,
                        const std::string& reason,
                        const std::string& verdict) {
  LoadSample sample;
  sample.id = request.id;
  sample.method = request.method;
  sample.workspace = request.workspace;
  sample.service = request.service;
  sample.at = request.at;
  sample.latency = Elapsed() - request.at;
  sample.outcome = outcome;
  sample.reason = reason;
  sample.verdict = verdict;
  samples_.push_back(std::move(sample));
  --open_calls_;
  StopWhenDone();
}

void LoadClient::StopWhenDone() {
  if (all_sent_ && open_calls_ == 0) {
    event_base_loopbreak(base_);
  }
}

int RunLoad(const LoadSettings& settings) {
  const EventBasePtr base = MakeStandinBase();
  LoadClient client(base.get(), settings);
  client.Run();
  json report = ReportLoad(settings, client.samples());
  report["connections"] = client.connections_opened();
  bool held =
      std::none_of(client.samples().begin(), client.samples().end(),
                   [](const auto& sample) { return sample.outcome == LoadOutcome::kWrong; });
  json runs = json::object();
  for (const std::string& ledger : settings.ledgers) {
    FetchOnce(base.get(), ParseHostPort(ledger), "/ledger",
              [&](const std::optional<std::string>& body) {
                held = held && body.has_value();
                const json part = json::parse(body.value_or("{}"));
                for (const auto& [id, list] : part.items()) {
                  for (const json& run : list) {
                    runs[id].push_back(run);
                  }
                }
                event_base_loopbreak(base.get());
              });
    event_base_dispatch(base.get());
  }
  if (!settings.ledgers.empty()) {
    const json compared = CompareWithLedger(client.samples(), runs);
    held = held && compared.at("lost") == 0 && compared.at("duplicates") == 0 &&
           compared.at("refused_ran") == 0;
    report["ledger"] = compared;
  }
  std::printf("%s\n", report.dump(2).c_str());
  return held ? 0 : 1;
}

}  // namespace jd
