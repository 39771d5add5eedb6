#include "standin/standin_loop.h"

#include <algorithm>
#include <csignal>
#include <stdexcept>
#include <utility>

namespace jd {

EventBasePtr MakeStandinBase() {
  // Without this, a write to a connection that the other side has closed would end the process.
  std::signal(SIGPIPE, SIG_IGN);
  const std::unique_ptr<event_config, decltype(&event_config_free)> config(event_config_new(),
                                                                           &event_config_free);
  event_config_set_flag(config.get(), EVENT_BASE_FLAG_PRECISE_TIMER);
  EventBasePtr base(event_base_new_with_config(config.get()));
  if (!base) {
    throw std::runtime_error("cannot create an event base");
  }
  return base;
}

Now ReadStandinClocks() {
  const auto mono = std::chrono::steady_clock::now().time_since_epoch();
  const auto wall = std::chrono::system_clock::now().time_since_epoch();
  return Now{MonoTime(std::chrono::duration_cast<Duration>(mono)),
             WallTime(std::chrono::duration_cast<Duration>(wall))};
}

void RunUntilSignal(event_base* base) {
  const event_callback_fn stop = [](evutil_socket_t, short, void* arg) {
    event_base_loopbreak(static_cast<event_base*>(arg));
  };
  const std::unique_ptr<event, EventDeleter> term(evsignal_new(base, SIGTERM, stop, base));
  const std::unique_ptr<event, EventDeleter> interrupt(evsignal_new(base, SIGINT, stop, base));
  event_add(term.get(), nullptr);
  event_add(interrupt.get(), nullptr);
  event_base_dispatch(base);
}

StandinTimer::StandinTimer(event_base* base, std::function<void()> callback)
    : callback_(std::move(callback)),
      event_(evtimer_new(
          base,
          [](evutil_socket_t, short, void* arg) { static_cast<StandinTimer*>(arg)->callback_(); },
          this)) {}

void StandinTimer::Arm(Duration delay) {
  const int64_t micros = std::max<int64_t>(0, delay.count());
  timeval tv{};
  tv.tv_sec = micros / 1'000'000;
  tv.tv_usec = micros % 1'000'000;
  evtimer_add(event_.get(), &tv);
}

void StandinTimer::Disarm() {
  evtimer_del(event_.get());
}

}  // namespace jd
