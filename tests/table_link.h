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
  using Answer = std::function<void(const TableReply&)>;

  explicit TableLink(uint64_t seed) : random(seed) {}

  void Send(const TableCall& call, Answer answer) {
    waiting_.push_back({call.request, std::move(answer)});
  }

  /// Processes one pending request or reply, chosen at random.
  void Step() {
    const size_t count = waiting_.size() + answers_.size();
    if (count == 0) {
      return;
    }
    size_t index = random() % count;
    if (index >= waiting_.size()) {
      index -= waiting_.size();
      const auto [answer, reply] = answers_[index];
      answers_.erase(answers_.begin() + static_cast<int64_t>(index));
      answer(reply);
      return;
    }
    const uint64_t fate = random() % 10;
    if (fate < losses && waiting_[index].answer) {
      const Answer answer = std::exchange(waiting_[index].answer, nullptr);
      answer({TableStatus::kUnknown, {}, {}});
      return;
    }
    const Waiting taken = waiting_[index];
    waiting_.erase(waiting_.begin() + static_cast<int64_t>(index));
    TableReply reply = table.Do(taken.request);
    if (fate >= 10 - losses) {
      reply = {TableStatus::kUnknown, {}, {}};
    }
    if (taken.answer) {
      answers_.emplace_back(taken.answer, reply);
    }
  }

  FakeTable table;
  RandomEngine random;
  /// Probability in tenths that a step loses the reply before the request takes effect, and the
  /// same again that it loses the reply after the request took effect.
  uint64_t losses = 1;

 private:
  struct Waiting {
    TableRequest request;
    Answer answer;  ///< Null once the caller was told that the reply is lost.
  };
  std::vector<Waiting> waiting_;
  std::vector<std::pair<Answer, TableReply>> answers_;
};

}  // namespace jd
