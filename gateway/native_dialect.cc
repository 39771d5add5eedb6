#include <algorithm>

#include "gateway/caller_key.h"
#include "gateway/header_rules.h"
#include "gateway/http_dialect.h"
#include "gateway/retry_after.h"

namespace jd {
namespace {

// Calls have no request id with this prefix.
constexpr const char* kProbeIdPrefix = "probe-";

}  // namespace

std::string FormatTimeout(Duration timeout) {
  const int64_t millis = std::chrono::floor<std::chrono::milliseconds>(timeout).count();
  return std::to_string(std::max<int64_t>(millis, 1));
}

std::string NativeDialect::ParseCallHeaders(const HttpHeaders& headers, CallRequest* call) const {
  call->request_id = RequestId(HeaderValue(headers, "x-request-id"));
  call->workspace = WorkspaceId(HeaderValue(headers, "x-workspace"));
  call->caller_key = ParseCallerKey(headers);
  call->service = ServiceId(HeaderValue(headers, "x-service"));
  const std::string deadline = HeaderValue(headers, "x-deadline-ms");
  call->timeout = ParseDeadline(deadline);
  if (!deadline.empty() && !call->timeout) {
    return "x-deadline-ms is not a whole number of milliseconds up to one day.";
  }
  return {};
}

bool NativeDialect::ReplacesRequestHeader(std::string_view name) const {
  return EqualsIgnoreCase(name, "x-request-id") || EqualsIgnoreCase(name, "x-deadline-ms");
}

void NativeDialect::AddAttemptHeaders(const AttemptMetadata& attempt, HttpHeaders* headers) const {
  if (!attempt.request_id.empty()) {
    headers->emplace_back("x-request-id", attempt.request_id.value);
  }
  headers->emplace_back("x-deadline-ms", FormatTimeout(attempt.timeout));
}

HttpHeaders NativeDialect::ProbeHeaders(const ServiceId& service, uint64_t probe) const {
  // A server that hosts several services needs the service name. The request id lets the server's
  // log show which requests are probes.
  return {{"x-service", service.value}, {"x-request-id", kProbeIdPrefix + std::to_string(probe)}};
}

UpstreamReply NativeDialect::ParseReply(const RequestId& request_id,
                                        const HttpResponse& response) const {
  const HttpHeaders& headers = response.headers;
  UpstreamReply reply;
  if (AnswersOtherRequest(request_id, response)) {
    reply.outcome = AttemptOutcome::kInvalid;
    return reply;
  }
  // Without the id, a late second response could be taken for the response to the next request.
  reply.reusable = FindHeader(headers, "x-request-id") != nullptr;
  if (response.status == 503 && HeaderValue(headers, "x-refused") == "not-run") {
    reply.outcome = AttemptOutcome::kRefused;
    const RetryAfterHeader retry_after = ParseRetryAfter(headers);
    reply.statement.wants_nothing_for = retry_after.time;
    reply.statement.instance = InstanceId(HeaderValue(headers, "x-instance-id"));
    reply.unreadable_statement = retry_after.unreadable;
  }
  reply.report = ParseLoadReport(HeaderValue(headers, "x-load"),
                                 InstanceId(HeaderValue(headers, "x-instance-id")));
  return reply;
}

bool NativeDialect::AnswersOtherRequest(const RequestId& request_id,
                                        const HttpResponse& response) const {
  const std::string* echoed = FindHeader(response.headers, "x-request-id");
  // The id of a probe is not passed here.
  const bool names_probe = echoed != nullptr && echoed->starts_with(kProbeIdPrefix);
  return echoed != nullptr && (request_id.empty() ? !names_probe : *echoed != request_id.value);
}

bool NativeDialect::HidesResponseHeader(std::string_view name) const {
  // The caller must only receive the verdict of this gateway. An upstream might forward the verdict
  // of a call that it made itself; the caller would then retry a request that has run.
  return EqualsIgnoreCase(name, "x-verdict") || EqualsIgnoreCase(name, "x-refusal") ||
         EqualsIgnoreCase(name, "x-refused");
}

int NativeDialect::StatusOf(const Refusal& refusal) const {
  return RefusalStatus(refusal.reason, refusal.verdict);
}

void NativeDialect::AddRefusalHeaders(const Refusal& refusal, HttpHeaders* headers) const {
  const std::string verdict(VerdictName(refusal.verdict));
  const std::string reason(RefusalReasonName(refusal.reason));
  headers->emplace_back("x-verdict", verdict);
  headers->emplace_back("x-refusal", reason);
  if (refusal.retry_after > Duration(0)) {
    // The header is in whole seconds; rounding down would make callers retry too early.
    const auto seconds = std::chrono::ceil<std::chrono::seconds>(refusal.retry_after).count();
    headers->emplace_back("retry-after", std::to_string(seconds));
  }
}

}  // namespace jd
