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

constexpr Duration kReadyPoll = 200ms;
constexpr timeval kReadyTimeout = {0, 500'000};

struct ConnectionDeleter {
  void operator()(evhttp_connection* connection) const { evhttp_connection_free(connection); }
};
using ConnectionPtr = std::unique_ptr<evhttp_connection, ConnectionDeleter>;

/// Polls the readiness of each registered gateway at its status port, as the platform's balancer
/// does.
class ReadyPoller {
 public:
  ReadyPoller(event_base* base, PlatformModel* model)
      : base_(base), model_(model), timer_(base, [this] { Poll(); }) {
    timer_.Arm(kReadyPoll);
  }

 private:
  struct Check {
    ReadyPoller* poller;
    std::string id;
    HostPort target;
    ConnectionPtr connection;
    bool busy = false;
  };

  void Poll() {
    for (const auto& [id, entry] : model_->balancer()) {
      Ask(id, HostPort{entry.address, entry.status_port});
    }
    timer_.Arm(kReadyPoll);
  }

  void Ask(const std::string& id, const HostPort& target) {
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
      evhttp_connection_set_timeout_tv(check.connection.get(), &kReadyTimeout);
    }
    check.busy = true;
    evhttp_request* request = evhttp_request_new(
        [](evhttp_request* answer, void* arg) {
          auto* done = static_cast<Check*>(arg);
          done->busy = false;
          const auto entry = done->poller->model_->balancer().find(done->id);
          if (entry != done->poller->model_->balancer().end()) {
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
        rows_(base),
        poller_(base, &model_),
        http_(base, port, [this](evhttp_request* request) { Serve(request); }) {}

 private:
  void Serve(evhttp_request* request) {
    if (RequestPath(request).starts_with("/api/")) {
      rows_.Serve(request);
      return;
    }
    StandinQuery query;
    query.method = RequestMethod(request);
    query.path = RequestPath(request);
    query.body = ReadBody(request);
    query.key = QueryValue(request, "key", "");
    query.prefix = QueryValue(request, "prefix", "");
    query.after = QueryValue(request, "after", "");
    const std::string limit = QueryValue(request, "limit", "100");
    query.limit = static_cast<uint32_t>(std::strtoul(limit.c_str(), nullptr, 10));
    StandinReply reply = model_.Handle(ReadStandinClocks().mono, query);
    if (reply.delay <= Duration::zero()) {
      Finish(request, reply);
      return;
    }
    struct Later {
      PlatformServer* server;
      evhttp_request* request;
      StandinReply reply;
    };
    const timeval tv = {reply.delay.count() / 1'000'000, reply.delay.count() % 1'000'000};
    auto later = std::make_unique<Later>(Later{this, request, std::move(reply)});
    event_base_once(
        base_, -1, EV_TIMEOUT,
        [](evutil_socket_t, short, void* arg) {
          const std::unique_ptr<Later> due(static_cast<Later*>(arg));
          Finish(due->request, due->reply);
        },
        later.release(), &tv);
  }

  static void Finish(evhttp_request* request, const StandinReply& reply) {
    if (reply.close) {
      DropRequest(request);
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
  RowServer rows_;
  ReadyPoller poller_;
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
