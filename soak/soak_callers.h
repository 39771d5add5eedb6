#pragma once

#include <event2/http.h>

#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <string>

#include "common/random.h"
#include "soak/promises.h"
#include "standin/standin_loop.h"

namespace jd {

/// Callers that each keep one connection to one gateway open and use it until it ends, whatever the
/// gateway says of its readiness.
class SoakCallers {
 public:
  SoakCallers(event_base* base, uint64_t seed, Promises* promises);
  SoakCallers(const SoakCallers&) = delete;
  SoakCallers& operator=(const SoakCallers&) = delete;

  void Add(const std::string& gateway, uint16_t port);
  /// From now on some requests go to the routes of this version and of the one before it.
  void SetVersion(uint64_t version) { version_ = version; }
  /// No caller sends anything more.
  void Stop() { stopped_ = true; }

 private:
  struct ConnectionDeleter {
    void operator()(evhttp_connection* connection) const { evhttp_connection_free(connection); }
  };
  struct Caller {
    SoakCallers* callers = nullptr;
    std::string gateway;
    std::unique_ptr<evhttp_connection, ConnectionDeleter> connection;
    std::string request;
    bool waits = false;
    MonoTime next;
  };

  void Advance();
  void Send(Caller* caller);
  static void OnReply(evhttp_request* reply, void* caller);

  event_base* base_;
  RandomEngine random_;
  Promises* promises_;
  std::list<Caller> callers_;
  uint64_t version_ = 0;
  uint64_t sent_ = 0;
  bool stopped_ = false;
  StandinTimer timer_;
};

}  // namespace jd
