#include "gateway/caller_response.h"

#include <boost/beast/http/status.hpp>

#include <algorithm>
#include <array>
#include <ctime>
#include <numeric>
#include <string>

namespace jd {
namespace {

constexpr int kNoContent = 204;
constexpr int kNotModified = 304;
constexpr int kUnprocessableContent = 422;

// Returns whether the response to a request has a body, which may be empty.
bool HasBody(const HttpRequest& request, int status) {
  return request.method != EVHTTP_REQ_HEAD && status != kNoContent && status != kNotModified;
}

std::string ReasonPhrase(int status) {
  if (status == kUnprocessableContent) {
    return "Unprocessable Content";
  }
  const auto phrase = boost::beast::http::obsolete_reason(
      boost::beast::http::int_to_status(static_cast<unsigned>(status)));
  return {phrase.data(), phrase.size()};
}

std::string FormatDate(WallTime now) {
  const std::time_t seconds =
      std::chrono::duration_cast<std::chrono::seconds>(now.time_since_epoch()).count();
  std::tm parts{};
  gmtime_r(&seconds, &parts);
  std::array<char, 40> text{};
  const size_t size = std::strftime(text.data(), text.size(), "%a, %d %b %Y %H:%M:%S GMT", &parts);
  return {text.data(), size};
}

void AppendHeader(const std::string& name, const std::string& value, std::string* head) {
  *head += name + ": " + value + "\r\n";
}

std::string FormatHead(const HttpRequest& request,
                       const HttpResponse& response,
                       bool closes,
                       WallTime now) {
  std::string head =
      "HTTP/1.1 " + std::to_string(response.status) + " " + ReasonPhrase(response.status) + "\r\n";
  for (const auto& [name, value] : response.headers) {
    AppendHeader(name, OneLine(value), &head);
  }
  if (FindHeader(response.headers, "Date") == nullptr) {
    AppendHeader("Date", FormatDate(now), &head);
  }
  if (HasBody(request, response.status)) {
    AppendHeader("Content-Length", std::to_string(evbuffer_get_length(response.body.get())), &head);
  }
  if (closes) {
    AppendHeader("Connection", "close", &head);
  } else if (request.is_http_1_0) {
    AppendHeader("Connection", "keep-alive", &head);
  }
  return head + "\r\n";
}

}  // namespace

void WriteResponse(evbuffer* out,
                   const HttpRequest& request,
                   const HttpResponse& response,
                   bool closes,
                   WallTime now) {
  const std::string head = FormatHead(request, response, closes, now);
  // Head and body are added in one step, so that they leave in one segment if they fit.
  const BufferPtr whole(evbuffer_new());
  evbuffer_add(whole.get(), head.data(), head.size());
  if (HasBody(request, response.status)) {
    evbuffer_add_buffer(whole.get(), response.body.get());
  }
  evbuffer_add_buffer(out, whole.get());
}

void SetJsonBody(HttpResponse* response, const nlohmann::json& value) {
  const std::string text =
      value.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + "\n";
  response->headers.emplace_back("Content-Type", "application/json");
  evbuffer_add(response->body.get(), text.data(), text.size());
}

size_t MemoryBytes(const HttpResponse& response) {
  return std::accumulate(response.headers.begin(), response.headers.end(),
                         evbuffer_get_length(response.body.get()),
                         [](size_t sum, const auto& header) {
                           return sum + sizeof(header) + header.first.size() + header.second.size();
                         });
}

}  // namespace jd
