#include "net/listen_error.h"

#include <cerrno>
#include <system_error>

namespace jd {

ListenError::ListenError(const std::string& address, uint16_t port, int error_number)
    : std::runtime_error("cannot listen on " + address + " port " + std::to_string(port) + ": " +
                         std::generic_category().message(error_number)),
      error_number_(error_number) {}

bool ListenError::port_is_busy() const {
  return error_number_ == EADDRINUSE;
}

}  // namespace jd
