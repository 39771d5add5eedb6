#include <event2/event.h>
#include <rapidcheck.h>

#include <catch2/catch.hpp>

#include "control/operator_client.h"
#include "gateway/peer_links.h"
#include "rpc/convert.h"
#include "rpc/frame.h"

namespace jd {
namespace {

wire::Envelope ToEnvelope(const PeerMessage& message, const std::string& key) {
  RowPacker packer;
  return jd::ToEnvelope(message, key, &packer);
}

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

TEST_CASE("quota messages are unchanged after encoding and decoding", "[rpc_test]") {
  const QuotaRequest request{
      GatewayId("g1"), MonoFromMicros(77), {{WorkspaceId("w"), 2, 3, -4}}, true, true};
  const QuotaGrant grant{MonoFromMicros(78), {{WorkspaceId("w"), 5, 6, 7ms}}, true};
  const auto pass_on = [](const PeerBody& body) {
    const PeerMessage sent{GatewayId("g1"), Incarnation(9), {}, body};
    return std::get<PeerMessage>(FromEnvelope(ToEnvelope(sent, "key"))).body;
  };
  CHECK(std::get<QuotaRequest>(pass_on(request)) == request);
  CHECK(std::get<QuotaGrant>(pass_on(grant)) == grant);
  CHECK_THROWS_AS(pass_on(QuotaRequest{GatewayId("g1"), {}, {{WorkspaceId("w"), -1, 0, 0}}}),
                  FrameError);
  CHECK_THROWS_AS(pass_on(QuotaGrant{{}, {{WorkspaceId("w"), 1, -1, 0ms}}}), FrameError);
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

// Returns an update about endpoints that have been added.
TableUpdate UpdateWithAddedEndpoints(int count) {
  TableUpdate update;
  update.table = "t";
  update.after = {StoreEra(2), 8};
  update.position = {StoreEra(2), 9};
  for (int i = 0; i < count; ++i) {
    WatchedRow& row = update.rows.emplace_back();
    row.key = "i-" + std::to_string(0x7f3a91c2 + 7919 * i);
    row.value = R"({"service":"records","address":"10.1.0.)" + std::to_string(i) +
                R"(:8080","zone":"gasabo","version":"1.4.2","slots":6,"state":"ready",)" +
                R"("warmup_ms":0,"sequence":12,"born":17648)" + std::to_string(10'000'000 + i) +
                "}";
    row.version = 100 + static_cast<uint64_t>(i);
  }
  return update;
}

TableUpdate SendAndReceive(const TableUpdate& update, size_t* frame_bytes) {
  const std::string frame =
      EncodeFrame(ToEnvelope({GatewayId("g1"), Incarnation(9), {}, update}, ""));
  *frame_bytes = frame.size();
  FrameReader reader;
  reader.Append(frame.data(), frame.size());
  return std::get<TableUpdate>(std::get<PeerMessage>(FromEnvelope(*reader.NextEnvelope())).body);
}

TEST_CASE("an update about many endpoints takes few bytes", "[rpc_test]") {
  // Guards against many endpoints that are added at once: uncompressed, their rows exceed the bytes
  // that a gateway may send to all others, so each of these reads the store and tells the others.
  const TableUpdate sent = UpdateWithAddedEndpoints(400);
  size_t frame_bytes = 0;
  const TableUpdate received = SendAndReceive(sent, &frame_bytes);
  CHECK(frame_bytes <= 16'384);
  CHECK(received.after == sent.after);
  REQUIRE(received.rows.size() == sent.rows.size());
  for (size_t i = 0; i < sent.rows.size(); ++i) {
    CHECK(received.rows[i].key == sent.rows[i].key);
    CHECK(received.rows[i].value == sent.rows[i].value);
    CHECK(received.rows[i].version == sent.rows[i].version);
  }
}

TEST_CASE("an update to many peers is compressed once", "[rpc_test]") {
  // Guards against a reader that stands still while it compresses the same rows for each peer.
  RowPacker packer;
  const TableUpdate update = UpdateWithAddedEndpoints(400);
  for (int peer = 0; peer < 60; ++peer) {
    ToEnvelope({GatewayId("g1"), Incarnation(9), {}, update}, "", &packer);
  }
  CHECK(packer.compressions() == 1);
  const wire::Envelope other =
      ToEnvelope({GatewayId("g1"), Incarnation(9), {}, UpdateWithAddedEndpoints(100)}, "", &packer);
  CHECK(UnpackRows(other.body.table_news.packed).size() == 100);
}

TEST_CASE("a gateway of an earlier version reads for itself instead of packed rows", "[rpc_test]") {
  // Guards against a receiver that does not know packed rows and takes an update for an empty one.
  const TableUpdate sent = UpdateWithAddedEndpoints(100);
  const wire::TableNews news =
      ToEnvelope({GatewayId("g1"), Incarnation(9), {}, sent}, "").body.table_news;
  CHECK(news.rows.empty());
  CHECK(news.after == news.version);
  CHECK(news.after_era == news.era);
}

TEST_CASE("a snapshot is sent without packed rows", "[rpc_test]") {
  // Guards against a gateway of an earlier version that takes a snapshot for an empty table.
  TableUpdate snapshot = UpdateWithAddedEndpoints(100);
  snapshot.snapshot = true;
  CHECK(
      ToEnvelope({GatewayId("g1"), Incarnation(9), {}, snapshot}, "").body.table_news.rows.size() ==
      100);
}

TEST_CASE("rows that cannot be packed small enough are left out", "[rpc_test]") {
  // Guards against links that are saturated by rows whose content does not shrink.
  TableUpdate update = UpdateWithAddedEndpoints(1);
  RandomEngine random(1);
  update.rows[0].value.clear();
  for (int i = 0; i < 20'000; ++i) {
    update.rows[0].value.push_back(static_cast<char>(random()));
  }
  size_t frame_bytes = 0;
  const TableUpdate received = SendAndReceive(update, &frame_bytes);
  CHECK(received.rows.empty());
  CHECK(received.after == update.position);
}

TEST_CASE("damaged packed rows are an error and take little memory", "[rpc_test]") {
  // Guards against a peer whose few bytes become many, and against rows that are cut short.
  wire::Envelope envelope =
      ToEnvelope({GatewayId("g1"), Incarnation(9), {}, UpdateWithAddedEndpoints(100)}, "");
  wire::PackedRows& packed = envelope.body.table_news.packed;
  SECTION("cut short") {
    packed.data.resize(packed.data.size() / 2);
  }
  SECTION("no compressed data") {
    packed.data = "rows";
  }
  SECTION("too long") {
    packed.size = 100'000'000;
  }
  SECTION("shorter than the data") {
    packed.size = 10;
  }
  SECTION("longer than the data") {
    packed.size += 1;
  }
  SECTION("negative") {
    packed.size = -1;
  }
  CHECK_THROWS_AS(FromEnvelope(envelope), FrameError);
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
  PeerLinks receiver(base.get(), {"127.0.0.1", 0, "right"});
  int received = 0;
  receiver.message_received().connect([&](const PeerMessage&) { ++received; });
  PeerLinks same_key_sender(base.get(), {"127.0.0.1", 0, "right"});
  PeerLinks wrong_key_sender(base.get(), {"127.0.0.1", 0, "wrong"});
  for (PeerLinks* sender : {&same_key_sender, &wrong_key_sender}) {
    sender->SetPeerAddress({GatewayId("r"), "127.0.0.1", receiver.port()});
    sender->SendMessage({GatewayId("r"), SampleMessage()});
  }
  RunUntil(base.get(), [&] { return received > 0 && receiver.traffic().rejected > 0; });
  CHECK(received == 1);
  CHECK(receiver.traffic().rejected == 1);
}

TEST_CASE("a replaced connection between peers carries messages at once", "[rpc_test]") {
  // Guards against a silent connection that stays in use, and against its other end, which is never
  // told and would stay open for good.
  const LibeventPtr<event_base> base(event_base_new());
  PeerLinks receiver(base.get(), {"127.0.0.1", 0, "key"});
  int received = 0;
  receiver.message_received().connect([&](const PeerMessage&) { ++received; });
  PeerLinks sender(base.get(), {"127.0.0.1", 0, "key"});
  sender.SetPeerAddress({GatewayId("r"), "127.0.0.1", receiver.port()});
  sender.SendMessage({GatewayId("r"), SampleMessage()});
  RunUntil(base.get(), [&] { return received == 1; });
  sender.ReplaceConnection({GatewayId("r"), 1s});
  sender.ReplaceConnection({GatewayId("unknown"), 1s});
  sender.SendMessage({GatewayId("r"), SampleMessage()});
  RunUntil(base.get(), [&] { return received == 2; });
  CHECK(received == 2);
  CHECK(sender.traffic().replaced == 1);
  // Another connection of the same peer stands for one whose close does not arrive.
  PeerLinks silent(base.get(), {"127.0.0.1", 0, "key"});
  silent.SetPeerAddress({GatewayId("r"), "127.0.0.1", receiver.port()});
  silent.SendMessage({GatewayId("r"), SampleMessage()});
  RunUntil(base.get(), [&] { return received == 3; });
  RunUntil(base.get(), [&] {
    sender.SendMessage({GatewayId("r"), SampleMessage()});
    return sender.traffic().dropped > 0;
  });
  CHECK(sender.traffic().dropped > 0);
}

TEST_CASE("a shared key is replaced without a moment in which peers refuse each other",
          "[rpc_test]") {
  // Guards against gateways that do not hear each other while a new key is rolled out, and against
  // a key that is accepted after it was withdrawn.
  struct Keys {
    std::string shared;
    std::string accepted;
  };
  // Each step is rolled out while gateways still have the keys of the step before.
  const std::vector<Keys> steps = {{"old", ""}, {"old", "new"}, {"new", "old"}, {"new", ""}};
  const LibeventPtr<event_base> base(event_base_new());
  const auto hears = [&](const Keys& receiver_keys, const Keys& sender_keys) {
    PeerLinks receiver(base.get(), {"127.0.0.1", 0, receiver_keys.shared, receiver_keys.accepted});
    PeerLinks sender(base.get(), {"127.0.0.1", 0, sender_keys.shared, sender_keys.accepted});
    int received = 0;
    receiver.message_received().connect([&](const PeerMessage&) { ++received; });
    sender.SetPeerAddress({GatewayId("r"), "127.0.0.1", receiver.port()});
    sender.SendMessage({GatewayId("r"), SampleMessage()});
    RunUntil(base.get(), [&] { return received > 0 || receiver.traffic().rejected > 0; });
    return received > 0;
  };
  for (size_t i = 0; i + 1 < steps.size(); ++i) {
    INFO("step " << i);
    CHECK(hears(steps[i], steps[i + 1]));
    CHECK(hears(steps[i + 1], steps[i]));
  }
  CHECK_FALSE(hears(steps[3], steps[0]));
  CHECK_FALSE(hears(steps[3], steps[1]));
  CHECK_FALSE(hears(steps[0], {"", ""}));
}

TEST_CASE("an operator command to a closed port has the outcome refused, not unknown",
          "[rpc_test]") {
  OperatorTarget target;
  target.port = 1;
  CHECK(CallOperator(target, {}, 500ms).status == OperatorStatus::kRefused);
}

TEST_CASE("what gateways say of upstreams is unchanged after encoding and decoding", "[rpc_test]") {
  CrashEvidence evidence;
  evidence.losses = {{{Fingerprint(~uint64_t{0}), CallId(7), ServiceId("s"), EndpointId("e"),
                       MonoFromMicros(5), true, GatewayId("g")},
                      MonoFromMicros(9)}};
  evidence.answered = {Fingerprint(3)};
  evidence.blocked = {{Fingerprint(4), MonoFromMicros(8)}};
  evidence.told = MonoFromMicros(11);
  const EndpointStatement statement{{{EndpointId("e"), Incarnation(1'700'000'000'000)}}};
  const auto repeat = [](PeerBody body) {
    const PeerMessage sent{GatewayId("g1"), Incarnation(9), {1000, 3}, std::move(body)};
    return std::get<PeerMessage>(FromEnvelope(ToEnvelope(sent, "key"))).body;
  };
  CHECK(std::get<CrashEvidence>(repeat(evidence)) == evidence);
  CHECK(std::get<EndpointStatement>(repeat(statement)).leaving == statement.leaving);
}

}  // namespace
}  // namespace jd
