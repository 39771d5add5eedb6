#pragma once

#include <event2/event.h>

#include <functional>

#include "common/now.h"
#include "net/libevent_ptr.h"

namespace jd {

/// The loop of the process: one event_base, run by one thread.
class EventLoop {
 public:
  /// @throws std::runtime_error if libevent cannot start.
  EventLoop();

  /// Reads both clocks.
  Now ReadClocks() const;
  /// Handles events until Stop is called.
  void Run();
  /// Handles the events that are due, waiting for at least one.
  void RunOnce();
  void Stop();
  event_base* base() const { return base_.get(); }

 private:
  LibeventPtr<event_base> base_;
};

/// Calls a function when an interval has passed, once per Schedule.
class Timer {
 public:
  Timer(EventLoop* loop, std::function<void()> callback);
  Timer(const Timer&) = delete;
  Timer& operator=(const Timer&) = delete;

  /// Replaces an earlier schedule; a negative interval counts as zero.
  void Schedule(Duration after);
  /// Runs the callback before the loop waits for events again.
  void ScheduleNow();
  void Cancel();

 private:
  std::function<void()> callback_;
  LibeventPtr<event> event_;
};

/// Calls a function when the process receives a signal.
class SignalWatch {
 public:
  SignalWatch(EventLoop* loop, int signal_number, std::function<void()> callback);
  SignalWatch(const SignalWatch&) = delete;
  SignalWatch& operator=(const SignalWatch&) = delete;

 private:
  std::function<void()> callback_;
  LibeventPtr<event> event_;
};

}  // namespace jd
