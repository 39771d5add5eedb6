#pragma once

#include <event2/http.h>

#include <list>

#include "standin/row_store.h"
#include "standin/standin_loop.h"

namespace jd {

/// What the row store does to the calls that reach it.
enum class RowFault : uint8_t {
  kNone,
  kReset,       ///< The connection ends without an answer, and nothing is done.
  kRefuse,      ///< 503, and nothing is done.
  kSlow,        ///< Each call is done and answered late.
  kLoseAnswer,  ///< Each call is done and its connection ends without an answer.
  kSilent,      ///< Nothing is done or answered.
};

/// Serves a RowStore over HTTP, with faults.
class RowServer {
 public:
  explicit RowServer(event_base* base);

  RowStore& store() { return store_; }
  void SetFault(RowFault fault, Duration delay) {
    fault_ = fault;
    delay_ = delay;
  }
  /// Takes over a request to one of the store's calls.
  void Serve(evhttp_request* request);

 private:
  struct Waiting {
    evhttp_request* request = nullptr;
    RowQuery query;
    MonoTime arrived;
    MonoTime not_before;
    bool lose = false;
  };

  void Advance();
  static void Finish(const Waiting& call, const RowReply& reply);

  RowStore store_;
  RowFault fault_ = RowFault::kNone;
  Duration delay_{0};
  std::list<Waiting> waiting_;
  StandinTimer timer_;
};

}  // namespace jd
