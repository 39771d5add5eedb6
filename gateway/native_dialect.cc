#include <algorithm>

#include "gateway/header_rules.h"
#include "gateway/http_dialect.h"

namespace jd {

std::string FormatTimeout(Duration timeout) {
  const int64_t millis = std::chrono::floor<std::chrono::milliseconds>(timeout).count();
  return std::to_string(std::max<int64_t>(millis, 1));
}

std::string NativeDialect::ReadCall(const evkeyvalq* headers, CallRequest* call) const {
  call->request = RequestId(HeaderValue(headers, "x-request-id"));
  call->workspace = WorkspaceId(HeaderValue(headers, "x-workspace"));
  call->service = ServiceId(HeaderValue(headers, "x-service"));
  const std::string deadline = HeaderValue(headers, "x-deadline-ms");
  call->timeout = ParseDeadline(deadline);
  if (!deadline.empty() && !call->timeout) {
    return "x-deadline-ms is not a whole number of milliseconds up to one day.";
  }
  return {};
}

bool NativeDialect::ReplacesHeader(std::string_view name) const {
  return SameHeader(name, "x-request-id") || SameHeader(name, "x-deadline-ms");
}

void NativeDialect::AddToAttempt(const AttemptHeaders& attempt, HttpHeaders* headers) const {
  if (!attempt.request.empty()) {
    headers->emplace_back("x-request-id", attempt.request.value);
  }
  headers->emplace_back("x-deadline-ms", FormatTimeout(attempt.timeout));
}

HttpHeaders NativeDialect::ProbeHeaders(const ServiceId& service, uint64_t probe) const {
  // A server of several services needs the name, and its log shows which requests are probes.
  return {{"x-service", service.value}, {"x-request-id", "probe-" + std::to_string(probe)}};
}

UpstreamReply NativeDialect::ReadReply(const RequestId&, evhttp_request* response) const {
  const evkeyvalq* headers = evhttp_request_get_input_headers(response);
  UpstreamReply reply;
  if (evhttp_request_get_response_code(response) == 503 &&
      HeaderValue(headers, "x-refused") == "not-run") {
    reply.outcome = AttemptOutcome::kRefused;
  }
  reply.report = ParseLoadReport(HeaderValue(headers, "x-load"),
                                 InstanceId(HeaderValue(headers, "x-instance-id")));
  return reply;
}

bool NativeDialect::HidesHeader(std::string_view name) const {
  // Only this gateway's own verdict may reach its caller: an upstream that relays the verdict of a
  // call of its own would have a request repeated that has run.
  return SameHeader(name, "x-verdict") || SameHeader(name, "x-refusal") ||
         SameHeader(name, "x-refused");
}

int NativeDialect::StatusOf(const Refusal& refusal) const {
  return RefusalStatus(refusal.reason, refusal.verdict);
}

void NativeDialect::AddRefusal(const Refusal& refusal, evkeyvalq* headers) const {
  const std::string verdict(VerdictName(refusal.verdict));
  const std::string reason(RefusalReasonName(refusal.reason));
  evhttp_add_header(headers, "x-verdict", verdict.c_str());
  evhttp_add_header(headers, "x-refusal", reason.c_str());
  if (refusal.retry_after > Duration(0)) {
    // The header has whole seconds; rounding down would invite callers back too early.
    const auto seconds = std::chrono::ceil<std::chrono::seconds>(refusal.retry_after).count();
    evhttp_add_header(headers, "retry-after", std::to_string(seconds).c_str());
  }
}

}  // namespace jd
