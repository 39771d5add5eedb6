#pragma once

#include <cstdint>
#include <functional>
#include <string>

#include "common/table.h"
#include "common/vm_list.h"
#include "gateway/table_codec.h"
#include "net/http_client.h"

namespace jd {

/// Asks the platform's table and VM list over HTTP. No request is ever sent twice.
class PlatformClient {
 public:
  using TableDone = std::function<void(const TableReply&)>;
  using VmListDone = std::function<void(const VmList&)>;

  PlatformClient(EventLoop* loop, const std::string& address, uint16_t port)
      : http_(loop, address, port) {}

  /// Carries out a table request; `done` is called once, perhaps before this returns.
  void Call(const TableRequest& request, Duration timeout, TableDone done);
  /// Reads the VM list; `done` is not called if that fails.
  void FetchVms(Duration timeout, VmListDone done);

 private:
  HttpClient http_;
};

}  // namespace jd
