#pragma once

#include <event2/http.h>

#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <string>

#include "common/random.h"
#include "soak/guarantee_checker.h"
#include "standin/standin_loop.h"

namespace jd {

/// Simulated callers. Each uses one connection to one gateway until the connection ends, even if
/// the gateway reports that it is not ready.
class SoakCallers {
 public:
  SoakCallers(event_base* base, uint64_t seed, GuaranteeChecker* checker);
  SoakCallers(const SoakCallers&) = delete;
  SoakCallers& operator=(const SoakCallers&) = delete;

  /// Adds a caller of a gateway that listens on a loopback port.
  void AddCaller(const std::string& gateway, uint16_t port);
  /// From now on some requests use routes that exist only in this configuration version or only in
  /// the one before it.
  void SetConfigurationVersion(uint64_t version) { configuration_version_ = version; }
  /// Sends no further requests; outstanding answers are still received.
  void StopSending() { stopped_ = true; }

 private:
  struct ConnectionDeleter {
    void operator()(evhttp_connection* connection) const { evhttp_connection_free(connection); }
  };
  struct Caller {
    SoakCallers* callers = nullptr;
    std::string gateway;
    std::unique_ptr<evhttp_connection, ConnectionDeleter> connection;
    std::string request_id;        ///< Id of the latest request.
    bool awaiting_answer = false;  ///< The latest request has no answer yet.
    MonoTime next_send;            ///< When to send the next request.
  };

  /// Timer callback: sends the due requests.
  void SendDueRequests();
  void SendRequest(Caller* caller);
  static void OnReply(evhttp_request* reply, void* caller);

  event_base* base_;
  RandomEngine random_;
  GuaranteeChecker* checker_;
  std::list<Caller> callers_;
  uint64_t configuration_version_ = 0;  ///< Latest configuration version.
  uint64_t sent_ = 0;                   ///< Number of sent requests; the next id follows from it.
  bool stopped_ = false;
  StandinTimer timer_;
};

}  // namespace jd
