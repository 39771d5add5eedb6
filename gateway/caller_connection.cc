#include "gateway/caller_connection.h"

#include <algorithm>
#include <array>

#include "net/http_message.h"

namespace jd {
namespace {

constexpr std::array<std::string_view, 7> kMethods = {"GET",    "POST",    "HEAD", "PUT",
                                                      "DELETE", "OPTIONS", "PATCH"};

constexpr std::string_view kTransferEncoding = "transfer-encoding:";

}  // namespace

void CallerConnection::ResetForNextRequest(MonoTime now) {
  state = CallerState::kIdle;
  state_since = now;
  consecutive_line_ends = 0;
  method.clear();
  method_known = false;
  header_line_.clear();
  chunked_ = false;
  chunk_size_guard_ = ChunkSizeGuard();
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

void CallerConnection::TrackHeaderByte(char c) {
  if (c == '\n') {
    // Any mention of the coding counts; a request with another coding than chunked is rejected.
    chunked_ = chunked_ || EqualsIgnoreCase(header_line_, kTransferEncoding);
    header_line_.clear();
  } else if (header_line_.size() < kTransferEncoding.size()) {
    header_line_ += c;
  }
}

void CallerConnection::TrackBytes(std::string_view bytes,
                                  MonoTime now,
                                  size_t max_chunk_line_bytes) {
  if (state == CallerState::kIdle && !bytes.empty()) {
    state = CallerState::kHeader;
    used = true;
    state_since = now;
  }
  size_t i = 0;
  for (; i < bytes.size() && state == CallerState::kHeader; ++i) {
    if (!method_known) {
      TrackMethodByte(bytes[i]);
    }
    TrackHeaderByte(bytes[i]);
    if (bytes[i] == '\n' && ++consecutive_line_ends == 2) {
      state = CallerState::kBody;
      state_since = now;
      if (chunked_) {
        chunk_size_guard_.Start(max_chunk_line_bytes);
      }
    } else if (bytes[i] != '\n' && bytes[i] != '\r') {
      consecutive_line_ends = 0;
    }
  }
  if (state == CallerState::kBody && !chunk_size_guard_.Track(bytes.substr(i))) {
    must_close = true;
  }
}

}  // namespace jd
