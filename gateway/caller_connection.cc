#include "gateway/caller_connection.h"

#include <algorithm>
#include <array>

namespace jd {
namespace {

constexpr std::array<std::string_view, 7> kMethods = {"GET",    "POST",    "HEAD", "PUT",
                                                      "DELETE", "OPTIONS", "PATCH"};

}  // namespace

void CallerConnection::Reset(MonoTime now) {
  state = CallerState::kIdle;
  since = now;
  line_ends = 0;
  method.clear();
  method_known = false;
}

void CallerConnection::OnMethodByte(char c) {
  if (c != ' ' && method.size() < 8) {
    method += c;
    return;
  }
  method_known = true;
  // evhttp answers other methods with status 501 without reading a body, and would then parse the
  // body as the next request.
  broken = std::find(kMethods.begin(), kMethods.end(), method) == kMethods.end();
}

void CallerConnection::OnBytes(std::string_view bytes, MonoTime now) {
  if (state == CallerState::kIdle && !bytes.empty()) {
    state = CallerState::kHeader;
    since = now;
  }
  for (size_t i = 0; i < bytes.size() && state == CallerState::kHeader; ++i) {
    if (!method_known) {
      OnMethodByte(bytes[i]);
    }
    if (bytes[i] == '\n' && ++line_ends == 2) {
      state = CallerState::kBody;
      since = now;
    } else if (bytes[i] != '\n' && bytes[i] != '\r') {
      line_ends = 0;
    }
  }
}

}  // namespace jd
