#include <event2/event.h>
#include <rapidcheck.h>

#include <catch2/catch.hpp>

#include "control/operator_client.h"
#include "gateway/peer_links.h"
#include "rpc/convert.h"
#include "rpc/frame.h"

namespace jd {
namespace {

PeerMessage Sample() {
  SlotRequest request;
  request.pool = PoolId("records#0");
  request.owner = Incarnation(77);
  request.sequence = 5;
  request.last_grant = 4;
  request.sent = MonoFromMicros(123456);
  request.demand = 2;
  request.zone = ZoneId("gasabo");
  request.wanted = 6;
  request.reserve_in = 7ms;
  request.handed_over = true;
  request.held = {{EndpointId("records/1"), 3, 2, 40ms, 4}};
  EndpointEvidence evidence;
  evidence.endpoint = EndpointId("records/1");
  evidence.instance = InstanceId("i-1");
  evidence.successes = 9;
  evidence.latency_sum = 90ms;
  evidence.state = EndpointState::kCold;
  evidence.reported = true;
  request.evidence = {evidence};
  return {GatewayId("g1"), Incarnation(9), {1000, 3}, request};
}

TEST_CASE("a message keeps every field over the wire", "[rpc_test]") {
  const PeerMessage sent = Sample();
  FrameReader reader;
  const std::string frame = EncodeFrame(ToEnvelope(sent, "key"));
  // Bytes arrive one at a time, so that no frame boundary is assumed.
  for (const char byte : frame) {
    CHECK_FALSE(reader.Next().has_value());
    reader.Append(&byte, 1);
  }
  const auto envelope = reader.Next();
  REQUIRE(envelope.has_value());
  CHECK(envelope->key == "key");
  const PeerMessage received = std::get<PeerMessage>(FromEnvelope(*envelope));
  CHECK(received.from == sent.from);
  CHECK(received.incarnation == sent.incarnation);
  CHECK(received.stamp == sent.stamp);
  CHECK(std::get<SlotRequest>(received.body) == std::get<SlotRequest>(sent.body));
}

TEST_CASE("arbitrary bytes end in an error or a wait, never in a crash", "[rpc_test]") {
  const bool ok = rc::check([] {
    const std::string frame = EncodeFrame(ToEnvelope(Sample(), "key"));
    auto bytes = *rc::gen::weightedOneOf<std::string>(
        {{1, rc::gen::arbitrary<std::string>()},
         {3, rc::gen::map(rc::gen::pair(rc::gen::inRange<size_t>(0, frame.size()),
                                        rc::gen::arbitrary<char>()),
                          [&](const std::pair<size_t, char>& flip) {
                            std::string out = frame;
                            out[flip.first] = flip.second;
                            return out;
                          })}});
    FrameReader reader;
    reader.Append(bytes.data(), bytes.size());
    size_t taken = 0;
    try {
      while (const auto envelope = reader.Next()) {
        ++taken;
        FromEnvelope(*envelope);
      }
    } catch (const FrameError&) {
    }
    RC_ASSERT(taken <= bytes.size() / 4);
  });
  CHECK(ok);
}

TEST_CASE("an oversized frame is refused before it is buffered", "[rpc_test]") {
  FrameReader reader;
  reader.Append("\x7f\xff\xff\xff", 4);
  CHECK_THROWS_AS(reader.Next(), FrameError);
}

// Runs two links on one loop until `done` or a generous limit.
void RunUntil(event_base* base, const std::function<bool()>& done) {
  for (int i = 0; i < 500 && !done(); ++i) {
    const timeval step{0, 10'000};
    event_base_loopexit(base, &step);
    event_base_dispatch(base);
  }
}

TEST_CASE("peers exchange messages only under the same key", "[rpc_test]") {
  const LibeventPtr<event_base> base(event_base_new());
  PeerLinks receiver(base.get(), {"127.0.0.1", 0, "right", Duration(0)});
  int received = 0;
  receiver.message_received().connect([&](const PeerMessage&) { ++received; });
  PeerLinks friendly(base.get(), {"127.0.0.1", 0, "right", Duration(0)});
  PeerLinks stranger(base.get(), {"127.0.0.1", 0, "wrong", Duration(0)});
  for (PeerLinks* sender : {&friendly, &stranger}) {
    sender->SetPeerAddress({GatewayId("r"), "127.0.0.1", receiver.port()});
    sender->SendMessage({GatewayId("r"), Sample()});
  }
  RunUntil(base.get(), [&] { return received > 0 && receiver.traffic().rejected > 0; });
  CHECK(received == 1);
  CHECK(receiver.traffic().rejected == 1);
}

TEST_CASE("an operator command to a closed port is refused, not unknown", "[rpc_test]") {
  OperatorTarget target;
  target.port = 1;
  CHECK(CallOperator(target, {}, 500ms).status == OperatorStatus::kRefused);
}

}  // namespace
}  // namespace jd
