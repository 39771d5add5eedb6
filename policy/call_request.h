#pragma once

#include <optional>
#include <string>

#include "common/ids.h"
#include "common/units.h"

namespace jd {

/// A caller's request as far as decisions need it; header and body bytes stay with the event loop.
struct CallRequest {
  CallId id;
  RequestId request;
  WorkspaceId workspace;
  ServiceId service;  ///< Empty if it follows from host and path.
  ProfileId profile;  ///< Set on admission.
  std::string host;
  std::string method;
  std::string path;
  /// Hash of method, path and body, for recognising a request that crashes upstreams.
  Fingerprint fingerprint;
  /// Value of the profile's request key header, empty if absent.
  std::string request_key;
  /// Time the caller still waits, if it said so.
  std::optional<Duration> timeout;
};

}  // namespace jd
