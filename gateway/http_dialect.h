#pragma once

#include <event2/http.h>

#include <optional>
#include <string>
#include <string_view>

#include "common/upstream_statement.h"
#include "net/http_connection.h"
#include "policy/attempt_result.h"
#include "policy/call_request.h"
#include "policy/refusal.h"

namespace jd {

/// The values from which a dialect builds the gateway's own headers of an attempt or a probe.
struct AttemptMetadata {
  RequestId request_id;  ///< Empty for a probe.
  Duration timeout{0};
  /// The only instance of the upstream that may process the request; empty: any.
  InstanceId instance;
};

/// What an upstream's response carries: the outcome, a load report, the idle timeout and what the
/// upstream says of itself.
struct UpstreamReply {
  AttemptOutcome outcome = AttemptOutcome::kAnswered;
  std::optional<LoadReport> report;
  /// Time after which the upstream closes the connection if the connection stays idle; empty if the
  /// upstream does not announce it.
  std::optional<Duration> idle_timeout;
  /// Whether the response names a limit that is malformed, and its text for the log.
  bool limit_unreadable = false;
  std::string unreadable_limit = {};
  /// Whether the connection may carry another request.
  bool reusable = true;
  UpstreamStatement statement = {};
  /// The header, as name=value, of a statement that is malformed and ignored, for the log; empty if
  /// there is none.
  std::string unreadable_statement = {};
};

/// The HTTP headers and status codes that callers, the gateway and upstreams exchange. A deployment
/// uses either the product's own headers or those of an existing platform.
class HttpDialect {
 public:
  virtual ~HttpDialect() = default;

  /// Parses the headers of a caller's request and sets the fields of `call` that they specify.
  /// @return an error message for the caller, or an empty string if the headers are valid.
  virtual std::string ParseCallHeaders(const HttpHeaders& headers, CallRequest* call) const = 0;
  /// Returns whether a header of the caller's request is not forwarded, because the gateway sets
  /// that header itself.
  virtual bool ReplacesRequestHeader(std::string_view name) const = 0;
  /// Adds the gateway's own headers to the request of an attempt or a probe.
  virtual void AddAttemptHeaders(const AttemptMetadata& attempt, HttpHeaders* headers) const = 0;
  /// Returns the headers of a probe, without those that AddAttemptHeaders adds.
  virtual HttpHeaders ProbeHeaders(const ServiceId& service, uint64_t probe) const = 0;
  /// Interprets an upstream's response.
  /// @param request_id the request id that was sent to the upstream; empty for a probe.
  virtual UpstreamReply ParseReply(const RequestId& request_id,
                                   const HttpResponse& response) const = 0;
  /// Returns whether a response names another request than the one that was sent, and so is a late
  /// second response to that request.
  /// @param request_id as for ParseReply.
  virtual bool AnswersOtherRequest(const RequestId& request_id,
                                   const HttpResponse& response) const = 0;
  /// Returns whether a header of an upstream's response must not be forwarded to the caller.
  virtual bool HidesResponseHeader(std::string_view name) const = 0;
  /// Returns the name of the header that tells upstreams the workspace of a call.
  virtual const char* workspace_header() const = 0;
  /// Returns the name of the header that carries the request id.
  virtual const char* request_id_header() const = 0;
  /// Returns the HTTP status of a refusal.
  virtual int StatusOf(const Refusal& refusal) const = 0;
  /// Adds the headers that describe a refusal to the response to the caller.
  virtual void AddRefusalHeaders(const Refusal& refusal, HttpHeaders* headers) const = 0;
  /// Returns the path of the readiness check by the platform's balancer.
  virtual const char* ready_path() const = 0;
};

/// The product's own headers and status codes, see docs/design.md, section 4.
class NativeDialect : public HttpDialect {
 public:
  std::string ParseCallHeaders(const HttpHeaders& headers, CallRequest* call) const override;
  bool ReplacesRequestHeader(std::string_view name) const override;
  void AddAttemptHeaders(const AttemptMetadata& attempt, HttpHeaders* headers) const override;
  HttpHeaders ProbeHeaders(const ServiceId& service, uint64_t probe) const override;
  UpstreamReply ParseReply(const RequestId& request_id,
                           const HttpResponse& response) const override;
  bool AnswersOtherRequest(const RequestId& request_id,
                           const HttpResponse& response) const override;
  bool HidesResponseHeader(std::string_view name) const override;
  const char* workspace_header() const override { return "x-workspace"; }
  const char* request_id_header() const override { return "x-request-id"; }
  int StatusOf(const Refusal& refusal) const override;
  void AddRefusalHeaders(const Refusal& refusal, HttpHeaders* headers) const override;
  const char* ready_path() const override { return "/ready"; }
};

/// Formats a time limit for an upstream in whole milliseconds. The value is rounded down, so that
/// it does not exceed the caller's limit, but is at least 1, because 0 would mean that the limit
/// has passed.
std::string FormatTimeout(Duration timeout);

}  // namespace jd
