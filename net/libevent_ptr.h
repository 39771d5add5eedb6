#pragma once

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/listener.h>

#include <memory>

namespace jd {

/// Deleter for std::unique_ptr that calls the matching libevent function to free an object.
struct LibeventDeleter {
  void operator()(event_base* base) const { event_base_free(base); }
  void operator()(event* object) const { event_free(object); }
  void operator()(bufferevent* object) const { bufferevent_free(object); }
  void operator()(evconnlistener* object) const { evconnlistener_free(object); }
  void operator()(evbuffer* object) const { evbuffer_free(object); }
  void operator()(evhttp* object) const { evhttp_free(object); }
};

template <typename T>
using LibeventPtr = std::unique_ptr<T, LibeventDeleter>;

}  // namespace jd
