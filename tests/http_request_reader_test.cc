#include "net/http_request_reader.h"

#include <catch2/catch.hpp>

#include <string>

namespace jd {
namespace {

using State = HttpRequestReader::State;

// A reader and the input that it has not consumed yet.
struct Stream {
  State Feed(const std::string& text) {
    evbuffer_add(input.get(), text.data(), text.size());
    State state = reader.Read(input.get());
    while (state == State::kBody && evbuffer_get_length(input.get()) > 0) {
      const size_t before = evbuffer_get_length(input.get());
      state = reader.Read(input.get());
      if (evbuffer_get_length(input.get()) == before) {
        break;
      }
    }
    return state;
  }
  // Repeats `text` until the reader fails or 1 MB was fed. Returns the most bytes left unconsumed.
  size_t FeedWithoutEnd(const std::string& start, const std::string& text) {
    Feed(start);
    size_t most = 0;
    for (size_t fed = 0; fed < (1 << 20) && reader.status() == 0; fed += text.size()) {
      Feed(text);
      most = std::max(most, evbuffer_get_length(input.get()));
    }
    return most;
  }

  BufferPtr input = BufferPtr(evbuffer_new());
  HttpRequestReader reader{HttpRequestLimits{1000, 5000}};
};

std::string BodyOf(const HttpRequest& request) {
  std::string body(evbuffer_get_length(request.body.get()), '\0');
  evbuffer_copyout(request.body.get(), body.data(), body.size());
  return body;
}

const std::string kPost = "POST /a?b HTTP/1.1\r\nHost: h\r\n";
const std::string kChunked = kPost + "Transfer-Encoding: chunked\r\n\r\n";

TEST_CASE("a request is complete at the same byte however it is split",
          "[http_request_reader_test]") {
  const std::string request = GENERATE(kPost + "Content-Length: 3\r\n\r\nabc",
                                       kChunked + "2\r\nab\r\n1;x=y\r\nc\r\n0\r\nt: v\r\n\r\n");
  for (size_t split = 1; split < request.size(); ++split) {
    Stream stream;
    const State first = stream.Feed(request.substr(0, split));
    CHECK((first == State::kHeader || first == State::kBody));
    CHECK(stream.Feed(request.substr(split) + "next") == State::kComplete);
    CHECK(evbuffer_get_length(stream.input.get()) == 4);
    const HttpRequest read = stream.reader.TakeRequest();
    CHECK(read.method == EVHTTP_REQ_POST);
    CHECK(read.target == "/a?b");
    CHECK(read.keep_alive);
    CHECK(HeaderValue(read.headers, "host") == "h");
    CHECK(FindHeader(read.headers, "t") == nullptr);
    CHECK(BodyOf(read) == "abc");
  }
}

TEST_CASE("the end of a chunked body may arrive one byte at a time", "[http_request_reader_test]") {
  // Guards against the parser's assertion on a few bytes of the last chunk, which ends the process.
  const std::string body =
      GENERATE(as<std::string>{}, "0\r\n\r\n", "1\r\na\r\n0\r\n\r\n", "0\r\nt: v\r\n\r\n");
  Stream stream;
  CHECK(stream.Feed(kChunked) == State::kBody);
  for (size_t i = 0; i + 1 < body.size(); ++i) {
    CHECK(stream.Feed(body.substr(i, 1)) == State::kBody);
  }
  CHECK(stream.Feed(body.substr(body.size() - 1)) == State::kComplete);
}

TEST_CASE("every element of a request without end is refused in bounded memory",
          "[http_request_reader_test]") {
  // Guards against a caller that sends bytes until the process has no memory left.
  struct Case {
    std::string start;
    std::string endless;
    int status;
  };
  const Case c =
      GENERATE(Case{"", "X", 431}, Case{"GET /", "a", 431}, Case{kPost, "a", 431},
               Case{kPost + "a: ", "b", 431}, Case{kPost, "a: b\r\n", 431},
               Case{kChunked, "0", 400}, Case{kChunked + "1;", "x", 400},
               Case{kChunked, "1;x=y\r\na\r\n", 413}, Case{kChunked, "1\r\na\r\n", 413},
               Case{kChunked + "0\r\n", "t: v\r\n", 400}, Case{kChunked + "0\r\nt: ", "v", 400});
  INFO(c.start + " | " + c.endless);
  for (const size_t repeat : {size_t{1}, size_t{300}}) {
    Stream stream;
    std::string part;
    for (size_t i = 0; i < repeat; ++i) {
      part += c.endless;
    }
    const size_t most = stream.FeedWithoutEnd(c.start, part);
    CHECK(stream.reader.status() == c.status);
    CHECK(most <= 2000 + part.size());
    CHECK(stream.reader.memory_bytes() <= 5000 + 1000 * sizeof(HttpHeaders::value_type));
  }
}

TEST_CASE("a body over the limit is refused before it is stored", "[http_request_reader_test]") {
  Stream announced;
  CHECK(announced.Feed(kPost + "Content-Length: 5001\r\n\r\n") == State::kFailed);
  CHECK(announced.reader.status() == 413);
  Stream chunk;
  CHECK(chunk.Feed(kChunked + "1389\r\n") == State::kFailed);
  CHECK(chunk.reader.status() == 413);
  Stream allowed;
  CHECK(allowed.Feed(kPost + "Content-Length: 5000\r\n\r\n" + std::string(5000, 'x')) ==
        State::kComplete);
}

TEST_CASE("only a size line that is too long is refused, however the bytes are split",
          "[http_request_reader_test]") {
  const std::string allowed = "3;" + std::string(900, 'x') + "\r\nabc\r\n0\r\n\r\n";
  const std::string too_long = "3;" + std::string(1000, 'x') + "\r\nabc\r\n0\r\n\r\n";
  // The content of a chunk has no lines.
  const std::string content = "7d0\r\n" + std::string(2000, '0') + "\r\n0\r\n\r\n";
  for (const size_t part : {size_t{1}, size_t{7}, size_t{5000}}) {
    const auto last_state = [part](const std::string& body) {
      Stream stream;
      State state = stream.Feed(kChunked);
      for (size_t at = 0; at < body.size() && state == State::kBody; at += part) {
        state = stream.Feed(body.substr(at, part));
      }
      return state;
    };
    CHECK(last_state(allowed) == State::kComplete);
    CHECK(last_state(content) == State::kComplete);
    CHECK(last_state(too_long) == State::kFailed);
  }
}

TEST_CASE("an invalid chunk size is refused", "[http_request_reader_test]") {
  const std::string size =
      GENERATE(as<std::string>{}, "fffffffffffffffff", "1000000000000", "-1", "zz", "", " 1");
  INFO(size);
  Stream stream;
  CHECK(stream.Feed(kChunked + size + "\r\na\r\n0\r\n\r\n") == State::kFailed);
}

TEST_CASE("a body without chunks may hold lines of any length", "[http_request_reader_test]") {
  Stream stream;
  CHECK(stream.Feed(kPost + "Content-Length: 5000\r\n\r\n" + std::string(5000, 'f')) ==
        State::kComplete);
}

TEST_CASE("chunks of one byte take no more memory than their bytes", "[http_request_reader_test]") {
  // Guards against a body that keeps the memory blocks in which its chunks arrived.
  Stream stream;
  stream.Feed(kChunked);
  for (int i = 0; i < 4000; ++i) {
    stream.Feed("1\r\na\r\n");
  }
  CHECK(evbuffer_get_length(stream.reader.request().body.get()) == 4000);
  CHECK(evbuffer_peek(stream.reader.request().body.get(), -1, nullptr, nullptr, 0) <= 4);
}

TEST_CASE("ambiguous framing of a request is refused", "[http_request_reader_test]") {
  // Guards against two parties that see the end of a request at different bytes.
  for (const char* headers :
       {"Content-Length: 3\r\nContent-Length: 4\r\n\r\nabc", "Content-Length: +3\r\n\r\nabc",
        "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\nabc",
        "Transfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\nabc",
        "Content-Length : 3\r\n\r\nabc", "no colon\r\n\r\n"}) {
    INFO(headers);
    Stream stream;
    CHECK(stream.Feed(kPost + headers) == State::kFailed);
    CHECK(stream.reader.status() == 400);
  }
  Stream unknown;
  CHECK(unknown.Feed("FLY / HTTP/1.1\r\n\r\n") == State::kFailed);
  CHECK(unknown.reader.status() == 400);
}

TEST_CASE("the connection is kept as the request asks", "[http_request_reader_test]") {
  const auto keep_alive = [](const std::string& text) {
    Stream stream;
    REQUIRE(stream.Feed(text) == State::kComplete);
    return stream.reader.request().keep_alive;
  };
  CHECK(keep_alive("GET / HTTP/1.1\r\n\r\n"));
  CHECK_FALSE(keep_alive("GET / HTTP/1.1\r\nConnection: close\r\n\r\n"));
  CHECK_FALSE(keep_alive("GET / HTTP/1.0\r\n\r\n"));
  CHECK(keep_alive("GET / HTTP/1.0\r\nConnection: keep-alive\r\n\r\n"));
}

}  // namespace
}  // namespace jd
