#include "cluster/node_timeline.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace jd {
namespace {

using Json = nlohmann::json;

Json ToJson(const Event& event) {
  return {{"at", event.at.wall_micros},        {"counter", event.at.counter},
          {"kind", EventKindName(event.kind)}, {"gateway", event.gateway.value},
          {"request", event.request.value},    {"endpoint", event.endpoint.value},
          {"zone", event.zone.value},          {"detail", event.detail}};
}

bool Matches(const Json& event, const Json& filters) {
  for (const char* field : {"request", "endpoint", "zone", "kind"}) {
    const std::string wanted = filters.value(field, "");
    if (!wanted.empty() && event.at(field) != wanted) {
      return false;
    }
  }
  return true;
}

}  // namespace

void NodeTimeline::Add(Now now, Event event) {
  event.at = clock_.Tick(now.wall);
  event.gateway = self_;
  ring_.Add(std::move(event));
}

Json NodeTimeline::Query(const Json& filters) const {
  Json events = Json::array();
  for (const Event& event : ring_.events()) {
    Json one = ToJson(event);
    if (Matches(one, filters)) {
      events.push_back(std::move(one));
    }
  }
  return {{"events", std::move(events)}, {"dropped", ring_.dropped()}};
}

}  // namespace jd
