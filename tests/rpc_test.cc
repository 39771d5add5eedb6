#include <event2/event.h>
#include <rapidcheck.h>

#include <catch2/catch.hpp>

#include "control/operator_client.h"
#include "gateway/peer_links.h"
#include "rpc/convert.h"
#include "rpc/frame.h"

namespace jd {
namespace {

PeerMessage SampleMessage() {
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

TEST_CASE("a message is unchanged after encoding and decoding", "[rpc_test]") {
  const PeerMessage sent = SampleMessage();
  FrameReader reader;
  const std::string frame = EncodeFrame(ToEnvelope(sent, "key"));
  // Appends the bytes one at a time: the reader must not assume that data ends at a frame boundary.
  for (const char byte : frame) {
    CHECK_FALSE(reader.NextEnvelope().has_value());
    reader.Append(&byte, 1);
  }
  const auto envelope = reader.NextEnvelope();
  REQUIRE(envelope.has_value());
  CHECK(envelope->key == "key");
  const PeerMessage received = std::get<PeerMessage>(FromEnvelope(*envelope));
  CHECK(received.from == sent.from);
  CHECK(received.incarnation == sent.incarnation);
  CHECK(received.stamp == sent.stamp);
  CHECK(std::get<SlotRequest>(received.body) == std::get<SlotRequest>(sent.body));
}

TEST_CASE("a table update is unchanged after encoding and decoding", "[rpc_test]") {
  // Guards against a snapshot that is taken for a confirmed one, or an update that is passed on
  // again and again.
  TableUpdate sent;
  sent.table = "t";
  sent.after = {StoreEra(2), 8};
  sent.position = {StoreEra(3), 9};
  sent.rows = {{"k", std::string("\0v", 2), 7, false}};
  sent.rows[0].recalled = true;
  sent.missing = {"m"};
  sent.snapshot = sent.unconfirmed = sent.relay = sent.from_full_read = true;
  sent.reader = GatewayId("g1");
  sent.reader_zone = ZoneId("gasabo");
  const wire::Envelope envelope = ToEnvelope({GatewayId("g1"), Incarnation(9), {}, sent}, "key");
  const PeerMessage received = std::get<PeerMessage>(FromEnvelope(envelope));
  const auto& update = std::get<TableUpdate>(received.body);
  CHECK(update.table == sent.table);
  CHECK(update.after == sent.after);
  CHECK(update.position == sent.position);
  REQUIRE(update.rows.size() == 1);
  CHECK(update.rows[0].value == sent.rows[0].value);
  CHECK(update.rows[0].recalled);
  CHECK(update.missing == sent.missing);
  CHECK(update.snapshot);
  CHECK(update.unconfirmed);
  CHECK(update.relay);
  CHECK(update.from_full_read);
  CHECK(update.reader == sent.reader);
  CHECK(update.reader_zone == sent.reader_zone);
}

TEST_CASE("arbitrary bytes cause an error or a wait for more bytes, never a crash", "[rpc_test]") {
  const bool ok = rc::check([] {
    const std::string frame = EncodeFrame(ToEnvelope(SampleMessage(), "key"));
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
    size_t decoded = 0;
    try {
      while (const auto envelope = reader.NextEnvelope()) {
        ++decoded;
        FromEnvelope(*envelope);
      }
    } catch (const FrameError&) {
    }
    RC_ASSERT(decoded <= bytes.size() / 4);
  });
  CHECK(ok);
}

TEST_CASE("an oversized frame is rejected as soon as its length is known", "[rpc_test]") {
  FrameReader reader;
  reader.Append("\x7f\xff\xff\xff", 4);
  CHECK_THROWS_AS(reader.NextEnvelope(), FrameError);
}

// Runs the event loop until `done` returns true, for at most 500 steps of 10 ms.
void RunUntil(event_base* base, const std::function<bool()>& done) {
  for (int i = 0; i < 500 && !done(); ++i) {
    const timeval step{0, 10'000};
    event_base_loopexit(base, &step);
    event_base_dispatch(base);
  }
}

TEST_CASE("peers exchange messages only if they have the same shared key", "[rpc_test]") {
  const LibeventPtr<event_base> base(event_base_new());
  PeerLinks receiver(base.get(), {"127.0.0.1", 0, "right", Duration(0)});
  int received = 0;
  receiver.message_received().connect([&](const PeerMessage&) { ++received; });
  PeerLinks same_key_sender(base.get(), {"127.0.0.1", 0, "right", Duration(0)});
  PeerLinks wrong_key_sender(base.get(), {"127.0.0.1", 0, "wrong", Duration(0)});
  for (PeerLinks* sender : {&same_key_sender, &wrong_key_sender}) {
    sender->SetPeerAddress({GatewayId("r"), "127.0.0.1", receiver.port()});
    sender->SendMessage({GatewayId("r"), SampleMessage()});
  }
  RunUntil(base.get(), [&] { return received > 0 && receiver.traffic().rejected > 0; });
  CHECK(received == 1);
  CHECK(receiver.traffic().rejected == 1);
}

TEST_CASE("an operator command to a closed port has the outcome refused, not unknown",
          "[rpc_test]") {
  OperatorTarget target;
  target.port = 1;
  CHECK(CallOperator(target, {}, 500ms).status == OperatorStatus::kRefused);
}

}  // namespace
}  // namespace jd
