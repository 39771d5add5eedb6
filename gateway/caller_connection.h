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
  kHeader,     ///< The first byte of a request has arrived, but not its complete header.
  kBody,       ///< The header is complete, the body is not.
  kInCall,     ///< The request was reported as a call that has not been answered yet.
  kAnswering,  ///< The answer is being written.
};

/// The state of one connection to a caller: which part of a request it is receiving or answering,
/// and since when. evhttp owns the network connection.
struct CallerConnection {
  CallerServer* server = nullptr;
  bufferevent* stream = nullptr;
  evhttp_connection* http = nullptr;
  CallerState state = CallerState::kIdle;
  MonoTime state_since;           ///< When the state was entered.
  CallId call;                    ///< The unanswered call, set in state kInCall only.
  int consecutive_line_ends = 0;  ///< Number of consecutive line ends received; two end the header.
  std::string method;             ///< The part of the method that has arrived.
  bool method_known = false;  ///< The method has arrived completely, or is too long to be valid.
  /// The method is not supported and the connection must be closed, because evhttp might parse the
  /// body as the next request.
  bool must_close = false;

  /// Returns to the state kIdle to wait for the next request.
  void ResetForNextRequest(MonoTime now);
  /// Updates the state with received bytes. This is needed for the time limits of headers and
  /// bodies, because evhttp reports only complete requests.
  void TrackBytes(std::string_view bytes, MonoTime now);

 private:
  void TrackMethodByte(char c);
};

}  // namespace jd
