#include "net/http_message.h"

#include <strings.h>

#include <algorithm>

namespace jd {

bool EqualsIgnoreCase(std::string_view a, std::string_view b) {
  return a.size() == b.size() && strncasecmp(a.data(), b.data(), a.size()) == 0;
}

const std::string* FindHeader(const HttpHeaders& headers, std::string_view name) {
  const auto found = std::find_if(headers.begin(), headers.end(), [name](const auto& header) {
    return EqualsIgnoreCase(header.first, name);
  });
  return found == headers.end() ? nullptr : &found->second;
}

std::string HeaderValue(const HttpHeaders& headers, std::string_view name) {
  const std::string* value = FindHeader(headers, name);
  return value == nullptr ? std::string() : *value;
}

std::string OneLine(std::string value) {
  std::replace_if(
      value.begin(), value.end(), [](char c) { return c == '\r' || c == '\n'; }, ' ');
  return value;
}

std::string MethodName(evhttp_cmd_type method) {
  switch (method) {
    case EVHTTP_REQ_GET:
      return "GET";
    case EVHTTP_REQ_POST:
      return "POST";
    case EVHTTP_REQ_HEAD:
      return "HEAD";
    case EVHTTP_REQ_PUT:
      return "PUT";
    case EVHTTP_REQ_DELETE:
      return "DELETE";
    case EVHTTP_REQ_OPTIONS:
      return "OPTIONS";
    case EVHTTP_REQ_TRACE:
      return "TRACE";
    case EVHTTP_REQ_CONNECT:
      return "CONNECT";
    case EVHTTP_REQ_PATCH:
      return "PATCH";
  }
  return "UNKNOWN";
}

}  // namespace jd
