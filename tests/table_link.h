#pragma once

#include <cstdint>
#include <functional>
#include <utility>
#include <vector>

#include "cluster/table_call.h"
#include "common/random.h"
#include "tests/fake_table.h"

namespace jd {

/// Carries calls to a FakeTable in a generated order: a request may wait, its answer may wait or be
/// lost, and a request whose caller was told that the answer is lost may still take effect later.
class TableLink {
 public:
  using Answer = std::function<void(const TableReply&)>;

  explicit TableLink(uint64_t seed) : random(seed) {}

  void Send(const TableCall& call, Answer answer) {
    waiting_.push_back({call.request, std::move(answer)});
  }

  /// Takes one step with a waiting request or answer, chosen at random.
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
  uint64_t losses = 1;  ///< Tenths of requests that lose their answer, before and after effect.

 private:
  struct Waiting {
    TableRequest request;
    Answer answer;  ///< Null once the caller gave up.
  };
  std::vector<Waiting> waiting_;
  std::vector<std::pair<Answer, TableReply>> answers_;
};

}  // namespace jd
