#include "gateway/caller_connection.h"

#include <algorithm>
#include <array>

namespace jd {
namespace {

constexpr std::array<std::string_view, 7> kMethods = {"GET",    "POST",    "HEAD", "PUT",
                                                      "DELETE", "OPTIONS", "PATCH"};

}  // namespace

void CallerConnection::ResetForNextRequest(MonoTime now) {
  state = CallerState::kIdle;
  state_since = now;
  consecutive_line_ends = 0;
  method.clear();
  method_known = false;
}

void CallerConnection::TrackMethodByte(char c) {
  if (c != ' ' && method.size() < 8) {
    method += c;
    return;
  }
  method_known = true;
  // evhttp answers other methods with status 501 without reading a body, and would then parse the
  // body as the next request.
  must_close = std::find(kMethods.begin(), kMethods.end(), method) == kMethods.end();
}

void CallerConnection::TrackBytes(std::string_view bytes, MonoTime now) {
  if (state == CallerState::kIdle && !bytes.empty()) {
    state = CallerState::kHeader;
    state_since = now;
  }
  for (size_t i = 0; i < bytes.size() && state == CallerState::kHeader; ++i) {
    if (!method_known) {
      TrackMethodByte(bytes[i]);
    }
    if (bytes[i] == '\n' && ++consecutive_line_ends == 2) {
      state = CallerState::kBody;
      state_since = now;
    } else if (bytes[i] != '\n' && bytes[i] != '\r') {
      consecutive_line_ends = 0;
    }
  }
}

}  // namespace jd
