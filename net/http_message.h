#pragma once

#include <event2/buffer.h>
#include <event2/http.h>

#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "net/libevent_ptr.h"

namespace jd {

using BufferPtr = LibeventPtr<evbuffer>;
using HttpHeaders = std::vector<std::pair<std::string, std::string>>;

/// A complete HTTP response.
struct HttpResponse {
  int status = 0;
  HttpHeaders headers;
  BufferPtr body = BufferPtr(evbuffer_new());  ///< Decoded; empty if the response has no body.
};

using HttpResponsePtr = std::unique_ptr<HttpResponse>;

/// Returns whether two header names are equal; their case does not matter.
bool EqualsIgnoreCase(std::string_view a, std::string_view b);

/// Returns the value of the first header with the name, or null if the header is absent.
const std::string* FindHeader(const HttpHeaders& headers, std::string_view name);

/// Returns the value of a header, or an empty string if the header is absent.
std::string HeaderValue(const HttpHeaders& headers, std::string_view name);

/// Returns the value of a header on one line. A line end would end the header early.
std::string OneLine(std::string value);

/// Returns the name of a method, for example "GET".
std::string MethodName(evhttp_cmd_type method);

}  // namespace jd
