#pragma once

#include <event2/buffer.h>
#include <event2/bufferevent.h>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>

#include "common/ids.h"
#include "common/units.h"
#include "net/http_request_reader.h"
#include "net/libevent_ptr.h"
#include "net/request_memory.h"
#include "policy/call_request.h"

namespace jd {

class CallerServer;

/// A request that has arrived completely, until its response is written.
struct PipelinedCall {
  enum class State : uint8_t {
    kWaiting,   ///< Not reported as a call yet, because of the calls before it.
    kRunning,   ///< Reported as a call that has not been answered yet.
    kAnswered,  ///< The response is complete, and waits for the responses before it.
  };

  State state = State::kWaiting;
  CallRequest call;
  MonoTime arrived;  ///< When the request was complete.
  HttpRequest request;
  HttpResponse response;           ///< Set in state kAnswered.
  size_t request_bytes = 0;        ///< Memory that the request takes.
  size_t response_bytes = 0;       ///< Memory that the response takes.
  bool closes_connection = false;  ///< The connection is closed after the response.
};

/// Which part of a request a connection is receiving.
enum class CallerState : uint8_t {
  kIdle,     ///< Between requests.
  kHeader,   ///< The first byte of a request has arrived, but not its complete header.
  kBody,     ///< The header is complete, the body is not.
  kStopped,  ///< No further request is read; the connection is closed after the last response.
};

/// One connection to a caller: the request that it is receiving, and the calls that are not
/// answered yet, in the order of their arrival. Responses are written in this order.
struct CallerConnection {
  /// Maximum number of calls of one connection at a time.
  static constexpr size_t kMaxPipelinedCalls = 16;

  /// Returns whether the request of a call may be executed more than once.
  using IsIdempotent = std::function<bool(const CallRequest&)>;

  CallerConnection(CallerServer* owner, RequestMemory* memory) : server(owner), memory(memory) {}

  /// Returns the running call with an id, or null.
  PipelinedCall* FindRunning(CallId id);
  /// Returns the next call that may be reported, or null. A call is reported once the calls before
  /// it are answered. It need not wait for them if it and all of them are idempotent.
  PipelinedCall* NextToStart(const IsIdempotent& is_idempotent);
  /// Returns whether the next request may be read. Not while a call waits, so that a caller that
  /// sends faster than it is answered is slowed down.
  bool MayReadNext() const;
  /// Returns whether the connection waits for the first byte of a request, and nothing else.
  bool idle() const;
  /// Returns what the connection takes of the memory for callers.
  RequestMemory::Usage MemoryUsage() const;

  CallerServer* server;
  RequestMemory::Part memory;
  CallerState state = CallerState::kIdle;
  MonoTime state_since;  ///< When the state was entered, or the last response was written.
  bool used = false;     ///< The first byte of a request has arrived.
  bool closed = false;
  /// Whether the caller waits for an interim response before it sends the body.
  bool continue_expected = false;
  bool processing = false;  ///< The input is being processed further up the stack.
  /// The caller may still be sending when the connection is closed.
  bool lingers = false;
  bool ended = false;  ///< The last response of the connection has been written.
  std::unique_ptr<HttpRequestReader> reader;  ///< Null in the states kIdle and kStopped.
  CallRequest arriving;  ///< What the header of the request in state kBody says.
  std::deque<std::unique_ptr<PipelinedCall>> calls;
  // Declared last and so destroyed first, because its callbacks use the other members.
  LibeventPtr<bufferevent> stream;
};

}  // namespace jd
