#include "standin/platform_server.h"

#include <cstdio>
#include <map>
#include <memory>
#include <string>
#include <utility>

#include "standin/platform_model.h"
#include "standin/row_server.h"
#include "standin/standin_http.h"
#include "standin/standin_loop.h"

namespace jd {
namespace {

constexpr Duration kReadinessPollInterval = 200ms;
constexpr timeval kReadinessTimeout = {0, 500'000};

struct ConnectionDeleter {
  void operator()(evhttp_connection* connection) const { evhttp_connection_free(connection); }
};
using ConnectionPtr = std::unique_ptr<evhttp_connection, ConnectionDeleter>;

/// Polls the readiness of each registered gateway at its status port, as the platform's balancer
/// does.
class ReadinessPoller {
 public:
  ReadinessPoller(event_base* base, PlatformModel* model)
      : base_(base), model_(model), timer_(base, [this] { Poll(); }) {
    timer_.Arm(kReadinessPollInterval);
  }

 private:
  /// The readiness check of one gateway.
  struct Check {
    ReadinessPoller* poller;
    std::string id;
    HostPort target;
    ConnectionPtr connection;
    bool busy = false;
  };

  void Poll() {
    for (const auto& [id, entry] : model_->balancer()) {
      CheckReadiness(id, HostPort{entry.address, entry.status_port});
    }
    timer_.Arm(kReadinessPollInterval);
  }

  void CheckReadiness(const std::string& id, const HostPort& target) {
    Check& check = checks_[id];
    if (check.busy) {
      return;
    }
    if (!check.connection || check.target != target) {
      check.poller = this;
      check.id = id;
      check.target = target;
      check.connection.reset(
          evhttp_connection_base_new(base_, nullptr, target.host.c_str(), target.port));
      evhttp_connection_set_timeout_tv(check.connection.get(), &kReadinessTimeout);
    }
    check.busy = true;
    evhttp_request* request = evhttp_request_new(
        [](evhttp_request* answer, void* arg) {
          auto* finished_check = static_cast<Check*>(arg);
          finished_check->busy = false;
          const auto entry = finished_check->poller->model_->balancer().find(finished_check->id);
          if (entry != finished_check->poller->model_->balancer().end()) {
            entry->second.ready =
                answer != nullptr && evhttp_request_get_response_code(answer) == 200;
          }
        },
        &check);
    evhttp_add_header(evhttp_request_get_output_headers(request), "Host", target.host.c_str());
    evhttp_make_request(check.connection.get(), request, EVHTTP_REQ_GET, "/ready");
  }

  event_base* base_;
  PlatformModel* model_;
  StandinTimer timer_;
  std::map<std::string, Check> checks_;
};

/// The HTTP server of the platform stand-in.
class PlatformServer {
 public:
  PlatformServer(event_base* base, uint16_t port, Duration vm_lag)
      : base_(base),
        model_(vm_lag),
        row_server_(base),
        poller_(base, &model_),
        http_(base, port, [this](evhttp_request* request) { Serve(request); }) {}

 private:
  void Serve(evhttp_request* request) {
    if (RequestPath(request).starts_with("/api/")) {
      row_server_.Serve(request);
      return;
    }
    PlatformRequest platform_request;
    platform_request.method = RequestMethod(request);
    platform_request.path = RequestPath(request);
    platform_request.body = ReadBody(request);
    platform_request.key = QueryValue(request, "key", "");
    platform_request.prefix = QueryValue(request, "prefix", "");
    platform_request.after = QueryValue(request, "after", "");
    const std::string limit = QueryValue(request, "limit", "100");
    platform_request.limit = static_cast<uint32_t>(std::strtoul(limit.c_str(), nullptr, 10));
    PlatformReply reply = model_.Handle(ReadStandinClocks().mono, platform_request);
    if (reply.delay <= Duration::zero()) {
      SendReply(request, reply);
      return;
    }
    struct DelayedReply {
      PlatformServer* server;
      evhttp_request* request;
      PlatformReply reply;
    };
    const timeval tv = {reply.delay.count() / 1'000'000, reply.delay.count() % 1'000'000};
    auto delayed = std::make_unique<DelayedReply>(DelayedReply{this, request, std::move(reply)});
    event_base_once(
        base_, -1, EV_TIMEOUT,
        [](evutil_socket_t, short, void* arg) {
          const std::unique_ptr<DelayedReply> due(static_cast<DelayedReply*>(arg));
          SendReply(due->request, due->reply);
        },
        delayed.release(), &tv);
  }

  static void SendReply(evhttp_request* request, const PlatformReply& reply) {
    if (reply.close) {
      CloseWithoutReply(request);
      return;
    }
    if (reply.body.is_string()) {
      ReplyText(request, reply.status, reply.body.get<std::string>());
      return;
    }
    ReplyJson(request, reply.status, reply.body);
  }

  event_base* base_;
  PlatformModel model_;
  RowServer row_server_;
  ReadinessPoller poller_;
  StandinHttp http_;
};

}  // namespace

int RunPlatform(uint16_t port, Duration vm_lag) {
  const EventBasePtr base = MakeStandinBase();
  const PlatformServer server(base.get(), port, vm_lag);
  std::printf("platform: listening on 127.0.0.1:%u\n", port);
  std::fflush(stdout);
  RunUntilSignal(base.get());
  return 0;
}

}  // namespace jd
