#include "gateway/status_server.h"

#include <event2/buffer.h>

#include <utility>

#include "net/http_connection.h"

namespace jd {

StatusServer::StatusServer(EventLoop* loop,
                           const ListenAddress& address,
                           std::string ready_path,
                           std::function<bool()> is_ready,
                           std::function<std::string()> render_metrics)
    : ready_path_(std::move(ready_path)),
      is_ready_(std::move(is_ready)),
      render_metrics_(std::move(render_metrics)),
      http_(NewHttpServer(loop, address, &port_)) {
  evhttp_set_allowed_methods(http_.get(), EVHTTP_REQ_GET | EVHTTP_REQ_HEAD);
  evhttp_set_max_headers_size(http_.get(), 16384);
  evhttp_set_max_body_size(http_.get(), 0);
  evhttp_set_gencb(http_.get(), &OnRequest, this);
}

void StatusServer::OnRequest(evhttp_request* request, void* argument) {
  auto* self = static_cast<StatusServer*>(argument);
  const char* path = evhttp_uri_get_path(evhttp_request_get_evhttp_uri(request));
  const std::string name = path == nullptr ? "" : path;
  int status = 200;
  std::string text;
  if (name == self->ready_path_) {
    status = self->is_ready_() ? 200 : 503;
    text = status == 200 ? "ready\n" : "not ready\n";
  } else if (name == "/live") {
    text = "live\n";
  } else if (name == "/metrics") {
    text = self->render_metrics_();
  } else {
    status = 404;
    text = "no such page\n";
  }
  evhttp_add_header(evhttp_request_get_output_headers(request), "Content-Type",
                    name == "/metrics" ? "text/plain; version=0.0.4" : "text/plain");
  const BufferPtr body(evbuffer_new());
  evbuffer_add(body.get(), text.data(), text.size());
  evhttp_send_reply(request, status, nullptr, body.get());
}

}  // namespace jd
