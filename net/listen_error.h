#pragma once

#include <cstdint>
#include <stdexcept>
#include <string>

namespace jd {

/// A port on which the process cannot listen.
class ListenError : public std::runtime_error {
 public:
  /// @param error_number the value of errno after the failed call.
  ListenError(const std::string& address, uint16_t port, int error_number);

  /// Returns whether another socket holds the port, so that a later attempt may succeed.
  bool port_is_busy() const;

 private:
  int error_number_;
};

}  // namespace jd
