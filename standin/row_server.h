#pragma once

#include <event2/http.h>

#include <list>

#include "standin/row_store.h"
#include "standin/standin_loop.h"

namespace jd {

/// Fault that the server injects into requests to the row store.
enum class RowFault : uint8_t {
  kNone,
  kReset,       ///< Closes the connection without processing the request.
  kRefuse,      ///< Answers 503 without processing the request.
  kSlow,        ///< Processes and answers the request after a delay.
  kLoseAnswer,  ///< Processes the request, then closes the connection without an answer.
  kSilent,      ///< Keeps the request without processing or answering it.
};

/// Serves a RowStore over HTTP and injects faults.
class RowServer {
 public:
  explicit RowServer(event_base* base);

  RowStore& store() { return store_; }
  /// Sets the fault for new requests; `kSilent` also affects requests that already wait.
  /// @param delay delay of each answer with `kSlow`.
  void SetFault(RowFault fault, Duration delay) {
    fault_ = fault;
    slow_delay_ = delay;
  }
  /// Takes ownership of a request to the row store and answers it, at once or later.
  void Serve(evhttp_request* request);

 private:
  /// A request that waits for its reply.
  struct HeldRequest {
    evhttp_request* request = nullptr;
    RowRequest row_request;
    MonoTime arrived;
    MonoTime process_after;
    bool drop_reply = false;
  };

  /// Answers the held requests whose reply is due.
  void AnswerReadyRequests();
  void SendReply(const HeldRequest& call, const RowReply& reply) const;
  /// Names the era of the store in a reply.
  void AddEra(evhttp_request* request) const;

  RowStore store_;
  RowFault fault_ = RowFault::kNone;
  Duration slow_delay_{0};
  std::list<HeldRequest> held_requests_;
  StandinTimer timer_;
};

}  // namespace jd
