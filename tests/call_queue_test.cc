#include "policy/call_queue.h"

#include <rapidcheck.h>
#include <catch2/catch.hpp>
#include <map>

namespace jd {
namespace {

QueuedCall MakeQueuedCall(uint64_t id,
                          const std::string& workspace,
                          double weight,
                          bool idempotent = false) {
  QueuedCall call;
  call.id = CallId(id);
  call.workspace = WorkspaceId(workspace);
  call.weight = weight;
  call.idempotent = idempotent;
  call.sequence = id;
  return call;
}

QueuedCall SendNext(CallQueue* queue, const std::map<uint64_t, QueuedCall>& calls) {
  const QueuedCall call = calls.at(queue->Next({})->value);
  REQUIRE(queue->Remove(call));
  queue->ChargeWorkspace(call.workspace, call.weight);
  return call;
}

// Guards against a noisy workspace that gets more than its share of a busy service.
TEST_CASE("workspaces are served in proportion to their shares", "[call_queue_test]") {
  const bool passed = rc::check("weighted fairness", [] {
    const double weight = *rc::gen::inRange(1, 6);
    const int head_start = *rc::gen::inRange(0, 50);
    CallQueue queue;
    std::map<uint64_t, QueuedCall> calls;
    for (uint64_t id = 1; id <= 400; ++id) {
      calls[id] = id <= 200 ? MakeQueuedCall(id, "noisy", 1) : MakeQueuedCall(id, "quiet", weight);
      queue.Push(calls[id]);
    }
    // A share that a workspace did not use earlier must not give it an advantage now.
    queue.ChargeWorkspace(WorkspaceId("quiet"), weight);
    for (int i = 0; i < head_start; ++i) {
      queue.ChargeWorkspace(WorkspaceId("noisy"), 1);
    }
    double noisy = 0;
    for (int i = 0; i < 120; ++i) {
      noisy += SendNext(&queue, calls).workspace == WorkspaceId("noisy") ? 1 : 0;
    }
    RC_ASSERT(std::abs(noisy - 120 / (1 + weight)) <= 2);
  });
  CHECK(passed);
}

TEST_CASE("calls are ordered by priority, then by arrival within a workspace",
          "[call_queue_test]") {
  CallQueue queue;
  std::map<uint64_t, QueuedCall> calls;
  for (const uint64_t id : {3, 1, 2, 4}) {
    calls[id] = MakeQueuedCall(id, "w", 1, id == 2);
  }
  calls[4].priority = Priority::kHigh;
  for (const auto& [id, call] : calls) {
    queue.Push(call);
  }
  std::vector<uint64_t> order;
  SECTION("idempotent calls are not treated differently while the service is not degraded") {
    CHECK(queue.Next({CallId(4)}) == CallId(1));
    while (!queue.empty()) {
      order.push_back(SendNext(&queue, calls).id.value);
    }
    CHECK(order == std::vector<uint64_t>{4, 1, 2, 3});
  }
  SECTION("idempotent calls come last while the service is degraded") {
    queue.SetDegraded(true);
    while (!queue.empty()) {
      order.push_back(SendNext(&queue, calls).id.value);
    }
    CHECK(order == std::vector<uint64_t>{4, 1, 3, 2});
  }
}

TEST_CASE("the refused call belongs to the workspace furthest above its share",
          "[call_queue_test]") {
  CallQueue queue;
  queue.Push(MakeQueuedCall(1, "noisy", 1));
  queue.Push(MakeQueuedCall(2, "noisy", 1));
  queue.Push(MakeQueuedCall(3, "noisy", 1));
  queue.Push(MakeQueuedCall(4, "large", 8));
  CHECK(queue.ChooseCallToRefuse(MakeQueuedCall(9, "quiet", 1)) == CallId(3));
  CHECK(queue.ChooseCallToRefuse(MakeQueuedCall(9, "noisy", 1)) == CallId(9));
  CHECK(queue.CallsAhead(MakeQueuedCall(9, "noisy", 1)) == 4);
  CHECK(queue.CallsAhead(MakeQueuedCall(9, "quiet", 1)) == 2);
  QueuedCall tried = MakeQueuedCall(5, "noisy", 1);
  tried.untried = false;
  queue.Push(tried);
  CHECK(queue.ChooseCallToRefuse(MakeQueuedCall(9, "quiet", 1)) == CallId(3));
  SECTION("while degraded, an idempotent call is refused rather than a non-idempotent one") {
    queue.Push(MakeQueuedCall(6, "noisy", 1, true));
    queue.SetDegraded(true);
    CHECK(queue.ChooseCallToRefuse(MakeQueuedCall(9, "noisy", 1)) == CallId(6));
  }
}

}  // namespace
}  // namespace jd
