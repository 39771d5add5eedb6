#include "net/event_loop.h"

#include <algorithm>
#include <csignal>
#include <stdexcept>
#include <utility>

namespace jd {
namespace {

void InvokeCallback(evutil_socket_t, short, void* argument) {
  (*static_cast<std::function<void()>*>(argument))();
}

template <typename Clock>
Duration SinceEpoch() {
  return std::chrono::duration_cast<Duration>(Clock::now().time_since_epoch());
}

}  // namespace

EventLoop::EventLoop() {
  // libevent writes to sockets without MSG_NOSIGNAL, so SIGPIPE would end the process when it
  // writes to a connection that the remote end has closed.
  std::signal(SIGPIPE, SIG_IGN);
  const std::unique_ptr<event_config, decltype(&event_config_free)> config(event_config_new(),
                                                                           &event_config_free);
  // By default libevent uses the kernel's coarse clock, whose resolution is several milliseconds.
  event_config_set_flag(config.get(), EVENT_BASE_FLAG_PRECISE_TIMER);
  base_.reset(event_base_new_with_config(config.get()));
  if (base_ == nullptr) {
    throw std::runtime_error("cannot create a libevent event base");
  }
}

Now EventLoop::ReadClocks() const {
  return {MonoTime(SinceEpoch<std::chrono::steady_clock>()),
          WallTime(SinceEpoch<std::chrono::system_clock>())};
}

void EventLoop::Run() {
  event_base_loop(base_.get(), EVLOOP_NO_EXIT_ON_EMPTY);
}

void EventLoop::RunOnce() {
  event_base_loop(base_.get(), EVLOOP_ONCE);
}

void EventLoop::Stop() {
  event_base_loopbreak(base_.get());
}

Timer::Timer(EventLoop* loop, std::function<void()> callback)
    : callback_(std::move(callback)),
      event_(event_new(loop->base(), -1, 0, &InvokeCallback, &callback_)) {
  if (event_ == nullptr) {
    throw std::runtime_error("cannot create a libevent timer");
  }
}

void Timer::Schedule(Duration after) {
  const Duration wait = std::max(after, Duration(0));
  timeval interval{};
  interval.tv_sec = wait.count() / 1'000'000;
  interval.tv_usec = wait.count() % 1'000'000;
  event_add(event_.get(), &interval);
}

void Timer::ScheduleNow() {
  event_active(event_.get(), EV_TIMEOUT, 0);
}

void Timer::Cancel() {
  event_del(event_.get());
}

SignalWatch::SignalWatch(EventLoop* loop, int signal_number, std::function<void()> callback)
    : callback_(std::move(callback)),
      event_(evsignal_new(loop->base(), signal_number, &InvokeCallback, &callback_)) {
  if (event_ == nullptr || event_add(event_.get(), nullptr) != 0) {
    throw std::runtime_error("cannot register a signal handler");
  }
}

}  // namespace jd
