#include "net/http_response_reader.h"

#include <catch2/catch.hpp>

#include <string>

namespace jd {
namespace {

using State = HttpResponseReader::State;

// A reader and the input that it has not consumed yet.
struct Stream {
  explicit Stream(bool head_request = false) : reader(Limits(), head_request) {}
  static HttpResponseLimits Limits() { return {1000, 5000}; }

  State Feed(const std::string& text) {
    evbuffer_add(input.get(), text.data(), text.size());
    return reader.Read(input.get());
  }
  // Repeats `text` until the reader fails or 1 MB was fed. Returns the most bytes left unconsumed.
  size_t FeedWithoutEnd(const std::string& start, const std::string& text) {
    Feed(start);
    size_t most = 0;
    for (size_t fed = 0; fed < (1 << 20) && reader.error().empty(); fed += text.size()) {
      Feed(text);
      most = std::max(most, evbuffer_get_length(input.get()));
    }
    return most;
  }
  std::string Body() {
    const HttpResponsePtr response = reader.TakeResponse();
    std::string body(evbuffer_get_length(response->body.get()), '\0');
    evbuffer_copyout(response->body.get(), body.data(), body.size());
    return body;
  }

  BufferPtr input = BufferPtr(evbuffer_new());
  HttpResponseReader reader;
};

const std::string kHead = "HTTP/1.1 200 OK\r\n";
const std::string kChunked = kHead + "Transfer-Encoding: chunked\r\n\r\n";

TEST_CASE("a response is complete at the same byte however it is split",
          "[http_response_reader_test]") {
  const std::string response =
      GENERATE(kHead + "Content-Length: 3\r\n\r\nabc",
               kChunked + "2\r\nab\r\n1;x=y\r\nc\r\n0\r\nt: v\r\n\r\n",
               "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nlink: x\r\n\r\n" + kHead +
                   "Content-Length: 3\r\n\r\nabc");
  for (size_t split = 1; split < response.size(); ++split) {
    Stream stream;
    CHECK(stream.Feed(response.substr(0, split)) == State::kIncomplete);
    CHECK(stream.Feed(response.substr(split) + "next") == State::kComplete);
    CHECK(evbuffer_get_length(stream.input.get()) == 4);
    CHECK(stream.reader.keep_alive());
    CHECK(stream.Body() == "abc");
  }
}

TEST_CASE("the end of a chunked response may arrive one byte at a time",
          "[http_response_reader_test]") {
  // Guards against the parser's assertion on a few bytes of the last chunk, which ends the process.
  const std::string body =
      GENERATE(as<std::string>{}, "0\r\n\r\n", "1\r\na\r\n0\r\n\r\n", "0\r\nt: v\r\n\r\n");
  Stream stream;
  CHECK(stream.Feed(kChunked) == State::kIncomplete);
  for (size_t i = 0; i + 1 < body.size(); ++i) {
    CHECK(stream.Feed(body.substr(i, 1)) == State::kIncomplete);
  }
  CHECK(stream.Feed(body.substr(body.size() - 1)) == State::kComplete);
}

TEST_CASE("every element without end is refused in bounded memory", "[http_response_reader_test]") {
  // Guards against a server that sends bytes until the caller closes.
  struct Case {
    std::string start;
    std::string endless;
  };
  const Case c = GENERATE(
      Case{"", "x"}, Case{"HTTP/1.1 200 ", "O"}, Case{kHead, "a"}, Case{kHead + "a: ", "b"},
      Case{kHead, "a: b\r\n"}, Case{"", "HTTP/1.1 100 Continue\r\n\r\n"},
      Case{"", "HTTP/1.1 103 Early Hints\r\nlink: x\r\n\r\n"}, Case{kChunked, "0"},
      Case{kChunked + "1;", "x"}, Case{kChunked, "1;x=y\r\na\r\n"},
      Case{kChunked + "0\r\n", "t: v\r\n"}, Case{kChunked + "0\r\nt: ", "v"},
      Case{kHead + "Connection: close\r\n\r\n", "body"});
  INFO(c.start + " | " + c.endless);
  for (const size_t repeat : {size_t{1}, size_t{300}}) {
    Stream stream;
    std::string part;
    for (size_t i = 0; i < repeat; ++i) {
      part += c.endless;
    }
    const size_t most = stream.FeedWithoutEnd(c.start, part);
    CHECK_FALSE(stream.reader.error().empty());
    CHECK(most <= 2000 + part.size());
  }
}

TEST_CASE("a response that breaks off is never complete", "[http_response_reader_test]") {
  // Guards against a partial response that is relayed as a complete one.
  const std::string response =
      GENERATE(as<std::string>{}, "", "HTTP/1.1 200", kHead, kHead + "Content-Length: 3\r\n\r\n",
               kHead + "Content-Length: 3\r\n\r\nab", kChunked, kChunked + "2\r\nab\r\n",
               kChunked + "0\r\n", kChunked + "2\r\na", "HTTP/1.1 100 Continue\r\n\r\n");
  Stream stream;
  CHECK(stream.Feed(response) == State::kIncomplete);
  CHECK(stream.reader.OnEndOfStream() == State::kFailed);
}

TEST_CASE("a response whose head is cut at any byte is never complete",
          "[http_response_reader_test]") {
  // Guards against a cut head that is taken for a whole response without a body. The heads without
  // a length are the ones to which the end of the stream is a proper end of the body.
  const std::string head =
      GENERATE(as<std::string>{}, kHead + "\r\n", kHead + "a: b\r\nConnection: close\r\n\r\n",
               kHead + "a: b\r\nContent-Length: 0\r\n\r\n", kHead + "a:\r\n b\r\n\r\n",
               "HTTP/1.0 200 OK\r\na: b\r\n\r\n", "HTTP/1.1 204 No Content\r\n\r\n",
               "HTTP/1.1 100 Continue\r\n\r\n" + kHead + "a: b\r\n\r\n");
  const bool head_request = GENERATE(false, true);
  const size_t piece = GENERATE(size_t{1}, size_t{1000});
  for (size_t cut = 0; cut < head.size(); ++cut) {
    INFO(cut << " bytes of " << head);
    Stream stream(head_request);
    for (size_t at = 0; at < cut; at += piece) {
      CHECK(stream.Feed(head.substr(at, std::min(piece, cut - at))) == State::kIncomplete);
    }
    CHECK(stream.reader.OnEndOfStream() == State::kFailed);
  }
}

TEST_CASE("a response without a length ends with the stream", "[http_response_reader_test]") {
  Stream stream;
  CHECK(stream.Feed(kHead + "\r\nabc") == State::kIncomplete);
  CHECK(stream.reader.OnEndOfStream() == State::kComplete);
  CHECK_FALSE(stream.reader.keep_alive());
  CHECK(stream.Body() == "abc");
}

TEST_CASE("ambiguous framing is refused", "[http_response_reader_test]") {
  // Guards against two parties that see the end of a response at different bytes.
  for (const char* headers :
       {"Content-Length: 3\r\nContent-Length: 4\r\n\r\nabc", "Content-Length: +3\r\n\r\nabc",
        "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\nabc",
        "Transfer-Encoding: gzip\r\n\r\nabc", "Content-Length : 3\r\n\r\nabc"}) {
    INFO(headers);
    Stream stream;
    CHECK(stream.Feed(kHead + headers) == State::kFailed);
  }
  Stream switching;
  CHECK(switching.Feed("HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n") == State::kFailed);
}

TEST_CASE("a status out of 100 to 599 is no response", "[http_response_reader_test]") {
  // Guards against a status that is taken for an interim response, after which the call waits for
  // its deadline, and against one that is relayed to the caller.
  const std::string status =
      GENERATE(as<std::string>{}, "000", "099", "600", "999", "0", "20", "2000");
  INFO(status);
  Stream stream;
  CHECK(stream.Feed("HTTP/1.1 " + status + " OK\r\nContent-Length: 0\r\n\r\n") == State::kFailed);
  CHECK_FALSE(stream.reader.error().empty());
  Stream last_valid;
  CHECK(last_valid.Feed("HTTP/1.1 599 OK\r\nContent-Length: 0\r\n\r\n") == State::kComplete);
}

TEST_CASE("responses that have no body are complete after their headers",
          "[http_response_reader_test]") {
  Stream head(true);
  CHECK(head.Feed(kHead + "Content-Length: 3\r\n\r\n") == State::kComplete);
  CHECK(head.Body().empty());
  Stream not_modified;
  CHECK(not_modified.Feed("HTTP/1.1 304 Not Modified\r\n\r\n") == State::kComplete);
}

}  // namespace
}  // namespace jd
