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

/// Returns an event base whose timers have a resolution below one millisecond. Also makes the
/// process ignore SIGPIPE. @throws std::runtime_error if the event base cannot be created.
EventBasePtr MakeStandinBase();

/// Reads the monotonic clock and the wall clock.
Now ReadStandinClocks();

/// Runs the event loop until SIGTERM or SIGINT arrives or a callback breaks the loop.
void RunUntilSignal(event_base* base);

/// A one-shot timer that can be armed again.
class StandinTimer {
 public:
  StandinTimer(event_base* base, std::function<void()> callback);
  StandinTimer(const StandinTimer&) = delete;
  StandinTimer& operator=(const StandinTimer&) = delete;

  /// Calls the callback once after `delay`. Replaces an earlier `Arm` that has not fired yet.
  void Arm(Duration delay);
  void Disarm();

 private:
  std::function<void()> callback_;
  std::unique_ptr<event, EventDeleter> event_;
};

}  // namespace jd
