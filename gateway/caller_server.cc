#include "gateway/caller_server.h"

#include <event2/http_struct.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <xxhash.h>

#include <algorithm>
#include <array>
#include <cassert>
#include <cctype>
#include <cmath>
#include <cstdio>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <utility>

#include "gateway/header_rules.h"
#include "gateway/http_server.h"
#include "gateway/log.h"

namespace jd {
namespace {

// The time limits of connections are checked at this interval, so a connection exceeds them by at
// most this much.
constexpr Duration kExpiryCheckInterval = 100ms;
// Limit on the bytes that a caller may pipeline while its current request is not answered yet.
constexpr size_t kMaxPipelinedBytes = 65536;
constexpr int kBadRequest = 400;
// Interval between the steps of Close.
constexpr Duration kCloseStep = 5ms;
// How long Close waits for the first request of a connection: the caller may be about to send it.
constexpr Duration kFirstRequestWait = 200ms;

// Returns whether bytes of a request have arrived that were not read yet.
bool HasUnreadBytes(bufferevent* stream) {
  char byte = 0;
  return recv(bufferevent_getfd(stream), &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
}

// Returns a text from a caller without bytes that could break a log line.
std::string Printable(std::string text) {
  std::replace_if(
      text.begin(), text.end(), [](unsigned char c) { return std::isgraph(c) == 0; }, '?');
  return text;
}

timeval ToTimeval(Duration interval) {
  return {interval.count() / 1'000'000, interval.count() % 1'000'000};
}

// Returns the fingerprint of a request: a hash of its method, target and body.
Fingerprint HashRequest(const std::string& method, const std::string& target, evbuffer* body) {
  const std::unique_ptr<XXH3_state_t, decltype(&XXH3_freeState)> state(XXH3_createState(),
                                                                       &XXH3_freeState);
  XXH3_64bits_reset(state.get());
  XXH3_64bits_update(state.get(), method.data(), method.size() + 1);
  XXH3_64bits_update(state.get(), target.data(), target.size() + 1);
  std::vector<evbuffer_iovec> parts(
      static_cast<size_t>(evbuffer_peek(body, -1, nullptr, nullptr, 0)));
  evbuffer_peek(body, -1, nullptr, parts.data(), static_cast<int>(parts.size()));
  for (const evbuffer_iovec& part : parts) {
    XXH3_64bits_update(state.get(), part.iov_base, part.iov_len);
  }
  return Fingerprint(XXH3_64bits_digest(state.get()));
}

}  // namespace

CallerServer::CallerServer(EventLoop* loop,
                           const Settings& settings,
                           uint64_t seed,
                           const HttpDialect* dialect)
    : loop_(loop),
      limits_(settings.limits),
      dialect_(dialect),
      random_(seed),
      http_(NewHttpServer(loop, settings.callers, &port_)),
      register_timer_(loop, [this] { RegisterConnections(); }),
      expiry_timer_(loop, [this] { CloseExpiredConnections(); }),
      close_marked_timer_(loop, [this] { CloseMarkedConnections(); }),
      close_timer_(loop, [this] { ContinueClose(); }),
      lingering_(loop) {
  ApplyLimits();
  evhttp_set_allowed_methods(http_.get(), EVHTTP_REQ_GET | EVHTTP_REQ_POST | EVHTTP_REQ_HEAD |
                                              EVHTTP_REQ_PUT | EVHTTP_REQ_DELETE |
                                              EVHTTP_REQ_OPTIONS | EVHTTP_REQ_PATCH);
  evhttp_set_bevcb(http_.get(), &CreateStream, this);
  evhttp_set_gencb(http_.get(), &OnRequest, this);
  expiry_timer_.Schedule(kExpiryCheckInterval);
}

void CallerServer::ApplyLimits() {
  evhttp_set_max_headers_size(http_.get(), limits_.header_bytes);
  evhttp_set_max_body_size(http_.get(), limits_.body_bytes);
  const timeval idle = ToTimeval(limits_.idle_timeout);
  evhttp_set_timeout_tv(http_.get(), &idle);
}

void CallerServer::SetLimits(const CallerLimits& limits) {
  limits_.header_bytes = limits.header_bytes;
  limits_.body_bytes = limits.body_bytes;
  limits_.header_timeout = limits.header_timeout;
  limits_.idle_timeout = limits.idle_timeout;
  ApplyLimits();
}

CallerServer::~CallerServer() {
  for (const auto& [http, connection] : connections_) {
    evhttp_connection_set_closecb(http, nullptr, nullptr);
    evbuffer_remove_cb(bufferevent_get_input(connection->stream), &OnInput, connection.get());
  }
}

bufferevent* CallerServer::CreateStream(event_base* base, void* argument) {
  auto* self = static_cast<CallerServer*>(argument);
  bufferevent* stream = bufferevent_socket_new(base, -1, 0);
  if (stream != nullptr) {
    self->unregistered_streams_.push_back(stream);
    self->register_timer_.ScheduleNow();
  }
  return stream;
}

void CallerServer::RegisterConnections() {
  // evhttp creates its connection object after CreateStream returns. This function runs before the
  // first read from the stream and finds that object as the argument of the stream's callbacks.
  for (bufferevent* stream : std::exchange(unregistered_streams_, {})) {
    void* http = nullptr;
    bufferevent_getcb(stream, nullptr, nullptr, nullptr, &http);
    auto connection = std::make_unique<CallerConnection>();
    connection->server = this;
    connection->stream = stream;
    connection->http = static_cast<evhttp_connection*>(http);
    connection->state_since = loop_->ReadClocks().mono;
    evhttp_connection_set_closecb(connection->http, &OnClose, connection.get());
    evbuffer_add_cb(bufferevent_get_input(stream), &OnInput, connection.get());
    const int on = 1;
    setsockopt(bufferevent_getfd(stream), IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    connections_[connection->http] = std::move(connection);
  }
}

void CallerServer::OnInput(evbuffer*, const evbuffer_cb_info* info, void* argument) {
  auto* connection = static_cast<CallerConnection*>(argument);
  if (info->n_added > 0 &&
      (connection->state == CallerState::kIdle || connection->state == CallerState::kHeader ||
       connection->state == CallerState::kBody)) {
    connection->server->TrackRequestBytes(connection, info->orig_size);
  }
}

void CallerServer::TrackRequestBytes(CallerConnection* connection, size_t offset) {
  evbuffer* buffer = bufferevent_get_input(connection->stream);
  evbuffer_ptr start;
  evbuffer_ptr_set(buffer, &start, offset, EVBUFFER_PTR_SET);
  std::vector<evbuffer_iovec> parts(
      static_cast<size_t>(evbuffer_peek(buffer, -1, &start, nullptr, 0)));
  evbuffer_peek(buffer, -1, &start, parts.data(), static_cast<int>(parts.size()));
  const MonoTime now = loop_->ReadClocks().mono;
  for (const evbuffer_iovec& part : parts) {
    connection->TrackBytes({static_cast<const char*>(part.iov_base), part.iov_len}, now,
                           static_cast<size_t>(limits_.header_bytes));
  }
  if (connection->must_close) {
    // The connection cannot be closed here, because evhttp is in the middle of reading from it.
    close_marked_timer_.ScheduleNow();
  }
}

void CallerServer::CloseMarkedConnections() {
  std::vector<CallerConnection*> marked;
  for (const auto& [http, connection] : connections_) {
    if (connection->must_close) {
      marked.push_back(connection.get());
    }
  }
  for (const CallerConnection* connection : marked) {
    LogWarning(LogPart::kCalls, "event=request-unreadable method=" + Printable(connection->method) +
                                    " fault=unsupported method or chunk size line over the limit");
    rejected_.emit(kBadRequest);
    bufferevent_trigger_event(connection->stream, BEV_EVENT_TIMEOUT | BEV_EVENT_READING, 0);
  }
}

void CallerServer::OnRequest(evhttp_request* request, void* argument) {
  auto* self = static_cast<CallerServer*>(argument);
  const auto connection = self->connections_.find(evhttp_request_get_connection(request));
  assert(connection != self->connections_.end());
  self->HandleRequest(connection->second.get(), request);
}

void CallerServer::HandleRequest(CallerConnection* connection, evhttp_request* request) {
  const evkeyvalq* headers = evhttp_request_get_input_headers(request);
  const char* target = evhttp_request_get_uri(request);
  evhttp_request_set_on_complete_cb(request, &OnAnswerWritten, connection);
  SetState(connection, CallerState::kInCall);
  const evhttp_cmd_type method = evhttp_request_get_command(request);
  std::string error = FindRequestError(headers, target);
  if (error.empty() && method == EVHTTP_REQ_HEAD && AnnouncesBody(headers)) {
    // evhttp does not read the body of a HEAD request and would parse the body as the next request.
    error = "A HEAD request cannot have a body.";
  }
  CallRequest call;
  if (error.empty()) {
    error = dialect_->ParseCallHeaders(headers, &call);
  }
  if (!error.empty()) {
    RejectRequest(connection, request, error);
    return;
  }
  // While the call runs, bytes that arrive stay in the stream's buffer, but reading stays enabled
  // so that a closed connection is detected. evhttp replaces the callbacks when it writes the
  // answer.
  bufferevent_event_cb on_event = nullptr;
  bufferevent_getcb(connection->stream, nullptr, nullptr, &on_event, nullptr);
  bufferevent_setcb(connection->stream, nullptr, nullptr, on_event, connection->http);
  bufferevent_set_timeouts(connection->stream, nullptr, nullptr);
  bufferevent_setwatermark(connection->stream, EV_READ, 0, kMaxPipelinedBytes);
  bufferevent_enable(connection->stream, EV_READ);
  call.id = connection->call = CallId(next_call_++);
  if (call.request_id.empty()) {
    std::array<char, 33> text{};
    std::snprintf(text.data(), text.size(), "%016llx%016llx",
                  static_cast<unsigned long long>(random_()),
                  static_cast<unsigned long long>(random_()));
    call.request_id.value = text.data();
  }
  call.method = MethodName(method);
  call.path = target;
  call.fingerprint = HashRequest(call.method, call.path, evhttp_request_get_input_buffer(request));
  calls_[call.id] = request;
  call_arrived_.emit(call);
}

void CallerServer::RejectRequest(CallerConnection* connection,
                                 evhttp_request* request,
                                 const std::string& error) {
  const BufferPtr body(evbuffer_new());
  evkeyvalq* headers = evhttp_request_get_output_headers(request);
  evhttp_add_header(headers, "x-verdict", "not-run");
  evhttp_add_header(headers, "x-refusal", "bad-request");
  // The connection is closed because caller and gateway may disagree on where the next request
  // starts.
  evhttp_add_header(headers, "Connection", "close");
  AddJsonBody(headers, body.get(),
              {{"verdict", "not-run"}, {"refusal", "bad-request"}, {"message", error}});
  SetState(connection, CallerState::kAnswering);
  rejected_.emit(kBadRequest);
  evhttp_send_reply(request, kBadRequest, nullptr, body.get());
}

evhttp_request* CallerServer::BeginAnswer(CallId call) {
  evhttp_request* request = calls_.extract(call).mapped();
  CallerConnection* connection = connections_.at(evhttp_request_get_connection(request)).get();
  connection->call = CallId();
  SetState(connection, CallerState::kAnswering);
  const timeval idle = ToTimeval(limits_.idle_timeout);
  bufferevent_set_timeouts(connection->stream, &idle, &idle);
  // Removes the watermark: otherwise a body larger than the watermark in the next request could
  // never arrive completely.
  bufferevent_setwatermark(connection->stream, EV_READ, 0, 0);
  return request;
}

void CallerServer::SendReply(evhttp_request* request, int status, evbuffer* body) {
  if (close_announced_) {
    evhttp_add_header(evhttp_request_get_output_headers(request), "Connection", "close");
  }
  evhttp_send_reply(request, status, ReasonPhrase(status), body);
}

void CallerServer::Answer(CallId call, const RequestId& request_id, const HttpResponse& response) {
  evhttp_request* request = BeginAnswer(call);
  evkeyvalq* output = evhttp_request_get_output_headers(request);
  bool has_id = false;
  for (const auto& [name, value] : EndToEndHeaders(response.headers)) {
    if (dialect_->HidesResponseHeader(name)) {
      continue;
    }
    has_id = has_id || EqualsIgnoreCase(name, dialect_->request_id_header());
    evhttp_add_header(output, name.c_str(), value.c_str());
  }
  if (!has_id) {
    evhttp_add_header(output, dialect_->request_id_header(), request_id.value.c_str());
  }
  const std::string* length = FindHeader(response.headers, "Content-Length");
  if (evhttp_request_get_command(request) == EVHTTP_REQ_HEAD && length != nullptr) {
    evhttp_add_header(output, "Content-Length", length->c_str());
  }
  SendReply(request, response.status, response.body.get());
}

void CallerServer::Refuse(CallId call, const RequestId& request_id, const Refusal& refusal) {
  evhttp_request* request = BeginAnswer(call);
  evkeyvalq* headers = evhttp_request_get_output_headers(request);
  dialect_->AddRefusalHeaders(refusal, headers);
  evhttp_add_header(headers, dialect_->request_id_header(), request_id.value.c_str());
  const BufferPtr body(evbuffer_new());
  AddJsonBody(headers, body.get(),
              {{"verdict", std::string(VerdictName(refusal.verdict))},
               {"refusal", std::string(RefusalReasonName(refusal.reason))},
               {"message", refusal.text}});
  SendReply(request, dialect_->StatusOf(refusal), body.get());
}

void CallerServer::Replay(CallId call,
                          const RequestId& request_id,
                          int status,
                          const std::string& content_type,
                          const std::string& text) {
  evhttp_request* request = BeginAnswer(call);
  evkeyvalq* headers = evhttp_request_get_output_headers(request);
  evhttp_add_header(headers, dialect_->request_id_header(), request_id.value.c_str());
  if (!content_type.empty()) {
    evhttp_add_header(headers, "Content-Type", content_type.c_str());
  }
  const BufferPtr body(evbuffer_new());
  evbuffer_add(body.get(), text.data(), text.size());
  SendReply(request, status, body.get());
}

void CallerServer::OnAnswerWritten(evhttp_request*, void* argument) {
  auto* connection = static_cast<CallerConnection*>(argument);
  CallerServer* self = connection->server;
  connection->ResetForNextRequest(self->loop_->ReadClocks().mono);
  // A pipelined request is already in the input buffer, and OnInput is not called for it again.
  self->TrackRequestBytes(connection, 0);
  if (self->close_announced_ && self->idle()) {
    self->became_idle_.emit();
  }
}

void CallerServer::OnClose(evhttp_connection* http, void* argument) {
  auto* connection = static_cast<CallerConnection*>(argument);
  CallerServer* self = connection->server;
  evbuffer_remove_cb(bufferevent_get_input(connection->stream), &OnInput, connection);
  if (self->close_announced_ || connection->must_close) {
    // The caller may have sent more, for example a pipelined request.
    self->lingering_.Add(bufferevent_getfd(connection->stream));
  }
  const CallId call = connection->call;
  self->connections_.erase(http);
  if (call != CallId()) {
    // evhttp no longer owns the unanswered request, so this function frees the request.
    const auto found = self->calls_.extract(call);
    self->caller_gone_.emit(call);
    evhttp_request_free(found.mapped());
  }
  if (self->idle()) {
    self->became_idle_.emit();
  }
}

void CallerServer::SetState(CallerConnection* connection, CallerState state) {
  connection->state = state;
  connection->state_since = loop_->ReadClocks().mono;
}

size_t CallerServer::busy_connections() const {
  return static_cast<size_t>(
      std::count_if(connections_.begin(), connections_.end(),
                    [](const auto& entry) { return entry.second->state != CallerState::kIdle; }));
}

void CallerServer::CloseIdleConnections() {
  const MonoTime now = loop_->ReadClocks().mono;
  std::vector<CallerConnection*> idle;
  for (const auto& [http, connection] : connections_) {
    const bool is_new = !connection->used && now < connection->state_since + kFirstRequestWait;
    if (connection->state == CallerState::kIdle && !is_new && !HasUnreadBytes(connection->stream)) {
      idle.push_back(connection.get());
    }
  }
  for (const CallerConnection* connection : idle) {
    bufferevent_trigger_event(connection->stream, BEV_EVENT_TIMEOUT | BEV_EVENT_READING, 0);
  }
}

void CallerServer::Close() {
  AnnounceClose();
  // Close may be called while evhttp finishes an answer, when no connection may be closed.
  close_timer_.ScheduleNow();
}

void CallerServer::ContinueClose() {
  // The event loop accepts pending connections before the next step.
  if (listening_ && !HasPendingConnections(http_.get())) {
    StopListening(http_.get());
    listening_ = false;
  }
  CloseIdleConnections();
  if (!listening_ && connections_.empty() && unregistered_streams_.empty() && lingering_.empty()) {
    closed_.emit();
    return;
  }
  close_timer_.Schedule(kCloseStep);
}

void CallerServer::CloseExpiredConnections() {
  const MonoTime now = loop_->ReadClocks().mono;
  std::vector<CallerConnection*> overdue;
  std::vector<CallerConnection*> idle;
  for (const auto& [http, connection] : connections_) {
    const Duration age = now - connection->state_since;
    if ((connection->state == CallerState::kHeader && age > limits_.header_timeout) ||
        (connection->state == CallerState::kBody && age > limits_.body_timeout) ||
        (connection->state == CallerState::kIdle && age > limits_.idle_timeout)) {
      overdue.push_back(connection.get());
    } else if (connection->state == CallerState::kIdle) {
      idle.push_back(connection.get());
    }
  }
  const auto allowed = static_cast<size_t>(limits_.idle_connections);
  if (idle.size() > allowed) {
    std::sort(idle.begin(), idle.end(),
              [](const auto* a, const auto* b) { return a->state_since < b->state_since; });
    overdue.insert(overdue.end(), idle.begin(),
                   idle.begin() + static_cast<ptrdiff_t>(idle.size() - allowed));
  }
  for (const CallerConnection* connection : overdue) {
    bufferevent_trigger_event(connection->stream, BEV_EVENT_TIMEOUT | BEV_EVENT_READING, 0);
  }
  expiry_timer_.Schedule(kExpiryCheckInterval);
}

}  // namespace jd
