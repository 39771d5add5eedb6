#pragma once

#include <optional>
#include <string>

#include "common/ids.h"
#include "common/units.h"

namespace jd {

/// The parts of a caller's request that routing decisions need; the event loop keeps the header and
/// the body.
struct CallRequest {
  CallId id;
  RequestId request_id;
  WorkspaceId workspace;  ///< Set on admission if the configuration identifies callers by keys.
  /// Key that the caller presents; absent if there is none, empty if it is malformed. Never logged.
  std::optional<std::string> caller_key;
  bool is_public = false;  ///< The route needs no key; set on admission.
  ServiceId service;       ///< Empty if the route table determines it from host and path.
  ProfileId profile;       ///< Set on admission.
  std::string host;
  std::string method;
  std::string path;
  /// Hash of method, path and body, to recognise a request that crashes upstreams.
  Fingerprint fingerprint;
  /// Value of the profile's request key header; empty if the header is absent.
  std::string request_key;
  /// How much longer the caller will wait for the answer, if the request states it.
  std::optional<Duration> timeout;
};

}  // namespace jd
