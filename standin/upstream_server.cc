#include "standin/upstream_server.h"

#include <cstdio>
#include <memory>
#include <stdexcept>
#include <string>
#include <vector>

#include "standin/endpoint_server.h"
#include "standin/standin_http.h"
#include "standin/standin_loop.h"

namespace jd {
namespace {

using nlohmann::json;

constexpr Duration kDefaultCrashDownTime = 1s;
constexpr Duration kDefaultRestartDownTime = 200ms;

Duration MillisOr(const json& body, const char* name, Duration default_value) {
  return body.contains(name) ? Duration(static_cast<int64_t>(body.at(name).get<double>() * 1000))
                             : default_value;
}

// Applies an action that changes the settings of an endpoint until they are changed again. Returns
// false if the action is not of this kind.
bool ApplySettingAction(const json& body, const std::string& action, UpstreamModel* model) {
  const bool on = body.value("on", true);
  if (action == "slow") {
    model->slow_factor = body.at("factor").get<double>();
  } else if (action == "drain") {
    model->draining = on;
  } else if (action == "fail_fast") {
    model->fail_fast = on;
  } else if (action == "shed") {
    model->settings().shed = on;
  } else if (action == "zone_delay") {
    model->settings().zone_delay = MillisOr(body, "ms", 0ms);
  } else if (action == "report") {
    model->settings().report_lag = MillisOr(body, "lag_ms", 0ms);
    model->settings().report_fixed = body.value("fixed", -1);
  } else if (action == "cold") {
    model->SetColdUnreported();
  } else {
    return false;
  }
  return true;
}

void ApplyAction(const json& body, EndpointServer* server) {
  const std::string action = body.at("action");
  if (ApplySettingAction(body, action, &server->model())) {
    return;
  }
  if (action == "restart") {
    server->Crash(MillisOr(body, "for_ms", kDefaultRestartDownTime));
  } else if (action == "crash") {
    server->Crash(MillisOr(body, "for_ms", kDefaultCrashDownTime));
  } else if (action == "silent") {
    server->SilenceConnections();
  } else {
    throw std::runtime_error("unknown action: " + action);
  }
}

/// The endpoints of the upstream stand-in and the HTTP server of its control port.
class UpstreamServer {
 public:
  UpstreamServer(event_base* base, const UpstreamSettings& settings)
      : http_(base, settings.control_port, [this](evhttp_request* request) { Serve(request); }) {
    uint64_t seed = settings.seed;
    for (const EndpointSettings& endpoint : settings.endpoints) {
      servers_.push_back(std::make_unique<EndpointServer>(base, endpoint, seed++,
                                                          settings.crash_marker, &ledger_));
    }
  }

 private:
  void Serve(evhttp_request* request) {
    try {
      DispatchByPath(request);
    } catch (const std::exception& error) {
      ReplyJson(request, 400, {{"error", error.what()}});
    }
  }

  void DispatchByPath(evhttp_request* request) {
    const std::string path = RequestPath(request);
    if (path == "/ledger") {
      ReplyJson(request, 200, ledger_.Runs());
    } else if (path == "/ledger/summary") {
      ReplyJson(request, 200, ledger_.Summary(ReadStandinClocks().mono));
    } else if (path == "/control" && RequestMethod(request) == "POST") {
      const int applied = ApplyToSelectedEndpoints(json::parse(ReadBody(request)));
      ReplyJson(request, applied > 0 ? 200 : 404, {{"applied", applied}});
    } else {
      ReplyJson(request, 404, {{"error", "no such path"}});
    }
  }

  // Applies an action to the endpoints that the body selects. Returns their number.
  int ApplyToSelectedEndpoints(const json& body) {
    int applied = 0;
    for (const auto& server : servers_) {
      const EndpointSettings& settings = server->model().settings();
      if (body.value("all", false) || body.value("endpoint", "") == settings.id ||
          (body.contains("zone") && body.at("zone") == settings.zone)) {
        ApplyAction(body, server.get());
        ++applied;
      }
    }
    return applied;
  }

  RunLedger ledger_;
  std::vector<std::unique_ptr<EndpointServer>> servers_;
  StandinHttp http_;
};

}  // namespace

int RunUpstream(const UpstreamSettings& settings) {
  const EventBasePtr base = MakeStandinBase();
  const UpstreamServer server(base.get(), settings);
  std::printf("upstream: serving %zu endpoints; control port on 127.0.0.1:%u\n",
              settings.endpoints.size(), settings.control_port);
  std::fflush(stdout);
  RunUntilSignal(base.get());
  return 0;
}

}  // namespace jd
