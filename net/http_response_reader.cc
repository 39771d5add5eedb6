#include "net/http_response_reader.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <algorithm>
#include <cassert>
#include <new>
#include <utility>

#include "net/chunked_body.h"

namespace jd {
namespace {

namespace http = boost::beast::http;

// Bytes that are passed to the parser at once.
constexpr int64_t kMaxReadBytes = 65536;
constexpr int kSwitchingProtocols = 101;
constexpr int kFirstStatus = 100;
constexpr int kFirstFinalStatus = 200;
constexpr int kLastStatus = 599;

std::string ToString(boost::beast::string_view text) {
  return {text.data(), text.size()};
}

// Returns a buffer that owns the text, without a copy.
BufferPtr ToBuffer(std::string text) {
  BufferPtr buffer(evbuffer_new());
  if (text.empty()) {
    return buffer;
  }
  auto owned = std::make_unique<std::string>(std::move(text));
  const char* data = owned->data();
  const size_t size = owned->size();
  const auto release = [](const void*, size_t, void* owner) {
    delete static_cast<std::string*>(owner);
  };
  if (evbuffer_add_reference(buffer.get(), data, size, release, owned.release()) != 0) {
    throw std::bad_alloc();
  }
  return buffer;
}

}  // namespace

class HttpResponseReader::Parser : public http::response_parser<http::string_body> {
 public:
  Parser(const HttpResponseLimits& limits, bool head_request) {
    header_limit(static_cast<uint32_t>(limits.header_bytes));
    body_limit(static_cast<uint64_t>(limits.body_bytes));
    skip(head_request);
  }
};

HttpResponseReader::HttpResponseReader(const HttpResponseLimits& limits, bool head_request)
    : limits_(limits),
      head_request_(head_request),
      parser_(std::make_unique<Parser>(limits, head_request)) {}

HttpResponseReader::~HttpResponseReader() = default;

HttpResponseReader::State HttpResponseReader::Read(evbuffer* input) {
  while (state_ == State::kIncomplete && evbuffer_get_length(input) > 0 && Step(input)) {
  }
  return state_;
}

bool HttpResponseReader::Step(evbuffer* input) {
  // One byte more than a limit suffices to detect that an element exceeds it.
  const auto size =
      static_cast<ev_ssize_t>(std::min(static_cast<int64_t>(evbuffer_get_length(input)),
                                       std::max(kMaxReadBytes, limits_.header_bytes + 1)));
  if (parser_->is_header_done() && parser_->chunked() &&
      static_cast<size_t>(size) < kMinChunkedBytes) {
    return false;
  }
  const void* data = evbuffer_pullup(input, size);
  boost::beast::error_code error;
  const size_t used =
      parser_->put(boost::asio::const_buffer(data, static_cast<size_t>(size)), error);
  evbuffer_drain(input, used);
  if (error && error != http::error::need_more) {
    Fail(error.message());
    return false;
  }
  if (!header_read_) {
    header_bytes_ += static_cast<int64_t>(used);
  }
  if (parser_->is_header_done() && !header_read_) {
    OnHeader();
  }
  if (state_ == State::kIncomplete && parser_->is_done()) {
    state_ = State::kComplete;
  }
  // What the parser has not consumed is the start of one element: a header, the size line of a
  // chunk, or the trailers.
  if (state_ == State::kIncomplete && used == 0 && size > limits_.header_bytes) {
    Fail("an element exceeds the limit on headers");
  }
  return used > 0;
}

void HttpResponseReader::OnHeader() {
  const auto& message = parser_->get();
  const int status = static_cast<int>(message.result_int());
  if (status < kFirstStatus || status > kLastStatus) {
    Fail("invalid status " + std::to_string(status));
    return;
  }
  if (status == kSwitchingProtocols) {
    Fail("unexpected status 101");
    return;
  }
  if (status < kFirstFinalStatus) {
    OnInterimResponse();
    return;
  }
  header_read_ = true;
  for (const auto& field : message) {
    headers_.emplace_back(ToString(field.name_string()), ToString(field.value()));
  }
  const std::string* encoding = FindHeader(headers_, "Transfer-Encoding");
  if (encoding != nullptr && !EqualsIgnoreCase(*encoding, "chunked")) {
    Fail("unknown transfer encoding");
  }
}

void HttpResponseReader::OnInterimResponse() {
  if (++interim_responses_ > kMaxInterimResponses || header_bytes_ > limits_.header_bytes) {
    Fail("too many interim responses");
    return;
  }
  parser_ = std::make_unique<Parser>(limits_, head_request_);
}

HttpResponseReader::State HttpResponseReader::OnEndOfStream() {
  if (state_ != State::kIncomplete) {
    return state_;
  }
  boost::beast::error_code error;
  if (parser_->got_some()) {
    parser_->put_eof(error);
  }
  if (error || !parser_->is_done()) {
    Fail("the stream ended before the response was complete");
  } else {
    state_ = State::kComplete;
  }
  return state_;
}

HttpResponsePtr HttpResponseReader::TakeResponse() {
  assert(state_ == State::kComplete);
  auto response = std::make_unique<HttpResponse>();
  response->status = static_cast<int>(parser_->get().result_int());
  response->headers = std::move(headers_);
  response->body = ToBuffer(std::move(parser_->get().body()));
  return response;
}

size_t HttpResponseReader::body_bytes() const {
  return parser_->get().body().size();
}

bool HttpResponseReader::keep_alive() const {
  return state_ == State::kComplete && parser_->keep_alive();
}

void HttpResponseReader::Fail(std::string error) {
  state_ = State::kFailed;
  error_ = std::move(error);
}

}  // namespace jd
