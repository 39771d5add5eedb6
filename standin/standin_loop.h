#pragma once

#include <event2/event.h>

#include <functional>
#include <memory>

#include "common/now.h"
#include "common/units.h"

namespace jd {

struct EventBaseDeleter {
  void operator()(event_base* base) const { event_base_free(base); }
};
struct EventDeleter {
  void operator()(event* ev) const { event_free(ev); }
};
using EventBasePtr = std::unique_ptr<event_base, EventBaseDeleter>;

/// Returns an event base whose timers are finer than a millisecond. Throws std::runtime_error.
EventBasePtr MakeStandinBase();

/// Reads both clocks.
Now ReadStandinClocks();

/// Runs the loop until SIGTERM or SIGINT arrives or something breaks the loop.
void RunUntilSignal(event_base* base);

/// A one-shot timer that can be armed again.
class StandinTimer {
 public:
  StandinTimer(event_base* base, std::function<void()> callback);
  StandinTimer(const StandinTimer&) = delete;
  StandinTimer& operator=(const StandinTimer&) = delete;

  /// Fires once after `delay`; replaces an earlier setting.
  void Arm(Duration delay);
  void Disarm();

 private:
  std::function<void()> callback_;
  std::unique_ptr<event, EventDeleter> event_;
};

}  // namespace jd
