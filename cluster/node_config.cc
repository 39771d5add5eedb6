#include "cluster/node_config.h"

#include <algorithm>

namespace jd {
namespace {

// Timeout of writing a zone decision to the table after a store outage. The write is repeated until
// the decision is settled.
constexpr Duration kZoneWriteTimeout = 5s;

}  // namespace

NodeConfig::NodeConfig(const NodeSettings& settings, TableRouter* router)
    : self_(settings.id),
      has_platform_(settings.has_platform),
      router_(router),
      keeper_(settings.seed),
      zones_(settings.zone),
      maintenance_(settings.id),
      random_(settings.seed ^ settings.incarnation.value) {}

void NodeConfig::Start(Now now,
                       ConfigurationPtr initial,
                       const std::vector<GatewayId>& peers,
                       Output* output) {
  if (!has_platform_) {
    if (initial != nullptr) {
      SetExternalConfiguration(now, std::move(initial), output);
    }
    return;
  }
  ConfigOutput out;
  keeper_.Start(now.mono, peers, &out);
  ApplyKeeperOutput(now, std::move(out), output);
}

void NodeConfig::SetExternalConfiguration(Now now, ConfigurationPtr configuration, Output* output) {
  external_configuration_ = std::move(configuration);
  output->configuration_changed = true;
  ZoneOutput zones;
  zones_.OnConfiguration(now.mono, *external_configuration_, &zones);
  ApplyZoneOutput(now, zones, output);
}

void NodeConfig::ApplyKeeperOutput(Now now, ConfigOutput from, Output* output) {
  router_->Send(TableClient::kKeeper, 0, std::move(from.calls), output->actions);
  for (auto& [to, entries] : from.answers) {
    output->messages.push_back({to, std::move(entries)});
  }
  for (auto& [to, fetch] : from.fetches) {
    output->messages.push_back({to, fetch});
  }
  for (ConfigEntries& push : from.pushes) {
    output->messages.push_back({std::nullopt, std::move(push)});
  }
  zones_.OnStoreStatus(now.mono, keeper_.store_up());
  if (from.changed) {
    output->configuration_changed = true;
    ZoneOutput zones;
    zones_.OnConfiguration(now.mono, *keeper_.configuration(), &zones);
    ApplyZoneOutput(now, zones, output);
  }
}

void NodeConfig::ApplyZoneOutput(Now now, const ZoneOutput& from, Output* output) {
  output->zones_changed = output->zones_changed || !from.changed.empty();
  for (const UnrecordedZone& decision : from.broadcast) {
    output->messages.push_back({std::nullopt, decision});
  }
  for (const UnrecordedZone& decision : from.record) {
    WriteZoneDecision(now, decision, output);
  }
}

void NodeConfig::WriteZoneDecision(Now now, const UnrecordedZone& decision, Output* output) {
  if (zone_writes_.contains(decision.zone)) {
    return;
  }
  WriteRequest request;
  request.change = Zone{decision.zone, ZoneState::kOut};
  request.base = decision.base;
  request.author = decision.author;
  zone_writes_[decision.zone] = StartWrite(now, std::move(request), kZoneWriteTimeout, output);
}

void NodeConfig::OnTimer(Now now, Output* output) {
  if (has_platform_) {
    ConfigOutput out;
    keeper_.OnTimer(now.mono, &out);
    ApplyKeeperOutput(now, std::move(out), output);
    TableCalls calls;
    maintenance_.OnTimer(now, &calls);
    router_->Send(TableClient::kMaintenance, 0, std::move(calls), output->actions);
    std::vector<uint64_t> operations;
    for (const auto& [operation, writer] : writers_) {
      operations.push_back(operation);
    }
    for (const uint64_t operation : operations) {
      TableCalls writes;
      writers_.at(operation)->OnTimer(now, &writes);
      router_->Send(TableClient::kWriter, operation, std::move(writes), output->actions);
      FinishWriter(now, operation, output);
    }
  }
  ZoneOutput zones;
  zones_.OnTimer(now.mono, &zones);
  ApplyZoneOutput(now, zones, output);
}

void NodeConfig::OnTableReply(Now now,
                              const TableRouter::Origin& origin,
                              const TableReply& reply,
                              Output* output) {
  if (origin.client == TableClient::kKeeper) {
    ConfigOutput out;
    keeper_.OnTableReply(now.mono, origin.token, reply, &out);
    ApplyKeeperOutput(now, std::move(out), output);
    return;
  }
  TableCalls calls;
  if (origin.client == TableClient::kMaintenance) {
    maintenance_.OnTableReply(now, origin.token, reply, &calls);
    router_->Send(TableClient::kMaintenance, 0, std::move(calls), output->actions);
    return;
  }
  const auto writer = writers_.find(origin.instance);
  if (writer == writers_.end()) {
    return;
  }
  writer->second->OnTableReply(now, origin.token, reply, &calls);
  router_->Send(TableClient::kWriter, origin.instance, std::move(calls), output->actions);
  FinishWriter(now, origin.instance, output);
}

void NodeConfig::FinishWriter(Now now, uint64_t operation, Output* output) {
  const auto writer = writers_.find(operation);
  if (writer == writers_.end() || !writer->second->done()) {
    return;
  }
  WriteResult result = writer->second->result();
  writers_.erase(writer);
  std::erase_if(zone_writes_, [operation](const auto& item) { return item.second == operation; });
  if (result.entry) {
    ConfigOutput out;
    keeper_.OnEntryRecorded(now.mono, *result.entry, &out);
    ApplyKeeperOutput(now, std::move(out), output);
  }
  output->finished_writes.emplace_back(operation, std::move(result));
}

uint64_t NodeConfig::StartWrite(Now now, WriteRequest request, Duration timeout, Output* output) {
  const uint64_t operation = next_operation_++;
  request.nonce = self_.value + "-" + std::to_string(random_());
  auto writer = std::make_unique<ConfigWriter>(std::move(request), keeper_.configuration(),
                                               now.mono + timeout);
  TableCalls calls;
  writer->Start(now, &calls);
  writers_.emplace(operation, std::move(writer));
  router_->Send(TableClient::kWriter, operation, std::move(calls), output->actions);
  FinishWriter(now, operation, output);
  return operation;
}

void NodeConfig::OnConfigEntries(Now now,
                                 const GatewayId& from,
                                 const ConfigEntries& entries,
                                 Output* output) {
  ConfigOutput out;
  keeper_.OnEntries(now.mono, from, entries, &out);
  ApplyKeeperOutput(now, std::move(out), output);
}

void NodeConfig::OnConfigFetch(const GatewayId& from, const ConfigFetch& fetch, Output* output) {
  ConfigOutput out;
  keeper_.OnFetch(from, fetch, &out);
  for (auto& [to, entries] : out.answers) {
    output->messages.push_back({to, std::move(entries)});
  }
}

void NodeConfig::OnUnrecordedZone(Now now, const UnrecordedZone& decision, Output* output) {
  ZoneOutput zones;
  zones_.OnUnrecordedZone(now.mono, decision, &zones);
  ApplyZoneOutput(now, zones, output);
}

void NodeConfig::OnPeerVersion(Now now,
                               const GatewayId& from,
                               ConfigVersion version,
                               Output* output) {
  if (!has_platform_) {
    return;
  }
  ConfigOutput out;
  keeper_.OnPeerVersion(now.mono, from, version, &out);
  ApplyKeeperOutput(now, std::move(out), output);
}

void NodeConfig::OnZoneEvidence(const ZoneId& zone, const ZoneEvidence& evidence) {
  zones_.OnEvidence(zone, evidence);
}

bool NodeConfig::TakeZoneOutUnrecorded(Now now,
                                       const ZoneId& zone,
                                       HybridTime decided,
                                       const std::string& author,
                                       Output* output) {
  ZoneOutput zones;
  const bool taken = zones_.TakeZoneOutUnrecorded(now.mono, zone, decided, author, &zones);
  ApplyZoneOutput(now, zones, output);
  return taken;
}

MonoTime NodeConfig::next_timer() const {
  MonoTime next = MonoTime::max();
  if (has_platform_) {
    next = std::min(keeper_.next_timer(), maintenance_.next_timer());
    for (const auto& [operation, writer] : writers_) {
      next = std::min(next, writer->next_timer());
    }
  }
  return std::min(next, zones_.next_timer().value_or(MonoTime::max()));
}

bool NodeConfig::ready() const {
  return has_platform_ ? keeper_.ready() && keeper_.configuration() != nullptr
                       : external_configuration_ != nullptr;
}

ConfigurationPtr NodeConfig::configuration() const {
  return has_platform_ ? keeper_.configuration() : external_configuration_;
}

ConfigVersion NodeConfig::version() const {
  const ConfigurationPtr current = configuration();
  return current == nullptr ? ConfigVersion() : current->version;
}

}  // namespace jd
