#pragma once

#include <cstddef>
#include <set>

namespace jd {

/// Limits the memory that the senders of requests take together: what they have sent, and the
/// responses that wait to be written to them. It decides which connection must give way when the
/// limit is exceeded.
class RequestMemory {
 public:
  /// An incomplete request of up to this size gives way only above the upper limit.
  static constexpr size_t kSmallRequestBytes = 64 * 1024;

  /// What one connection takes, in bytes.
  struct Usage {
    size_t incomplete = 0;  ///< The request that is being received.
    size_t complete = 0;    ///< Requests that have arrived completely and are not answered yet.
    size_t unwritten = 0;   ///< Responses that wait for their turn or for the receiver.
    size_t total() const { return incomplete + complete + unwritten; }
  };

  /// The part of one connection, which is given back when this object is destroyed.
  class Part {
   public:
    /// @param memory must outlive this object.
    explicit Part(RequestMemory* memory);
    ~Part();
    Part(const Part&) = delete;
    Part& operator=(const Part&) = delete;

    void Set(const Usage& usage);
    const Usage& usage() const { return usage_; }

   private:
    RequestMemory* memory_;
    Usage usage_;
  };

  RequestMemory() = default;
  RequestMemory(const RequestMemory&) = delete;
  RequestMemory& operator=(const RequestMemory&) = delete;

  /// Sets the limit. The upper limit, from which small requests give way too, is an eighth higher.
  void SetLimit(size_t bytes) { limit_bytes_ = bytes; }
  size_t used_bytes() const { return used_bytes_; }

  /// Returns the connection whose incomplete request must be refused: the one that takes most, if
  /// the limit is exceeded; otherwise null.
  const Part* RequestToRefuse() const;
  /// Returns the connection that must be closed because its receiver does not read: the one with
  /// most unwritten bytes, if the upper limit is exceeded and no incomplete request is left to
  /// refuse; otherwise null.
  const Part* ConnectionToClose() const;

 private:
  bool above_upper_limit() const { return used_bytes_ > limit_bytes_ + limit_bytes_ / 8; }

  size_t limit_bytes_ = 0;
  size_t used_bytes_ = 0;
  std::set<const Part*> parts_;
};

}  // namespace jd
