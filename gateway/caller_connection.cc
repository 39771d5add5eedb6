#include "gateway/caller_connection.h"

namespace jd {

void CallerConnection::OnBytes(std::string_view bytes, MonoTime now) {
  if (state == CallerState::kIdle) {
    state = CallerState::kHeader;
    since = now;
    line_ends = 0;
  }
  for (size_t i = 0; i < bytes.size() && state == CallerState::kHeader; ++i) {
    if (bytes[i] == '\n' && ++line_ends == 2) {
      state = CallerState::kBody;
      since = now;
    } else if (bytes[i] != '\n' && bytes[i] != '\r') {
      line_ends = 0;
    }
  }
}

}  // namespace jd
