#include "cluster/zone_control.h"

#include <algorithm>
#include <utility>

namespace jd {

ZoneControl::ZoneControl(ZoneId zone) : zone_(std::move(zone)), chart_(StateChart::Load("zone")) {}

void ZoneControl::OnConfiguration(MonoTime now,
                                  const Configuration& configuration,
                                  ZoneOutput* output) {
  for (const auto& [id, zone] : configuration.zones) {
    At(id);
  }
  for (auto& [id, track] : tracks_) {
    const auto zone = configuration.zones.find(id);
    track.recorded = zone == configuration.zones.end() ? ZoneState::kIn : zone->second.state;
    const auto version = configuration.object_versions.find("zone/" + id.value);
    const ConfigVersion before = std::exchange(
        track.version,
        version == configuration.object_versions.end() ? ConfigVersion() : version->second);
    // A recorded change that is newer than the decision's base version replaces the decision,
    // whether it confirms the decision or not.
    if (track.decision && track.version > track.decision->base) {
      track.decision.reset();
      track.own_decision = false;
    }
    if (track.recorded == ZoneState::kReturning && before < track.version) {
      Fire(now, "returning_recorded", &track);
    }
    Settle(now, id, &track, output);
  }
}

bool ZoneControl::TakeOutUnrecorded(MonoTime now,
                                    const ZoneId& zone,
                                    HybridTime decided,
                                    const std::string& author,
                                    ZoneOutput* output) {
  Track& track = At(zone);
  if (!UseOf(track).usable) {
    return false;
  }
  track.own_decision = true;
  OnUnrecorded(now, {zone, true, track.version, decided, author}, output);
  return true;
}

void ZoneControl::OnUnrecorded(MonoTime now, UnrecordedZone decision, ZoneOutput* output) {
  const ZoneId zone = decision.zone;
  Track& track = At(zone);
  // Without the table a zone may only be taken out of service, which is the safe direction.
  if (!decision.out || track.version > decision.base) {
    return;
  }
  const bool newer = !track.decision || track.decision->base < decision.base;
  if (newer) {
    output->broadcast.push_back(decision);
    track.decision = std::move(decision);
    next_repeat_ = std::max(next_repeat_, now + kRepeatEvery);
  }
  Settle(now, zone, &track, output);
}

void ZoneControl::OnEvidence(const ZoneId& zone, const ZoneEvidence& evidence) {
  Track& track = At(zone);
  track.evidence.successes += evidence.successes;
  track.evidence.slow += evidence.slow;
  track.evidence.failures += evidence.failures;
}

void ZoneControl::OnStore(MonoTime now, bool up) {
  if (!up) {
    store_up_since_.reset();
  } else if (!store_up_since_) {
    store_up_since_ = now;
  }
}

void ZoneControl::OnTimer(MonoTime now, ZoneOutput* output) {
  const bool repeat = now >= next_repeat_;
  if (repeat) {
    next_repeat_ = now + kRepeatEvery;
  }
  for (auto& [id, track] : tracks_) {
    if (track.decision && repeat) {
      // Repeated for peers that have started since the last broadcast or did not receive it.
      output->broadcast.push_back(*track.decision);
      const Duration wait = track.own_decision ? Duration(0) : kOthersRecordAfter;
      if (store_up_since_ && now - *store_up_since_ >= wait) {
        output->record.push_back(*track.decision);
      }
    }
    Step(now, &track);
    Settle(now, id, &track, output);
  }
}

std::optional<MonoTime> ZoneControl::next_timer() const {
  std::optional<MonoTime> next;
  const auto at = [&](MonoTime time) { next = next ? std::min(*next, time) : time; };
  for (const auto& [id, track] : tracks_) {
    if (track.decision) {
      at(next_repeat_);
    }
    if (track.machine.state() == "returning") {
      at(track.next_step);
    }
  }
  return next;
}

ZoneUse ZoneControl::use(const ZoneId& zone) const {
  const auto track = tracks_.find(zone);
  return track == tracks_.end() ? ZoneUse() : UseOf(track->second);
}

std::vector<UnrecordedZone> ZoneControl::unrecorded() const {
  std::vector<UnrecordedZone> result;
  for (const auto& [id, track] : tracks_) {
    if (track.decision) {
      result.push_back(*track.decision);
    }
  }
  return result;
}

ZoneControl::Track& ZoneControl::At(const ZoneId& zone) {
  return tracks_.try_emplace(zone, chart_).first->second;
}

void ZoneControl::Settle(MonoTime now, const ZoneId& zone, Track* track, ZoneOutput* output) {
  const bool out = track->recorded == ZoneState::kOut || track->decision.has_value();
  Fire(now, out ? "taken_out" : "brought_in", track);
  const ZoneUse use = UseOf(*track);
  if (use != track->reported) {
    track->reported = use;
    output->changed.push_back(zone);
  }
}

void ZoneControl::Fire(MonoTime now, const std::string& event, Track* track) {
  const std::string* action = track->machine.Fire(event);
  if (action != nullptr && *action == "stop") {
    track->share = 0.0;
  } else if (action != nullptr && *action == "start_ramp") {
    track->share = kFirstShare;
    track->next_step = now + kStepEvery;
    track->evidence = {};
  }
}

void ZoneControl::Step(MonoTime now, Track* track) {
  if (track->machine.state() != "returning" || now < track->next_step) {
    return;
  }
  const ZoneEvidence evidence = std::exchange(track->evidence, {});
  track->next_step = now + kStepEvery;
  const int32_t calls = evidence.successes + evidence.failures;
  // Without a successful call there is no evidence that the zone can handle more load.
  const bool normal = evidence.successes > 0 && evidence.failures <= kMaxFailures * calls &&
                      evidence.slow <= kMaxSlow * evidence.successes;
  if (!normal) {
    return;
  }
  track->share = std::min(1.0, track->share + kStepShare);
  if (track->share >= 1.0) {
    track->machine.Fire("ramp_complete");
  }
}

ZoneUse ZoneControl::UseOf(const Track& track) {
  ZoneUse use;
  use.unrecorded = track.decision.has_value();
  use.share = track.share;
  if (track.machine.state() == "out") {
    use.state = ZoneState::kOut;
    use.usable = false;
  } else if (track.machine.state() == "returning") {
    use.state = ZoneState::kReturning;
  }
  return use;
}

}  // namespace jd
