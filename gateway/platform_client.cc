#include "gateway/platform_client.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace jd {

void PlatformClient::Call(const TableRequest& request, Duration timeout, TableDone done) {
  http_.Send(ToPlatformQuery(request), timeout,
             [request, done = std::move(done)](int status, const std::string& body, bool written) {
               done(status == 0 ? LostTableReply(request, written)
                                : ReadTableReply(request, status, body));
             });
}

void PlatformClient::FetchVms(Duration timeout, VmListDone done) {
  http_.Send({EVHTTP_REQ_GET, "/vms", {}}, timeout,
             [done = std::move(done)](int status, const std::string& body, bool) {
               if (status != 200) {
                 return;
               }
               VmList vms;
               try {
                 vms = ReadVmList(body);
               } catch (const nlohmann::json::exception&) {
                 return;  // The node keeps the last valid list.
               }
               done(vms);
             });
}

}  // namespace jd
