#pragma once

#include <event2/buffer.h>
#include <event2/http.h>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <utility>

#include "net/http_message.h"

namespace jd {

/// A complete HTTP request.
struct HttpRequest {
  evhttp_cmd_type method = EVHTTP_REQ_GET;
  std::string target;
  HttpHeaders headers;
  BufferPtr body = BufferPtr(evbuffer_new());  ///< Decoded; empty if the request has no body.
  bool keep_alive = true;  ///< Whether the sender wants to use the connection again.
  bool is_http_1_0 = false;
};

/// Maximum sizes of a request.
struct HttpRequestLimits {
  /// Of the request line and the headers, of the size line of a chunk, and of the trailers.
  int64_t header_bytes = 65536;
  int64_t body_bytes = 4 << 20;
};

/// Reads one HTTP/1.1 request from a stream of bytes. Every element of the request is bounded
/// before it is stored, and the body is stored without the framing of its chunks.
class HttpRequestReader {
 public:
  enum class State : uint8_t {
    kHeader,  ///< The header is not complete.
    kBody,    ///< The header is complete, the body is not.
    kComplete,
    kFailed,  ///< See `status` and `error`.
  };

  explicit HttpRequestReader(const HttpRequestLimits& limits);
  ~HttpRequestReader();
  HttpRequestReader(const HttpRequestReader&) = delete;
  HttpRequestReader& operator=(const HttpRequestReader&) = delete;

  /// Consumes bytes of the request. Returns once when the header is complete, so that it can be
  /// checked before the body is read. Bytes after a complete request stay in the buffer.
  State Read(evbuffer* input);
  State state() const { return state_; }

  /// The request. Its body is complete in state kComplete, its other parts from state kBody on.
  const HttpRequest& request() const { return request_; }
  /// Moves the request out of the reader; must be called at most once, in state kComplete.
  HttpRequest TakeRequest() { return std::move(request_); }
  /// Returns the memory that the request takes so far.
  size_t memory_bytes() const;

  /// The HTTP status that describes the error; 0 unless the state is kFailed.
  int status() const { return status_; }
  /// Which element is invalid or too large; empty unless the state is kFailed.
  const std::string& error() const { return error_; }

 private:
  class Parser;

  /// Passes the next bytes of the input to the parser.
  /// @return whether any byte was consumed.
  bool Step(evbuffer* input);
  /// Passes the first `size` bytes, which must be contiguous, to the parser.
  /// @return the number of bytes that it consumed.
  size_t Put(evbuffer* input, size_t size);
  void OnHeader();
  void Fail(int status, std::string error);

  HttpRequestLimits limits_;
  HttpRequest request_;
  std::unique_ptr<Parser> parser_;
  State state_ = State::kHeader;
  int status_ = 0;
  std::string error_;
  size_t header_bytes_ = 0;  ///< Bytes of the header that the parser has consumed.
};

}  // namespace jd
