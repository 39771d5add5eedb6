#include "standin/standin_fetch.h"

#include <event2/buffer.h>

#include <memory>
#include <utility>

namespace jd {
namespace {

constexpr int kTimeoutSeconds = 30;

struct Fetch {
  FetchCallback done;
};

void OnResponse(evhttp_request* request, void* arg) {
  const std::unique_ptr<Fetch> fetch(static_cast<Fetch*>(arg));
  if (request == nullptr || evhttp_request_get_response_code(request) != 200) {
    fetch->done(std::nullopt);
    return;
  }
  fetch->done(ReadBody(request));
}

}  // namespace

void FetchOnce(event_base* base,
               const HostPort& target,
               const std::string& path,
               FetchCallback done,
               const std::string& method,
               const std::string& body) {
  evhttp_connection* connection =
      evhttp_connection_base_new(base, nullptr, target.host.c_str(), target.port);
  evhttp_connection_set_timeout(connection, kTimeoutSeconds);
  evhttp_connection_free_on_completion(connection);
  auto fetch = std::make_unique<Fetch>(Fetch{std::move(done)});
  evhttp_request* request = evhttp_request_new(OnResponse, fetch.release());
  evkeyvalq* headers = evhttp_request_get_output_headers(request);
  evhttp_add_header(headers, "Host", target.host.c_str());
  evhttp_add_header(headers, "Connection", "close");
  evbuffer_add(evhttp_request_get_output_buffer(request), body.data(), body.size());
  const evhttp_cmd_type command = method == "POST"  ? EVHTTP_REQ_POST
                                  : method == "PUT" ? EVHTTP_REQ_PUT
                                                    : EVHTTP_REQ_GET;
  evhttp_make_request(connection, request, command, path.c_str());
}

}  // namespace jd
