#pragma once

#include <cstdint>
#include <functional>
#include <string>

#include "common/table.h"
#include "common/vm_list.h"
#include "gateway/table_codec.h"
#include "net/http_client.h"

namespace jd {

/// HTTP client for the platform's table and VM list. It never retries a request, because a write
/// that was sent may have taken effect.
class PlatformClient {
 public:
  using TableCallback = std::function<void(const TableReply&)>;
  using VmListCallback = std::function<void(const VmList&)>;

  PlatformClient(EventLoop* loop, const std::string& address, uint16_t port)
      : http_(loop, address, port) {}

  /// Sends a table request. `done` is called exactly once, possibly before this function returns.
  void SendTableRequest(const TableRequest& request, Duration timeout, TableCallback done);
  /// Requests the VM list. `done` is not called if the request fails or the list is malformed.
  void FetchVms(Duration timeout, VmListCallback done);

 private:
  HttpClient http_;
};

}  // namespace jd
