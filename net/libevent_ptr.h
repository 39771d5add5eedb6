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
  void operator()(event* one) const { event_free(one); }
  void operator()(bufferevent* one) const { bufferevent_free(one); }
  void operator()(evconnlistener* one) const { evconnlistener_free(one); }
  void operator()(evbuffer* one) const { evbuffer_free(one); }
  void operator()(evhttp* one) const { evhttp_free(one); }
  void operator()(evhttp_connection* one) const { evhttp_connection_free(one); }
  void operator()(evhttp_request* one) const { evhttp_request_free(one); }
};

template <typename T>
using LibeventPtr = std::unique_ptr<T, LibeventDeleter>;

}  // namespace jd
