#pragma once

#include <event2/http.h>

#include <optional>
#include <string>
#include <string_view>

#include "net/http_connection.h"
#include "policy/attempt_result.h"
#include "policy/call_request.h"
#include "policy/refusal.h"

namespace jd {

/// What an attempt tells the upstream besides the caller's request.
struct AttemptHeaders {
  RequestId request;  ///< Empty for a probe.
  Duration timeout{0};
  InstanceId instance;  ///< The only run of the upstream that may take it; empty: any.
};

/// What a response of an upstream means.
struct UpstreamReply {
  AttemptOutcome outcome = AttemptOutcome::kAnswered;
  std::optional<LoadReport> report;
  /// Time after which the upstream closes the connection if it stays idle, if it says so.
  std::optional<Duration> idle_timeout;
};

/// The headers and statuses by which callers, gateway and upstreams understand each other.
class HttpDialect {
 public:
  virtual ~HttpDialect() = default;

  /// Reads what a caller's headers say of its call.
  /// @return what is wrong with them, or an empty text.
  virtual std::string ReadCall(const evkeyvalq* headers, CallRequest* call) const = 0;
  /// Returns whether a caller's header is not passed on, because the gateway writes its own.
  virtual bool ReplacesHeader(std::string_view name) const = 0;
  /// Adds the gateway's own headers to an attempt.
  virtual void AddToAttempt(const AttemptHeaders& attempt, HttpHeaders* headers) const = 0;
  /// Returns the headers of a probe.
  virtual HttpHeaders ProbeHeaders(const ServiceId& service, uint64_t probe) const = 0;
  /// Reads an upstream's response.
  /// @param request the id under which the request was sent; empty for a probe.
  virtual UpstreamReply ReadReply(const RequestId& request, evhttp_request* response) const = 0;
  /// Returns whether a header of an upstream's response must not reach the caller.
  virtual bool HidesHeader(std::string_view name) const = 0;
  /// Returns the name of the header that carries the request's id.
  virtual const char* request_id_header() const = 0;
  /// Returns the status of a refusal.
  virtual int StatusOf(const Refusal& refusal) const = 0;
  /// Adds the headers of a refusal.
  virtual void AddRefusal(const Refusal& refusal, evkeyvalq* headers) const = 0;
  /// Returns the path at which the balancer asks whether the gateway is ready.
  virtual const char* ready_path() const = 0;
};

/// The product's own headers, see docs/design.md, section 4.
class NativeDialect : public HttpDialect {
 public:
  std::string ReadCall(const evkeyvalq* headers, CallRequest* call) const override;
  bool ReplacesHeader(std::string_view name) const override;
  void AddToAttempt(const AttemptHeaders& attempt, HttpHeaders* headers) const override;
  HttpHeaders ProbeHeaders(const ServiceId& service, uint64_t probe) const override;
  UpstreamReply ReadReply(const RequestId& request, evhttp_request* response) const override;
  bool HidesHeader(std::string_view name) const override;
  const char* request_id_header() const override { return "x-request-id"; }
  int StatusOf(const Refusal& refusal) const override;
  void AddRefusal(const Refusal& refusal, evkeyvalq* headers) const override;
  const char* ready_path() const override { return "/ready"; }
};

/// Returns a time limit in whole milliseconds for an upstream: rounded down, so that it stays
/// within the caller's, but never 0, which would say that it has passed.
std::string FormatTimeout(Duration timeout);

}  // namespace jd
