#pragma once

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/http.h>

#include <cstdint>
#include <string>
#include <string_view>

#include "common/ids.h"
#include "common/units.h"

namespace jd {

class CallerServer;

enum class CallerState : uint8_t {
  kIdle,       ///< Between requests.
  kHeader,     ///< A byte of a request arrived, its header is not complete.
  kBody,       ///< The header is complete, the body is not.
  kInCall,     ///< The request is with the node.
  kAnswering,  ///< The answer is being written.
};

/// What the gateway knows of one connection to a caller; evhttp owns the connection itself.
struct CallerConnection {
  CallerServer* server = nullptr;
  bufferevent* stream = nullptr;
  evhttp_connection* http = nullptr;
  CallerState state = CallerState::kIdle;
  MonoTime since;      ///< When the state was entered.
  CallId call;         ///< In state kInCall.
  int line_ends = 0;   ///< Seen in a row; two end the header.
  std::string method;  ///< As far as it has arrived.
  bool method_known = false;
  /// The connection must be closed: its next bytes cannot be told from a request.
  bool broken = false;

  /// Begins to wait for the next request.
  void Reset(MonoTime now);
  /// Follows the bytes of a request; evhttp reports only whole requests.
  void OnBytes(std::string_view bytes, MonoTime now);

 private:
  void OnMethodByte(char c);
};

}  // namespace jd
