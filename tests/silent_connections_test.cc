#include "policy/silent_connections.h"

#include <catch2/catch.hpp>

namespace jd {
namespace {

const EndpointId kEndpoint("e");

MonoTime At(int64_t ms) {
  return MonoFromMicros(1000000 + ms * 1000);
}

TEST_CASE("silence on an old connection closes old ones, on a new one it means a faulty endpoint",
          "[silent_connections_test]") {
  SilentConnections connections;
  CallActions actions;
  CHECK_FALSE(connections.OnSilentAttempt(At(500), {kEndpoint, At(0), At(-100), false}, &actions));
  CHECK(actions.empty());
  connections.OnAnswered(At(510), kEndpoint, At(50), 10ms);
  CHECK_FALSE(
      connections.OnSilentAttempt(At(1100), {kEndpoint, At(600), At(-90), false}, &actions));
  REQUIRE(actions.size() == 1);
  CHECK(std::get<CloseConnections>(actions[0]).opened_before == At(50));
  CHECK(connections.ClosedByGateway(At(1101), kEndpoint, At(49), At(600)));
  CHECK_FALSE(connections.ClosedByGateway(At(1101), kEndpoint, At(50), At(600)));
  CHECK_FALSE(connections.ClosedByGateway(At(2101), kEndpoint, At(49), At(600)));
  CHECK(connections.OnSilentAttempt(At(1700), {kEndpoint, At(1200), At(1200), true}, &actions));
  CHECK(actions.size() == 1);
}

// Guards against closing working connections, and so interrupting their calls, because one request
// is slow.
TEST_CASE("a connection that answered during the wait is not closed", "[silent_connections_test]") {
  SilentConnections connections;
  CallActions actions;
  connections.OnAnswered(At(110), kEndpoint, At(20), 10ms);
  connections.OnAnswered(At(120), kEndpoint, At(90), 10ms);
  connections.OnSilentAttempt(At(600), {kEndpoint, At(100), At(0), false}, &actions);
  REQUIRE(actions.size() == 1);
  CHECK(std::get<CloseConnections>(actions[0]).opened_before == At(20));
  connections.OnSilentAttempt(At(600), {kEndpoint, At(100), At(30), false}, &actions);
  CHECK(actions.size() == 1);
}

// Guards against closing a connection while its request is still running, and against treating the
// loss of such a connection as if the gateway had closed it.
TEST_CASE("the connection of an attempt that was sent recently is not closed",
          "[silent_connections_test]") {
  SilentConnections connections;
  CallActions actions;
  connections.OnAnswered(At(110), kEndpoint, At(50), 20ms);
  connections.OnSilentAttempt(At(1000), {kEndpoint, At(500), At(0), false}, &actions);
  REQUIRE(actions.size() == 1);
  CHECK(std::get<CloseConnections>(actions[0]).sent_before == At(940));
  CHECK(connections.ClosedByGateway(At(1001), kEndpoint, At(0), At(939)));
  CHECK_FALSE(connections.ClosedByGateway(At(1001), kEndpoint, At(0), At(940)));
}

TEST_CASE("an attempt is not silent before the usual latency has passed several times",
          "[silent_connections_test]") {
  SilentConnections connections;
  CallActions actions;
  connections.OnAnswered(At(110), kEndpoint, At(20), 10ms);
  CHECK_FALSE(connections.OnSilentAttempt(At(220), {kEndpoint, At(200), At(200), true}, &actions));
  CHECK_FALSE(connections.OnSilentAttempt(At(220), {kEndpoint, At(200), At(0), false}, &actions));
  CHECK(actions.empty());
}

}  // namespace
}  // namespace jd
