#include "cluster/zone_control.h"

#include <algorithm>
#include <utility>

namespace jd {

ZoneControl::ZoneControl(ZoneId zone)
    : local_zone_(std::move(zone)), chart_(StateChart::Load("zone")) {}

void ZoneControl::OnConfiguration(MonoTime now,
                                  const Configuration& configuration,
                                  ZoneOutput* output) {
  for (const auto& [id, zone] : configuration.zones) {
    StatusOf(id);
  }
  for (auto& [id, status] : zone_statuses_) {
    const auto zone = configuration.zones.find(id);
    status.recorded = zone == configuration.zones.end() ? ZoneState::kIn : zone->second.state;
    const auto version = configuration.object_versions.find("zone/" + id.value);
    const ConfigVersion before = std::exchange(
        status.version,
        version == configuration.object_versions.end() ? ConfigVersion() : version->second);
    // A recorded change that is newer than the decision's base version replaces the decision,
    // whether it confirms the decision or not.
    if (status.decision && status.version > status.decision->base) {
      status.decision.reset();
      status.own_decision = false;
    }
    if (status.recorded == ZoneState::kReturning && before < status.version) {
      ApplyEvent(now, "returning_recorded", &status);
    }
    UpdateUse(now, id, &status, output);
  }
}

bool ZoneControl::TakeZoneOutUnrecorded(MonoTime now,
                                        const ZoneId& zone,
                                        HybridTime decided,
                                        const std::string& author,
                                        ZoneOutput* output) {
  ZoneStatus& status = StatusOf(zone);
  if (!UseOf(status).usable) {
    return false;
  }
  status.own_decision = true;
  OnUnrecordedZone(now, {zone, true, status.version, decided, author}, output);
  return true;
}

void ZoneControl::OnUnrecordedZone(MonoTime now, UnrecordedZone decision, ZoneOutput* output) {
  const ZoneId zone = decision.zone;
  ZoneStatus& status = StatusOf(zone);
  // Without the table a zone may only be taken out of service, which is the safe direction.
  if (!decision.out || status.version > decision.base) {
    return;
  }
  const bool newer = !status.decision || status.decision->base < decision.base;
  if (newer) {
    output->broadcast.push_back(decision);
    status.decision = std::move(decision);
    next_repeat_ = std::max(next_repeat_, now + kRepeatInterval);
  }
  UpdateUse(now, zone, &status, output);
}

void ZoneControl::OnEvidence(const ZoneId& zone, const ZoneEvidence& evidence) {
  ZoneStatus& status = StatusOf(zone);
  status.evidence.successes += evidence.successes;
  status.evidence.slow += evidence.slow;
  status.evidence.failures += evidence.failures;
}

void ZoneControl::OnStoreStatus(MonoTime now, bool up) {
  if (!up) {
    store_up_since_.reset();
  } else if (!store_up_since_) {
    store_up_since_ = now;
  }
}

void ZoneControl::OnTimer(MonoTime now, ZoneOutput* output) {
  const bool repeat = now >= next_repeat_;
  if (repeat) {
    next_repeat_ = now + kRepeatInterval;
  }
  for (auto& [id, status] : zone_statuses_) {
    if (status.decision && repeat) {
      // Repeated for peers that have started since the last broadcast or did not receive it.
      output->broadcast.push_back(*status.decision);
      const Duration wait = status.own_decision ? Duration(0) : kOtherGatewaysRecordDelay;
      if (store_up_since_ && now - *store_up_since_ >= wait) {
        output->record.push_back(*status.decision);
      }
    }
    AdvanceRamp(now, &status);
    UpdateUse(now, id, &status, output);
  }
}

std::optional<MonoTime> ZoneControl::next_timer() const {
  std::optional<MonoTime> next;
  const auto add_timer = [&](MonoTime time) { next = next ? std::min(*next, time) : time; };
  for (const auto& [id, status] : zone_statuses_) {
    if (status.decision) {
      add_timer(next_repeat_);
    }
    if (status.machine.state() == "returning") {
      add_timer(status.next_ramp_step);
    }
  }
  return next;
}

ZoneUse ZoneControl::use(const ZoneId& zone) const {
  const auto status = zone_statuses_.find(zone);
  return status == zone_statuses_.end() ? ZoneUse() : UseOf(status->second);
}

std::vector<UnrecordedZone> ZoneControl::unrecorded() const {
  std::vector<UnrecordedZone> result;
  for (const auto& [id, status] : zone_statuses_) {
    if (status.decision) {
      result.push_back(*status.decision);
    }
  }
  return result;
}

ZoneControl::ZoneStatus& ZoneControl::StatusOf(const ZoneId& zone) {
  return zone_statuses_.try_emplace(zone, chart_).first->second;
}

void ZoneControl::UpdateUse(MonoTime now,
                            const ZoneId& zone,
                            ZoneStatus* status,
                            ZoneOutput* output) {
  const bool out = status->recorded == ZoneState::kOut || status->decision.has_value();
  ApplyEvent(now, out ? "taken_out" : "brought_in", status);
  const ZoneUse use = UseOf(*status);
  if (use != status->reported_use) {
    status->reported_use = use;
    output->changed.push_back(zone);
  }
}

void ZoneControl::ApplyEvent(MonoTime now, const std::string& event, ZoneStatus* status) {
  const std::string* action = status->machine.Fire(event);
  if (action != nullptr && *action == "stop") {
    status->share = 0.0;
  } else if (action != nullptr && *action == "start_ramp") {
    status->share = kInitialRampShare;
    status->next_ramp_step = now + kRampStepInterval;
    status->evidence = {};
  }
}

void ZoneControl::AdvanceRamp(MonoTime now, ZoneStatus* status) {
  if (status->machine.state() != "returning" || now < status->next_ramp_step) {
    return;
  }
  const ZoneEvidence evidence = std::exchange(status->evidence, {});
  status->next_ramp_step = now + kRampStepInterval;
  const int32_t calls = evidence.successes + evidence.failures;
  // Without a successful call there is no evidence that the zone can handle more load.
  const bool normal = evidence.successes > 0 && evidence.failures <= kMaxFailureShare * calls &&
                      evidence.slow <= kMaxSlowShare * evidence.successes;
  if (!normal) {
    return;
  }
  status->share = std::min(1.0, status->share + kRampStepShare);
  if (status->share >= 1.0) {
    status->machine.Fire("ramp_complete");
  }
}

ZoneUse ZoneControl::UseOf(const ZoneStatus& status) {
  ZoneUse use;
  use.unrecorded = status.decision.has_value();
  use.share = status.share;
  if (status.machine.state() == "out") {
    use.state = ZoneState::kOut;
    use.usable = false;
  } else if (status.machine.state() == "returning") {
    use.state = ZoneState::kReturning;
  }
  return use;
}

}  // namespace jd
