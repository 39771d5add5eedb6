#include "net/http_request_reader.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/basic_parser.hpp>
#include <boost/optional.hpp>

#include <algorithm>
#include <array>
#include <new>
#include <optional>
#include <utility>

#include "net/chunked_body.h"

namespace jd {
namespace {

namespace http = boost::beast::http;
using boost::beast::error_code;
using boost::beast::string_view;

constexpr int kBadRequest = 400;
constexpr int kContentTooLarge = 413;
constexpr int kHeaderFieldsTooLarge = 431;
// HTTP/1.1 as the parser reports it.
constexpr int kVersion11 = 11;

constexpr std::array<std::pair<http::verb, evhttp_cmd_type>, 7> kMethods = {{
    {http::verb::get, EVHTTP_REQ_GET},
    {http::verb::post, EVHTTP_REQ_POST},
    {http::verb::head, EVHTTP_REQ_HEAD},
    {http::verb::put, EVHTTP_REQ_PUT},
    {http::verb::delete_, EVHTTP_REQ_DELETE},
    {http::verb::options, EVHTTP_REQ_OPTIONS},
    {http::verb::patch, EVHTTP_REQ_PATCH},
}};

std::optional<evhttp_cmd_type> FindMethod(http::verb method) {
  const auto* found = std::find_if(kMethods.begin(), kMethods.end(),
                                   [method](const auto& entry) { return entry.first == method; });
  return found == kMethods.end() ? std::nullopt : std::optional(found->second);
}

std::string ToString(string_view text) {
  return {text.data(), text.size()};
}

}  // namespace

class HttpRequestReader::Parser : public http::basic_parser<true> {
 public:
  Parser(const HttpRequestLimits& limits, HttpRequest* request) : request_(request) {
    header_limit(static_cast<uint32_t>(limits.header_bytes));
    body_limit(static_cast<uint64_t>(limits.body_bytes));
  }
  bool method_supported() const { return method_supported_; }
  size_t header_memory_bytes() const { return header_memory_bytes_; }

 private:
  void on_request_impl(http::verb method,
                       string_view,
                       string_view target,
                       int version,
                       error_code& error) override {
    const std::optional<evhttp_cmd_type> known = FindMethod(method);
    method_supported_ = known.has_value();
    if (!known) {
      error = http::error::bad_method;
      return;
    }
    request_->method = *known;
    request_->target = ToString(target);
    header_memory_bytes_ += target.size();
    request_->is_http_1_0 = version < kVersion11;
  }
  void on_response_impl(int, string_view, int, error_code&) override {}
  void on_field_impl(http::field, string_view name, string_view value, error_code&) override {
    // Fields after the header are trailers, which are not passed on.
    if (!is_header_done()) {
      const auto& field = request_->headers.emplace_back(ToString(name), ToString(value));
      header_memory_bytes_ += sizeof(field) + name.size() + value.size();
    }
  }
  void on_header_impl(error_code&) override {}
  void on_body_init_impl(const boost::optional<uint64_t>&, error_code&) override {}
  size_t on_body_impl(string_view body, error_code&) override { return Append(body); }
  void on_chunk_header_impl(uint64_t, string_view, error_code&) override {}
  size_t on_chunk_body_impl(uint64_t, string_view body, error_code&) override {
    return Append(body);
  }
  void on_finish_impl(error_code&) override {}

  // Bytes are copied, so that small chunks share memory blocks instead of keeping the blocks in
  // which they arrived.
  size_t Append(string_view body) {
    if (evbuffer_add(request_->body.get(), body.data(), body.size()) != 0) {
      throw std::bad_alloc();
    }
    return body.size();
  }

  HttpRequest* request_;
  bool method_supported_ = true;
  size_t header_memory_bytes_ = 0;
};

HttpRequestReader::HttpRequestReader(const HttpRequestLimits& limits)
    : limits_(limits), parser_(std::make_unique<Parser>(limits, &request_)) {}

HttpRequestReader::~HttpRequestReader() = default;

HttpRequestReader::State HttpRequestReader::Read(evbuffer* input) {
  const State before = state_;
  while ((state_ == State::kHeader || state_ == State::kBody) && evbuffer_get_length(input) > 0 &&
         Step(input) && state_ == before) {
  }
  return state_;
}

bool HttpRequestReader::Step(evbuffer* input) {
  const auto limit = static_cast<size_t>(limits_.header_bytes);
  const size_t first = std::min(evbuffer_get_contiguous_space(input), limit);
  // In the header the limit applies to all bytes together. The size line of a chunk and the
  // trailers are consumed whole, so it applies to the bytes that the parser gets at once.
  const size_t allowed = state_ == State::kHeader ? limit - std::min(limit, header_bytes_) : limit;
  const bool chunked = state_ == State::kBody && parser_->chunked();
  if (chunked && evbuffer_get_length(input) < kMinChunkedBytes) {
    return false;
  }
  if (state_ == State::kBody && (!chunked || first >= kMinChunkedBytes) && Put(input, first) > 0) {
    return true;
  }
  if (state_ == State::kFailed) {
    return false;
  }
  const size_t size = std::min(evbuffer_get_length(input), allowed);
  evbuffer_pullup(input, static_cast<ev_ssize_t>(size));
  const size_t used = size == 0 ? 0 : Put(input, size);
  if (state_ == State::kHeader && size == allowed) {
    Fail(kHeaderFieldsTooLarge, "the header is over the limit");
  } else if (state_ == State::kBody && used == 0 && size == allowed) {
    Fail(kBadRequest, "the size line of a chunk or the trailers are over the limit");
  }
  return used > 0;
}

size_t HttpRequestReader::Put(evbuffer* input, size_t size) {
  const void* data = evbuffer_pullup(input, static_cast<ev_ssize_t>(size));
  error_code error;
  const size_t used = parser_->put(boost::asio::const_buffer(data, size), error);
  evbuffer_drain(input, used);
  if (error == http::error::body_limit) {
    Fail(kContentTooLarge, "the body is over the limit");
  } else if (error == http::error::header_limit) {
    Fail(kHeaderFieldsTooLarge, "the header is over the limit");
  } else if (error && error != http::error::need_more) {
    Fail(kBadRequest, parser_->method_supported() ? error.message() : "unsupported method");
  } else if (parser_->is_done()) {
    OnHeader();
    state_ = State::kComplete;
  } else if (state_ == State::kHeader && parser_->is_header_done()) {
    OnHeader();
    state_ = State::kBody;
    // From now on one call handles all chunks that have arrived.
    parser_->eager(true);
  } else if (state_ == State::kHeader) {
    header_bytes_ += used;
  }
  return used;
}

void HttpRequestReader::OnHeader() {
  request_.keep_alive = parser_->keep_alive();
}

size_t HttpRequestReader::memory_bytes() const {
  return parser_->header_memory_bytes() + evbuffer_get_length(request_.body.get());
}

void HttpRequestReader::Fail(int status, std::string error) {
  state_ = State::kFailed;
  status_ = status;
  error_ = std::move(error);
}

}  // namespace jd
