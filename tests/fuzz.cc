// Feeds generated and mutated bytes to every parser of external input. Hidden from CTest, since the
// number of inputs depends on the time available; the script tests/fuzz runs it.
#include <event2/keyvalq_struct.h>
#include <rapidcheck.h>
#include <sys/queue.h>

#include <catch2/catch.hpp>
#include <chrono>
#include <cstdlib>
#include <fstream>
#include <functional>
#include <iostream>
#include <iterator>

#include "cluster/claim_row.h"
#include "cluster/request_claims.h"
#include "cluster/table_call.h"
#include "common/config_codec.h"
#include "common/config_entry.h"
#include "common/load_report.h"
#include "common/state_chart.h"
#include "gateway/header_rules.h"
#include "gateway/settings.h"
#include "gateway/table_codec.h"
#include "net/http_response_reader.h"
#include "rpc/convert.h"
#include "rpc/frame.h"

namespace jd {
namespace {

constexpr int kTestCount = 9;
using Bytes = std::string;

uint64_t EnvironmentNumber(const char* variable, uint64_t default_value) {
  const char* text = std::getenv(variable);
  return text == nullptr ? default_value : std::strtoull(text, nullptr, 10);
}

Bytes ReadFile(const std::string& path) {
  std::ifstream in(std::string(std::getenv("JACKDAWDECK_SOURCE")) + "/" + path);
  Bytes text(std::istreambuf_iterator<char>(in), {});
  REQUIRE_FALSE(text.empty());
  return text;
}

// Boundary values of numeric fields, and tokens of the parsed syntaxes.
const std::vector<Bytes>& ReplacementTokens() {
  static const std::vector<Bytes> tokens = {
      "-1",    "0",        "65536",   "2147483648", "9223372036854775808",
      "1e400", "0.5",      "null",    "true",       "\"\"",
      "[]",    "{}",       "[[",      "]",          "{",
      "}",     "\"",       "\\u00",   ",",          ";",
      "=",     "\r\n",     "\xff",    "\xc3",       "%2e%2e",
      "..",    "/",        "chunked", "nan",        "inf",
      " ",     Bytes(1, 0)};
  return tokens;
}

struct Edit {
  int kind;  // See ApplyEdit.
  size_t at;
  size_t size;
  char byte;
};

void ApplyEdit(const Edit& edit, Bytes* bytes) {
  const size_t at = bytes->empty() ? 0 : edit.at % bytes->size();
  const size_t size = std::min(edit.size, bytes->size() - at);
  switch (edit.kind) {
    case 0:
      bytes->insert(at, 1, edit.byte);
      break;
    case 1:
      bytes->replace(at, size > 0 ? 1 : 0, 1, edit.byte);
      break;
    case 2:
      bytes->erase(at, size);
      break;
    case 3:
      bytes->insert(at, bytes->substr(at, size));
      break;
    case 4:
      bytes->insert(at, ReplacementTokens()[edit.size % ReplacementTokens().size()]);
      break;
    case 5: {
      // Replaces the rest of a number or word by another value.
      const size_t end = bytes->find_first_of(",;\n}]\r\"", at);
      bytes->replace(at, end == Bytes::npos ? end : end - at,
                     ReplacementTokens()[edit.size % ReplacementTokens().size()]);
      break;
    }
    default:
      bytes->resize(at);
      break;
  }
}

rc::Gen<Bytes> MutatedSamples(const std::vector<Bytes>& samples) {
  const auto edit =
      rc::gen::map(rc::gen::tuple(rc::gen::inRange(0, 40), rc::gen::inRange<size_t>(0, 1 << 16),
                                  rc::gen::inRange<size_t>(0, 40), rc::gen::arbitrary<char>()),
                   [](const std::tuple<int, size_t, size_t, char>& values) {
                     const auto& [kind, at, size, byte] = values;
                     return Edit{kind == 39 ? 6 : kind % 6, at, size, byte};
                   });
  return rc::gen::map(
      rc::gen::pair(rc::gen::elementOf(samples), rc::gen::container<std::vector<Edit>>(edit)),
      [](const std::pair<Bytes, std::vector<Edit>>& chosen) {
        Bytes bytes = chosen.first;
        for (const Edit& edit : chosen.second) {
          ApplyEdit(edit, &bytes);
        }
        return bytes;
      });
}

Bytes Printable(const Bytes& bytes) {
  return nlohmann::json(bytes).dump(-1, ' ', true, nlohmann::json::error_handler_t::replace);
}

/// Runs `check` on generated inputs for this test's share of FUZZ_SECONDS. Fails if no input is
/// valid, because then only the first lines of the parser are reached, or if every input is valid.
/// @param check parses an input and returns whether it is valid. It catches the exceptions that the
/// parser may throw; the test fails on any other.
void Fuzz(const char* name,
          const std::vector<Bytes>& samples,
          const std::function<bool(const Bytes&)>& check) {
  const uint64_t seed = EnvironmentNumber("FUZZ_SEED", 20261204);
  const std::chrono::milliseconds limit(EnvironmentNumber("FUZZ_SECONDS", 60) * 1000 / kTestCount);
  const auto mutated = MutatedSamples(samples);
  const auto arbitrary = rc::gen::arbitrary<Bytes>();
  const auto start = std::chrono::steady_clock::now();
  uint64_t inputs = 0;
  uint64_t valid = 0;
  // Printed and flushed before the first input, so that the seed is known after a crash.
  std::cout << "fuzz: " << name << ", seed " << seed << std::endl;
  for (; std::chrono::steady_clock::now() - start < limit; ++inputs) {
    const int size = static_cast<int>(inputs % 12);
    const rc::Random random(seed + inputs);
    const Bytes bytes =
        (inputs % 8 == 7 ? arbitrary(random, 10 * size) : mutated(random, size)).value();
    INFO("seed " << seed << ", input " << inputs << ": " << Printable(bytes));
    try {
      valid += check(bytes) ? 1 : 0;
    } catch (const std::exception& error) {
      FAIL("threw " << error.what());
    }
  }
  std::cout << "fuzz: " << name << ", " << inputs << " inputs, " << valid << " valid\n";
  CHECK(valid > 0);
  CHECK(valid < inputs);
}

TEST_CASE("load report header", "[.fuzz]") {
  Fuzz("load report", {"in-flight=3;slots=4;state=warm", "in-flight=0;slots=64;state=draining"},
       [](const Bytes& bytes) {
         const auto report = ParseLoadReport(bytes, InstanceId("i"));
         if (report) {
           REQUIRE(ParseLoadReport(FormatLoadReport(*report), InstanceId("i")) == report);
           REQUIRE((report->in_flight >= 0 && report->slots >= 0));
         }
         return report.has_value();
       });
}

wire::Envelope ToEnvelope(const PeerMessage& message, const std::string& key) {
  RowPacker packer;
  return jd::ToEnvelope(message, key, &packer);
}

std::vector<Bytes> Frames() {
  SlotRequest request;
  request.pool = PoolId("records#0");
  request.held = {{EndpointId("records/1"), 3, 2, 40ms, 4}};
  EndpointEvidence evidence;
  evidence.endpoint = EndpointId("records/1");
  request.evidence = {evidence, evidence};
  SlotGrant grant;
  grant.pool = request.pool;
  grant.slots = {{EndpointId("records/1"), 1, 2, 4}};
  Heartbeat heartbeat;
  heartbeat.zone = ZoneId("gasabo");
  heartbeat.address = "127.0.0.1";
  ConfigEntries entries{ConfigVersion(1), "{}", {{ConfigVersion(2), "{}", "n", "a", WallTime()}}};
  TableUpdate update;
  update.table = "t";
  update.rows = {{"k", std::string(kMinPackedRowBytes, 'v'), 7, false}};
  std::vector<Bytes> frames;
  for (const auto& body : std::vector<decltype(PeerMessage::body)>{
           request, grant, heartbeat, entries, update, ConfigFetch{ConfigVersion(3)},
           UnrecordedZone{ZoneId("z"), true, ConfigVersion(1), {5, 1}, "a"}}) {
    frames.push_back(
        EncodeFrame(ToEnvelope(PeerMessage{GatewayId("g"), Incarnation(9), {1, 3}, body}, "key")));
  }
  return frames;
}

TEST_CASE("peer frames", "[.fuzz]") {
  Fuzz("peer frames", Frames(), [](const Bytes& bytes) {
    FrameReader reader;
    reader.Append(bytes.data(), bytes.size());
    bool valid = false;
    try {
      while (const auto envelope = reader.NextEnvelope()) {
        const ReceivedMessage received = FromEnvelope(*envelope);
        const auto encoded_again = std::visit(
            [](const auto& message) { return EncodeFrame(ToEnvelope(message, "key")); }, received);
        FrameReader second_reader;
        second_reader.Append(encoded_again.data(), encoded_again.size());
        // An accepted message can be encoded and decoded again.
        REQUIRE(FromEnvelope(second_reader.NextEnvelope().value()).index() == received.index());
        valid = true;
      }
    } catch (const FrameError&) {
    }
    return valid;
  });
}

Service SampleService() {
  Service service;
  service.id = ServiceId("s");
  service.profile = ProfileId("p");
  service.endpoints = {{EndpointId("e"), ZoneId("z"), "10.0.0.1", 80, 4, 100}};
  service.shares = {{WorkspaceId("w"), 1.5}};
  return service;
}

TEST_CASE("JSON configuration", "[.fuzz]") {
  Configuration configuration;
  configuration.version = ConfigVersion(7);
  configuration.zones[ZoneId("z")].id = ZoneId("z");
  configuration.workspaces[WorkspaceId("w")] = {WorkspaceId("w"), 2.0};
  configuration.profiles[ProfileId("p")].id = ProfileId("p");
  configuration.services[ServiceId("s")] = SampleService();
  ConfigErrors errors;
  REQUIRE(ConfigurationFromJson(ToJson(configuration), &errors));
  Fuzz("configuration", {ToJson(configuration)}, [](const Bytes& bytes) {
    ConfigErrors parse_errors;
    const auto parsed = ConfigurationFromJson(bytes, &parse_errors);
    REQUIRE(parsed.has_value() == parse_errors.empty());
    if (parsed) {
      REQUIRE(ConfigurationFromJson(ToJson(*parsed), &parse_errors) == parsed);
    }
    return parsed.has_value();
  });
}

TEST_CASE("log rows", "[.fuzz]") {
  Profile profile;
  profile.id = ProfileId("p");
  std::vector<Bytes> samples = {HeadValue(ConfigVersion(7))};
  for (const ConfigChange& change :
       {ConfigChange(SampleService()), ConfigChange(profile), ConfigChange(Zone{ZoneId("z")}),
        ConfigChange(Workspace{WorkspaceId("w")}),
        ConfigChange(Removal{{ObjectKind::kProfile, "p"}})}) {
    samples.push_back(
        ToLogRow({ConfigVersion(1), ToJson(change), "n", "a", WallTime(1s)}, ConfigVersion()));
    samples.push_back(ToJson(change));
  }
  Fuzz("log rows", samples, [](const Bytes& bytes) {
    ConfigErrors errors;
    VersionOfHead(bytes);
    VersionOfLogKey(bytes);
    ChangeFromJson(bytes, &errors);
    const ConfigVersion base = BaseOfLogRow(bytes);
    errors.clear();
    const auto entry = EntryFromLogRow(ConfigVersion(1), bytes, &errors);
    REQUIRE(entry.has_value() == errors.empty());
    if (entry) {
      REQUIRE(EntryFromLogRow(ConfigVersion(1), ToLogRow(*entry, base), &errors) == entry);
      try {
        const Configuration next = ApplyEntry(Configuration(), *entry);
        REQUIRE(next.version == ConfigVersion(1));
      } catch (const ConfigException&) {
      }
    }
    return entry.has_value();
  });
}

TEST_CASE("claim rows", "[.fuzz]") {
  const ClaimRow row{"g/1/2", Fingerprint(7), WallTime(5s), true, 201, "text/plain", "done", true};
  Fuzz("claim rows", {row.ToJson(), ClaimRow().ToJson()}, [](const Bytes& bytes) {
    const auto claim = ClaimRow::Parse(bytes);
    if (claim) {
      REQUIRE(ClaimRow::Parse(claim->ToJson()) == claim);
    }
    return claim.has_value();
  });
}

TEST_CASE("state charts", "[.fuzz]") {
  Fuzz("state charts", {Bytes(EmbeddedChart("attempt")), Bytes(EmbeddedChart("zone"))},
       [](const Bytes& bytes) {
         try {
           const StateChart chart = StateChart::Parse(bytes);
           StateChart::Machine machine(chart);
           for (const char* event : {"written", "answered", "taken_out", "cancel"}) {
             machine.Fire(event);
             const auto states = chart.states();
             REQUIRE(std::find(states.begin(), states.end(), machine.state()) != states.end());
           }
         } catch (const ChartError&) {
           return false;
         }
         return true;
       });
}

TEST_CASE("settings", "[.fuzz]") {
  Fuzz("settings", {ReadFile("examples/single.toml")}, [](const Bytes& bytes) {
    try {
      const Settings settings = ParseSettings(bytes, "f.toml");
      REQUIRE_FALSE(settings.id.empty());
    } catch (const SettingsError& error) {
      REQUIRE_FALSE(error.errors().empty());
      return false;
    }
    return true;
  });
}

TEST_CASE("header rules", "[.fuzz]") {
  const std::vector<Bytes> samples = {
      "/a/b?c\nHost: h\nContent-Length: 4\nConnection: close, x-a\nx-a: 1\nx-deadline-ms: 50",
      "/%2e/a\nTransfer-Encoding: chunked\nTE: trailers\nx-deadline-ms: 86400000"};
  Fuzz("header rules", samples, [](const Bytes& bytes) {
    evkeyvalq headers{};
    TAILQ_INIT(&headers);
    std::istringstream lines(bytes);
    Bytes target;
    std::getline(lines, target);
    for (Bytes line; std::getline(lines, line);) {
      const size_t colon = std::min(line.find(": "), line.size());
      evhttp_add_header(&headers, line.substr(0, colon).c_str(),
                        line.substr(std::min(colon + 2, line.size())).c_str());
      const auto deadline = ParseDeadline(line.substr(std::min(colon + 2, line.size())));
      REQUIRE((!deadline || (*deadline >= 0ms && *deadline <= 86400s)));
    }
    for (const auto& [name, value] : EndToEndHeaders(&headers)) {
      REQUIRE_FALSE((EqualsIgnoreCase(name, "connection") ||
                     EqualsIgnoreCase(name, "transfer-encoding") ||
                     EqualsIgnoreCase(name, "content-length")));
    }
    AnnouncesBody(&headers);
    const bool valid = FindRequestError(&headers, target).empty();
    evhttp_clear_headers(&headers);
    return valid;
  });
}

TEST_CASE("responses", "[.fuzz]") {
  const std::vector<Bytes> samples = {
      "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody",
      "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Hints\r\na: b\r\n\r\nHTTP/1.1 200 OK\r\n"
      "Transfer-Encoding: chunked\r\n\r\n2;x=y\r\nab\r\n0\r\nt: v\r\n\r\n",
      "HTTP/1.0 200 OK\r\n\r\nuntil the end"};
  constexpr HttpResponseLimits kLimits = {200, 1000};
  Fuzz("responses", samples, [&](const Bytes& bytes) {
    // The bytes arrive in two parts, and then the stream ends.
    HttpResponseReader reader(kLimits, false);
    const BufferPtr input(evbuffer_new());
    const size_t split = bytes.size() / 2;
    evbuffer_add(input.get(), bytes.data(), split);
    reader.Read(input.get());
    evbuffer_add(input.get(), bytes.data() + split, bytes.size() - split);
    const bool complete = reader.Read(input.get()) == HttpResponseReader::State::kComplete;
    const bool ended = reader.OnEndOfStream() == HttpResponseReader::State::kComplete;
    REQUIRE((!complete || ended));
    REQUIRE(ended == reader.error().empty());
    if (ended) {
      const HttpResponsePtr response = reader.TakeResponse();
      REQUIRE(response->status >= 200);
      REQUIRE(evbuffer_get_length(response->body.get()) <= 1000);
    }
    return ended;
  });
}

TEST_CASE("table replies", "[.fuzz]") {
  const std::vector<Bytes> samples = {
      R"({"versions":{"a":3,"b":4}})", R"({"key":"a","value":"v","version":3})",
      R"({"rows":[{"key":"a","value":"v","version":3}]})", R"({"conflicts":["a"]})",
      R"({"vms":[{"name":"g","role":"gateway","state":"live","zone":"z","address":"10.0.0.1",)"
      R"("port":7003}]})"};
  Fuzz("table replies", samples, [](const Bytes& bytes) {
    bool valid = false;
    const Bytes key = RequestClaims::RowKey(ServiceId("s"), WorkspaceId("w"), bytes);
    for (const TableRequest& request :
         {TableRequest(TableGet{key}), TableRequest(TableRange{key, key}),
          TableRequest(TableTransaction{{{key, 0}}, {{key, "v"}}, {key}})}) {
      REQUIRE_FALSE(ToHttpCall(request).target.empty());
      for (const int status : {200, 404, 409, 500, 503}) {
        const TableReply reply = ParseTableReply(request, status, bytes);
        // Only a complete response reports that a write took effect.
        REQUIRE((status == 200 || status == 404 || reply.status != TableStatus::kDone));
        valid = valid || (status == 200 && reply.status == TableStatus::kDone);
      }
    }
    try {
      ParseVmList(bytes);
      valid = true;
    } catch (const nlohmann::json::exception&) {
    }
    return valid;
  });
}

}  // namespace
}  // namespace jd
