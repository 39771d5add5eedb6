#pragma once

#include <event2/event.h>

#include <functional>

#include "common/now.h"
#include "net/libevent_ptr.h"

namespace jd {

/// The event loop of the process: one libevent event_base that one thread runs.
class EventLoop {
 public:
  /// @throws std::runtime_error if libevent cannot create an event base.
  EventLoop();

  /// Reads the monotonic clock and the wall clock.
  Now ReadClocks() const;
  /// Processes events until Stop is called.
  void Run();
  /// Processes the pending events; waits for an event if none is pending.
  void RunOnce();
  void Stop();
  event_base* base() const { return base_.get(); }

 private:
  LibeventPtr<event_base> base_;
};

/// A one-shot timer, which calls its callback once after each call of Schedule.
class Timer {
 public:
  Timer(EventLoop* loop, std::function<void()> callback);
  Timer(const Timer&) = delete;
  Timer& operator=(const Timer&) = delete;

  /// Schedules the callback to run after `after`, and cancels an earlier schedule. A negative
  /// duration is treated as zero.
  void Schedule(Duration after);
  /// Schedules the callback to run before the event loop next waits for events.
  void ScheduleNow();
  void Cancel();

 private:
  std::function<void()> callback_;
  LibeventPtr<event> event_;
};

/// Calls a function each time the process receives a signal, for as long as the object exists.
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
