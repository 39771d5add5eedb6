#pragma once

#include <event2/buffer.h>

#include <cstdint>
#include <memory>
#include <string>

#include "net/http_message.h"

namespace jd {

/// Maximum sizes of a response.
struct HttpResponseLimits {
  /// Of the status line and the headers, of all interim responses together, of the size line of a
  /// chunk, and of the trailers.
  int64_t header_bytes = 65536;
  int64_t body_bytes = 16 << 20;
};

/// Reads one HTTP/1.1 response from a stream of bytes. Every element of the response is bounded
/// before it is buffered, so that a server that sends without end costs a bounded amount of memory.
///
/// Interim responses (status 100 to 199) are skipped. Status 101 is an error, because no request
/// asks for another protocol. A status out of 100 to 599 is an error.
class HttpResponseReader {
 public:
  /// Maximum number of interim responses before a final one.
  static constexpr int kMaxInterimResponses = 8;

  enum class State : uint8_t {
    kIncomplete,  ///< More bytes are needed.
    kComplete,
    kFailed,  ///< The bytes are no valid response, or exceed a limit.
  };

  /// @param head_request whether the response answers a HEAD request and so has no body.
  HttpResponseReader(const HttpResponseLimits& limits, bool head_request);
  ~HttpResponseReader();
  HttpResponseReader(const HttpResponseReader&) = delete;
  HttpResponseReader& operator=(const HttpResponseReader&) = delete;

  /// Consumes bytes of the response. Bytes after a complete response stay in the buffer.
  State Read(evbuffer* input);
  /// Handles the end of the stream, which completes a response that has no length.
  State OnEndOfStream();

  /// Returns the response; must be called at most once, in state kComplete.
  HttpResponsePtr TakeResponse();
  /// Returns the size of the part of the body that has been read.
  size_t body_bytes() const;
  /// Whether the server keeps the connection open after the complete response.
  bool keep_alive() const;
  /// Which element was invalid or too large; empty unless the state is kFailed.
  const std::string& error() const { return error_; }

 private:
  class Parser;

  /// Reads the next part of the input.
  /// @return whether any byte was consumed.
  bool Step(evbuffer* input);
  /// Checks the status and the headers once they are complete, and keeps the headers.
  void OnHeader();
  void OnInterimResponse();
  void Fail(std::string error);

  HttpResponseLimits limits_;
  bool head_request_;
  std::unique_ptr<Parser> parser_;
  State state_ = State::kIncomplete;
  std::string error_;
  HttpHeaders headers_;
  bool header_read_ = false;
  int interim_responses_ = 0;
  int64_t header_bytes_ = 0;  ///< Bytes consumed before the final response's header was complete.
};

}  // namespace jd
