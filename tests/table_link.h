#pragma once

#include <cstdint>
#include <functional>
#include <utility>
#include <vector>

#include "cluster/table_call.h"
#include "common/random.h"
#include "tests/fake_table.h"

namespace jd {

/// Delivers calls to a FakeTable in random order. A request may be delayed, its reply may be
/// delayed or lost, and a request whose caller already got kUnknown may still take effect later.
class TableLink {
 public:
  using ReplyCallback = std::function<void(const TableReply&)>;

  explicit TableLink(uint64_t seed) : random(seed) {}

  void Send(const TableCall& call, ReplyCallback callback) {
    requests_.push_back({call.request, std::move(callback)});
  }

  /// Processes one pending request or reply, chosen at random.
  void Step() {
    const size_t count = requests_.size() + replies_.size();
    if (count == 0) {
      return;
    }
    size_t index = random() % count;
    if (index >= requests_.size()) {
      index -= requests_.size();
      const auto [callback, reply] = replies_[index];
      replies_.erase(replies_.begin() + static_cast<int64_t>(index));
      callback(reply);
      return;
    }
    const uint64_t random_case = random() % 10;
    if (random_case < loss_tenths && requests_[index].callback) {
      const ReplyCallback callback = std::exchange(requests_[index].callback, nullptr);
      callback({TableStatus::kUnknown, {}, {}});
      return;
    }
    const PendingRequest request = requests_[index];
    requests_.erase(requests_.begin() + static_cast<int64_t>(index));
    TableReply reply = table.HandleRequest(request.request);
    if (random_case >= 10 - loss_tenths) {
      reply = {TableStatus::kUnknown, {}, {}};
    }
    if (request.callback) {
      replies_.emplace_back(request.callback, reply);
    }
  }

  FakeTable table;
  RandomEngine random;
  /// A step loses a reply with this probability, in tenths, before the request takes effect, and
  /// with the same probability after the request took effect.
  uint64_t loss_tenths = 1;

 private:
  struct PendingRequest {
    TableRequest request;
    ReplyCallback callback;  ///< Null once the caller was told that the reply is lost.
  };
  std::vector<PendingRequest> requests_;
  std::vector<std::pair<ReplyCallback, TableReply>> replies_;
};

}  // namespace jd
