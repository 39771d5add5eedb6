#include "gateway/platform_client.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace jd {

void PlatformClient::SendTableRequest(const TableRequest& request,
                                      Duration timeout,
                                      TableCallback done) {
  http_.Send(ToHttpCall(request), timeout,
             [request, done = std::move(done)](const HttpReply& reply) {
               done(reply.status == 0 ? FailedTableReply(request, reply.request_written)
                                      : ParseTableReply(request, reply.status, reply.body));
             });
}

void PlatformClient::FetchVms(Duration timeout, VmListCallback done) {
  http_.Send({EVHTTP_REQ_GET, "/vms", {}}, timeout,
             [done = std::move(done)](const HttpReply& reply) {
               if (reply.status != 200) {
                 return;
               }
               VmList vms;
               try {
                 vms = ParseVmList(reply.body);
               } catch (const nlohmann::json::exception&) {
                 return;  // The node keeps the last valid list.
               }
               done(vms);
             });
}

}  // namespace jd
