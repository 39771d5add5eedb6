#include "gateway/caller_server.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <xxhash.h>

#include <algorithm>
#include <array>
#include <cassert>
#include <cctype>
#include <cstdio>
#include <nlohmann/json.hpp>
#include <string_view>
#include <utility>

#include "gateway/caller_response.h"
#include "gateway/header_rules.h"
#include "gateway/log.h"

namespace jd {
namespace {

// Limit on the bytes that a caller may send ahead while no further request is read.
constexpr size_t kMaxUnreadBytes = 65536;
constexpr int kBadRequest = 400;
constexpr int kUnauthorized = 401;
constexpr int kExpectationFailed = 417;
constexpr int kServiceUnavailable = 503;
// Retry-after time of a request that is refused because callers take too much memory.
constexpr Duration kRetryAfterMemory = 1s;
constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";
constexpr double kBytesPerMegabyte = 1 << 20;
// The share of the process's memory that callers may take if the settings do not say otherwise.
constexpr double kCallerMemoryShare = 0.25;

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

RequestId RandomRequestId(RandomEngine* random) {
  std::array<char, 33> text{};
  std::snprintf(text.data(), text.size(), "%016llx%016llx",
                static_cast<unsigned long long>((*random)()),
                static_cast<unsigned long long>((*random)()));
  return RequestId(text.data());
}

// Returns the response of the gateway itself to a request that it refuses.
HttpResponse RefusalResponse(int status,
                             Verdict verdict,
                             std::string_view reason,
                             const std::string& message) {
  HttpResponse response;
  response.status = status;
  if (status == kUnauthorized) {
    response.headers.emplace_back("WWW-Authenticate", "Bearer");
  }
  SetJsonBody(&response, {{"verdict", std::string(VerdictName(verdict))},
                          {"refusal", std::string(reason)},
                          {"message", message}});
  return response;
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
      expiry_timer_(loop, [this] { CloseExpiredConnections(); }),
      destroy_timer_(loop, [this] { closed_connections_.clear(); }),
      close_timer_(loop, [this] { ContinueClose(); }),
      lingering_(loop),
      listener_(loop,
                settings.callers.address,
                settings.callers.port,
                [this](evutil_socket_t socket) { OnAccept(socket); }) {
  ApplyMemoryLimit();
  CloseExpiredConnections();
}

void CallerServer::ApplyMemoryLimit() {
  const double megabytes = limits_.caller_memory_mb > 0 ? limits_.caller_memory_mb
                                                        : limits_.memory_mb * kCallerMemoryShare;
  const auto largest_request =
      static_cast<size_t>(limits_.body_bytes + limits_.header_bytes) + kMaxUnreadBytes;
  memory_.SetLimit(std::max(static_cast<size_t>(megabytes * kBytesPerMegabyte), largest_request));
}

void CallerServer::SetLimits(const CallerLimits& limits) {
  limits_.header_bytes = limits.header_bytes;
  limits_.body_bytes = limits.body_bytes;
  limits_.header_timeout = limits.header_timeout;
  limits_.idle_timeout = limits.idle_timeout;
  ApplyMemoryLimit();
}

void CallerServer::OnAccept(evutil_socket_t socket) {
  auto connection = std::make_unique<CallerConnection>(this, &memory_);
  connection->stream.reset(bufferevent_socket_new(loop_->base(), socket, BEV_OPT_CLOSE_ON_FREE));
  bufferevent* stream = connection->stream.get();
  if (stream == nullptr) {
    evutil_closesocket(socket);
    return;
  }
  const int on = 1;
  setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  connection->state_since = loop_->ReadClocks().mono;
  bufferevent_setcb(stream, &OnReadable, &OnWritten, &OnEvent, connection.get());
  const timeval idle = ToTimeval(limits_.idle_timeout);
  bufferevent_set_timeouts(stream, nullptr, &idle);
  bufferevent_enable(stream, EV_READ | EV_WRITE);
  connections_[connection.get()] = std::move(connection);
}

void CallerServer::OnReadable(bufferevent*, void* argument) {
  auto* connection = static_cast<CallerConnection*>(argument);
  connection->server->ProcessInput(connection);
}

void CallerServer::ProcessInput(CallerConnection* connection) {
  if (connection->processing || connection->closed) {
    return;
  }
  connection->processing = true;
  evbuffer* input = bufferevent_get_input(connection->stream.get());
  // While the process stops, only the last request that was read gets an answer that closes the
  // connection, so no further one is read behind it.
  const auto may_read = [&] {
    return !connection->closed && evbuffer_get_length(input) > 0 &&
           (connection->reader != nullptr ||
            (connection->MayReadNext() && (!close_announced_ || connection->calls.empty())));
  };
  while (may_read() && ReadRequest(connection, input)) {
  }
  connection->processing = false;
  if (!connection->closed && connection->state == CallerState::kStopped &&
      evbuffer_get_length(input) > 0) {
    evbuffer_drain(input, evbuffer_get_length(input));
    connection->lingers = true;
  }
  CountMemory(connection);
}

void CallerServer::BeginRequest(CallerConnection* connection) {
  connection->used = true;
  connection->reader = std::make_unique<HttpRequestReader>(
      HttpRequestLimits{limits_.header_bytes, limits_.body_bytes});
  // The largest element that stays unread until it is complete is as long as a header.
  bufferevent_setwatermark(connection->stream.get(), EV_READ, 0,
                           static_cast<size_t>(limits_.header_bytes) + kMaxUnreadBytes);
  SetState(connection, CallerState::kHeader);
}

bool CallerServer::ReadRequest(CallerConnection* connection, evbuffer* input) {
  if (connection->reader == nullptr) {
    BeginRequest(connection);
  }
  HttpRequestReader& reader = *connection->reader;
  const bool header_known = reader.state() == HttpRequestReader::State::kBody;
  const HttpRequestReader::State state = reader.Read(input);
  if (state == HttpRequestReader::State::kFailed) {
    LogWarning(LogPart::kCalls, "event=request-unreadable status=" +
                                    std::to_string(reader.status()) + " fault=" + reader.error());
    Reject(connection, reader.status(), "The request is invalid: " + reader.error() + ".");
    return false;
  }
  if (state == HttpRequestReader::State::kHeader) {
    return false;
  }
  if (!header_known && !CheckHeader(connection)) {
    return false;
  }
  if (state == HttpRequestReader::State::kComplete) {
    AcceptRequest(connection);
    return true;
  }
  if (!header_known) {
    SetState(connection, CallerState::kBody);
    connection->continue_expected = FindHeader(reader.request().headers, "Expect") != nullptr &&
                                    !reader.request().is_http_1_0 &&
                                    evbuffer_get_length(input) == 0;
    SendContinue(connection);
  }
  return !header_known;
}

bool CallerServer::CheckHeader(CallerConnection* connection) {
  const HttpRequest& request = connection->reader->request();
  std::string error = FindRequestError(request.headers, request.target);
  if (error.empty() && request.method == EVHTTP_REQ_HEAD && AnnouncesBody(request.headers)) {
    error = "A HEAD request cannot have a body.";
  }
  CallRequest call;
  if (error.empty()) {
    error = dialect_->ParseCallHeaders(request.headers, &call);
    connection->arriving = std::move(call);
  }
  const std::string* expect = FindHeader(request.headers, "Expect");
  if (!error.empty()) {
    Reject(connection, kBadRequest, error);
  } else if (expect != nullptr && !EqualsIgnoreCase(*expect, "100-continue")) {
    Reject(connection, kExpectationFailed, "Only the expectation '100-continue' is known.");
  } else {
    return true;
  }
  return false;
}

void CallerServer::SendContinue(CallerConnection* connection) {
  if (connection->continue_expected && connection->state == CallerState::kBody &&
      connection->calls.empty()) {
    bufferevent_write(connection->stream.get(), kContinue.data(), kContinue.size());
    connection->continue_expected = false;
  }
}

void CallerServer::AcceptRequest(CallerConnection* connection) {
  auto entry = std::make_unique<PipelinedCall>();
  entry->request_bytes = connection->reader->memory_bytes();
  entry->request = connection->reader->TakeRequest();
  connection->reader.reset();
  connection->continue_expected = false;
  const HttpRequest& request = entry->request;
  CallRequest& call = entry->call;
  call = std::move(connection->arriving);
  call.id = CallId(next_call_++);
  if (call.request_id.empty()) {
    call.request_id = RandomRequestId(&random_);
  }
  call.method = MethodName(request.method);
  call.path = request.target;
  call.fingerprint = HashRequest(call.method, call.path, request.body.get());
  entry->request_bytes += call.path.size();
  entry->arrived = loop_->ReadClocks().mono;
  entry->closes_connection = !request.keep_alive;
  SetState(connection, request.keep_alive ? CallerState::kIdle : CallerState::kStopped);
  connection->calls.push_back(std::move(entry));
  CountMemory(connection);
  StartCalls(connection);
}

void CallerServer::StartCalls(CallerConnection* connection) {
  while (!connection->closed) {
    PipelinedCall* next = connection->NextToStart(is_idempotent_);
    if (next == nullptr) {
      return;
    }
    next->state = PipelinedCall::State::kRunning;
    // A copy, because the call may end before the signal returns.
    CallRequest call = next->call;
    if (call.timeout) {
      // The caller counts the time that its request spent behind others.
      const Duration waited = loop_->ReadClocks().mono - next->arrived;
      call.timeout = std::max(*call.timeout - waited, Duration(0));
    }
    calls_[call.id] = connection;
    call_arrived_.emit(call);
  }
}

void CallerServer::Reject(CallerConnection* connection, int status, const std::string& error) {
  HttpResponse response = RefusalResponse(status, Verdict::kNotRun, "bad-request", error);
  response.headers.emplace_back("x-verdict", "not-run");
  response.headers.emplace_back("x-refusal", "bad-request");
  rejected_.emit(status);
  // The connection is closed because caller and gateway may disagree on where the next request
  // starts.
  EndWith(connection, std::move(response));
}

void CallerServer::RefuseIncomplete(CallerConnection* connection) {
  LogWarning(LogPart::kCalls, "event=request-refused fault=callers take too much memory bytes=" +
                                  std::to_string(connection->memory.usage().incomplete) +
                                  " all_bytes=" + std::to_string(memory_.used_bytes()));
  const Refusal refusal = {RefusalReason::kOverload, Verdict::kNotRun, kRetryAfterMemory,
                           "The requests of all callers take too much memory."};
  HttpResponse response = RefusalResponse(kServiceUnavailable, refusal.verdict,
                                          RefusalReasonName(refusal.reason), refusal.text);
  dialect_->AddRefusalHeaders(refusal, &response.headers);
  rejected_.emit(kServiceUnavailable);
  EndWith(connection, std::move(response));
}

void CallerServer::EndWith(CallerConnection* connection, HttpResponse response) {
  if (connection->ended) {
    // Its last response has been written.
    evbuffer* unread = bufferevent_get_input(connection->stream.get());
    evbuffer_drain(unread, evbuffer_get_length(unread));
    connection->reader.reset();
    connection->memory.Set(connection->MemoryUsage());
    return;
  }
  auto entry = std::make_unique<PipelinedCall>();
  if (connection->reader != nullptr) {
    entry->request.method = connection->reader->request().method;
  }
  entry->state = PipelinedCall::State::kAnswered;
  entry->response_bytes = MemoryBytes(response);
  entry->response = std::move(response);
  entry->closes_connection = true;
  connection->lingers = true;
  connection->reader.reset();
  SetState(connection, CallerState::kStopped);
  evbuffer* input = bufferevent_get_input(connection->stream.get());
  evbuffer_drain(input, evbuffer_get_length(input));
  connection->calls.push_back(std::move(entry));
  connection->memory.Set(connection->MemoryUsage());
  WriteResponses(connection);
}

const HttpRequest& CallerServer::request(CallId call) const {
  return calls_.at(call)->FindRunning(call)->request;
}

void CallerServer::SetResponse(CallId call, HttpResponse response) {
  CallerConnection* connection = calls_.extract(call).mapped();
  PipelinedCall* entry = connection->FindRunning(call);
  assert(entry != nullptr);
  entry->state = PipelinedCall::State::kAnswered;
  entry->response_bytes = MemoryBytes(response);
  entry->response = std::move(response);
  // The method is all that the response needs of the request.
  entry->request.headers.clear();
  entry->request.body.reset(evbuffer_new());
  entry->request_bytes = 0;
  if (!connection->closed) {
    WriteResponses(connection);
  }
}

void CallerServer::WriteResponses(CallerConnection* connection) {
  evbuffer* output = bufferevent_get_output(connection->stream.get());
  while (!connection->ended && !connection->calls.empty() &&
         connection->calls.front()->state == PipelinedCall::State::kAnswered) {
    const std::unique_ptr<PipelinedCall> entry = std::move(connection->calls.front());
    connection->calls.pop_front();
    const bool closes = entry->closes_connection || (close_announced_ && connection->calls.empty());
    WriteResponse(output, entry->request, entry->response, closes, loop_->ReadClocks().wall);
    if (closes) {
      connection->ended = true;
      connection->reader.reset();
      SetState(connection, CallerState::kStopped);
      DropCalls(connection);
    }
  }
  SendContinue(connection);
  StartCalls(connection);
  ProcessInput(connection);
}

void CallerServer::DropCalls(CallerConnection* connection) {
  while (!connection->calls.empty()) {
    const std::unique_ptr<PipelinedCall> entry = std::move(connection->calls.front());
    connection->calls.pop_front();
    if (entry->state == PipelinedCall::State::kRunning) {
      calls_.erase(entry->call.id);
      caller_gone_.emit(entry->call.id);
    }
  }
}

void CallerServer::Answer(CallId call, const RequestId& request_id, const HttpResponse& response) {
  HttpResponse relayed;
  relayed.status = response.status;
  bool has_id = false;
  for (const auto& [name, value] : EndToEndHeaders(response.headers)) {
    if (dialect_->HidesResponseHeader(name)) {
      continue;
    }
    has_id = has_id || EqualsIgnoreCase(name, dialect_->request_id_header());
    relayed.headers.emplace_back(name, value);
  }
  if (!has_id) {
    relayed.headers.emplace_back(dialect_->request_id_header(), request_id.value);
  }
  const std::string* length = FindHeader(response.headers, "Content-Length");
  if (request(call).method == EVHTTP_REQ_HEAD && length != nullptr) {
    relayed.headers.emplace_back("Content-Length", *length);
  }
  evbuffer_add_buffer(relayed.body.get(), response.body.get());
  SetResponse(call, std::move(relayed));
}

void CallerServer::Refuse(CallId call, const RequestId& request_id, const Refusal& refusal) {
  HttpResponse response = RefusalResponse(dialect_->StatusOf(refusal), refusal.verdict,
                                          RefusalReasonName(refusal.reason), refusal.text);
  dialect_->AddRefusalHeaders(refusal, &response.headers);
  response.headers.emplace_back(dialect_->request_id_header(), request_id.value);
  SetResponse(call, std::move(response));
}

void CallerServer::Replay(CallId call,
                          const RequestId& request_id,
                          int status,
                          const std::string& content_type,
                          const std::string& text) {
  HttpResponse response;
  response.status = status;
  response.headers.emplace_back(dialect_->request_id_header(), request_id.value);
  if (!content_type.empty()) {
    response.headers.emplace_back("Content-Type", content_type);
  }
  evbuffer_add(response.body.get(), text.data(), text.size());
  SetResponse(call, std::move(response));
}

void CallerServer::CountMemory(CallerConnection* connection) {
  if (connection->closed) {
    return;
  }
  connection->memory.Set(connection->MemoryUsage());
  EnforceMemoryLimit();
}

void CallerServer::EnforceMemoryLimit() {
  while (const RequestMemory::Part* part = memory_.RequestToRefuse()) {
    RefuseIncomplete(ConnectionOf(part));
  }
  while (const RequestMemory::Part* part = memory_.ConnectionToClose()) {
    LogWarning(LogPart::kCalls, "event=caller-closed fault=the caller does not read bytes=" +
                                    std::to_string(part->usage().unwritten));
    CloseConnection(ConnectionOf(part), false);
  }
}

CallerConnection* CallerServer::ConnectionOf(const RequestMemory::Part* part) {
  const auto found =
      std::find_if(connections_.begin(), connections_.end(),
                   [part](const auto& entry) { return &entry.second->memory == part; });
  assert(found != connections_.end());
  return found->first;
}

void CallerServer::OnWritten(bufferevent*, void* argument) {
  auto* connection = static_cast<CallerConnection*>(argument);
  CallerServer* self = connection->server;
  self->CountMemory(connection);
  if (connection->closed) {
    return;
  }
  if (connection->state == CallerState::kStopped && connection->calls.empty()) {
    self->CloseConnection(connection, connection->lingers || self->close_announced_);
    return;
  }
  if (connection->idle()) {
    connection->state_since = self->loop_->ReadClocks().mono;
  }
  if (self->close_announced_ && self->idle()) {
    self->became_idle_.emit();
  }
}

void CallerServer::OnEvent(bufferevent* stream, short what, void* argument) {
  auto* connection = static_cast<CallerConnection*>(argument);
  const bool has_unwritten = evbuffer_get_length(bufferevent_get_output(stream)) > 0;
  if ((what & BEV_EVENT_EOF) != 0 && connection->calls.empty() && has_unwritten) {
    // A caller that has ended its sending direction still gets the answers that are ready.
    connection->reader.reset();
    connection->server->SetState(connection, CallerState::kStopped);
    return;
  }
  connection->server->CloseConnection(connection, connection->server->close_announced_);
}

void CallerServer::SetState(CallerConnection* connection, CallerState state) {
  connection->state = state;
  connection->state_since = loop_->ReadClocks().mono;
}

bool CallerServer::idle() const {
  return std::all_of(connections_.begin(), connections_.end(),
                     [](const auto& entry) { return entry.second->idle(); });
}

}  // namespace jd
