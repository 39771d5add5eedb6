#pragma once

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/http.h>

#include <cstdint>
#include <string>
#include <string_view>

#include "common/ids.h"
#include "common/units.h"
#include "gateway/chunk_size_guard.h"

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
  bool used = false;              ///< The first byte of a request has arrived.
  CallId call;                    ///< The unanswered call, set in state kInCall only.
  int consecutive_line_ends = 0;  ///< Number of consecutive line ends received; two end the header.
  std::string method;             ///< The part of the method that has arrived.
  bool method_known = false;  ///< The method has arrived completely, or is too long to be valid.
  /// The request has a method that is not supported, so that evhttp might parse its body as the
  /// next request, or an element that is too long. The connection must be closed.
  bool must_close = false;

  /// Returns to the state kIdle to wait for the next request.
  void ResetForNextRequest(MonoTime now);
  /// Updates the state with received bytes. This is needed for the time limits of headers and
  /// bodies, because evhttp reports only complete requests.
  /// @param max_chunk_line_bytes limit on the size line of a chunk.
  void TrackBytes(std::string_view bytes, MonoTime now, size_t max_chunk_line_bytes);

 private:
  void TrackMethodByte(char c);
  void TrackHeaderByte(char c);

  /// The start of the current header line, as far as needed to recognize Transfer-Encoding.
  std::string header_line_;
  bool chunked_ = false;  ///< The body is chunked.
  ChunkSizeGuard chunk_size_guard_;
};

}  // namespace jd
