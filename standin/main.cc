#include <docopt/docopt.h>

#include <cstdio>
#include <exception>
#include <fstream>
#include <map>
#include <sstream>
#include <stdexcept>
#include <string>
#include <vector>

#include "standin/example.h"
#include "standin/http_command.h"
#include "standin/load_client.h"
#include "standin/platform_server.h"
#include "standin/upstream_server.h"

namespace {

constexpr char kUsage[] = R"(Test programs for jackdawdeck.

Usage:
  jackdawdeck-standin platform --port=N [--vm-lag-ms=N]
  jackdawdeck-standin upstream --config=FILE
  jackdawdeck-standin load (--targets=LIST | --platform=URL) [--services=LIST]
                      [--workspaces=LIST] [--rate=N] [--duration-s=N] [--count=N] [--seed=N]
                      [--get-share=X] [--key-share=X] [--key-header=NAME] [--latency-ms=X]
                      [--deadline-ms=N] [--timeout-ms=N] [--body-size=N] [--id-prefix=TEXT]
                      [--ledger=LIST] [--no-series] [--warm-up-s=N]
  jackdawdeck-standin example NAME --base-port=N --out=DIR [--gateways=N]
  jackdawdeck-standin http METHOD URL [--body=TEXT | --body-file=FILE] [--field=POINTER]
  jackdawdeck-standin field FILE POINTER
  jackdawdeck-standin keys FILE POINTER
  jackdawdeck-standin (-h | --help)

Options:
  --port=N           Port of the platform.
  --vm-lag-ms=N      Delay before a change of the VM list becomes visible [default: 0].
  --config=FILE      Settings of the upstream endpoints, JSON or TOML.
  --targets=LIST     Gateways to call, host:port separated by commas.
  --platform=URL     Platform whose balancer list names the gateways to call.
  --services=LIST    Services with weights, "a:2,b" [default: records].
  --workspaces=LIST  Workspaces with weights [default: hosting].
  --rate=N           Mean arrivals per second [default: 100].
  --duration-s=N     Seconds of arrivals [default: 10].
  --count=N          Number of requests; if 0, the duration is the limit [default: 0].
  --seed=N           Random seed of the requests and arrivals [default: 1].
  --get-share=X      Share of status reads; the rest are orders [default: 0.7].
  --key-share=X      Share of orders with a request key [default: 0].
  --key-header=NAME  Header of the request key [default: x-request-key].
  --latency-ms=X     One-way client latency, added twice to each reported latency [default: 0].
  --deadline-ms=N    Deadline sent with each request [default: 2000].
  --timeout-ms=N     Time after which an unanswered request counts as unknown [default: 5000].
  --body-size=N      Bytes added to the body of an order [default: 64].
  --id-prefix=TEXT   Prefix of each request id [default: load].
  --ledger=LIST      Control addresses of upstreams whose ledgers are compared with the results.
  --no-series        Leaves the results of each second out of the report.
  --warm-up-s=N      Seconds at the start that the report leaves out [default: 0].
  --base-port=N      First port of an example deployment.
  --out=DIR          Directory for the files of an example deployment.
  --gateways=N       Number of gateways [default: 3].
  --body=TEXT        Body of the request.
  --body-file=FILE   File with the body of the request.
  --field=POINTER    JSON pointer of the field to print.
)";

using Arguments = std::map<std::string, docopt::value>;

jd::Duration ParseMillis(const Arguments& arguments, const std::string& name) {
  return jd::Duration(static_cast<int64_t>(std::stod(arguments.at(name).asString()) * 1000));
}

jd::LoadSettings ParseLoadSettings(const Arguments& arguments) {
  const auto text = [&](const char* name) { return arguments.at(name).asString(); };
  jd::LoadSettings settings;
  if (arguments.at("--targets")) {
    for (const std::string& target : jd::SplitList(text("--targets"))) {
      settings.targets.push_back(jd::ParseHostPort(target));
    }
  } else {
    settings.platform = text("--platform");
  }
  settings.services = jd::ParseWeightedNames(text("--services"));
  settings.workspaces = jd::ParseWeightedNames(text("--workspaces"));
  settings.rate = std::stod(text("--rate"));
  settings.duration = jd::Duration(static_cast<int64_t>(std::stod(text("--duration-s")) * 1e6));
  settings.warm_up = jd::Duration(static_cast<int64_t>(std::stod(text("--warm-up-s")) * 1e6));
  settings.count = std::stoull(text("--count"));
  settings.seed = std::stoull(text("--seed"));
  settings.get_share = std::stod(text("--get-share"));
  settings.key_share = std::stod(text("--key-share"));
  settings.key_header = text("--key-header");
  settings.one_way_latency = ParseMillis(arguments, "--latency-ms");
  settings.deadline = ParseMillis(arguments, "--deadline-ms");
  settings.timeout = ParseMillis(arguments, "--timeout-ms");
  settings.body_size = std::stoull(text("--body-size"));
  settings.id_prefix = text("--id-prefix");
  settings.include_series = !arguments.at("--no-series").asBool();
  if (arguments.at("--ledger")) {
    settings.ledger_addresses = jd::SplitList(text("--ledger"));
  }
  return settings;
}

std::string ReadTextFile(const std::string& path) {
  std::ifstream file(path);
  std::ostringstream text;
  text << file.rdbuf();
  if (!file) {
    throw std::runtime_error("cannot read " + path);
  }
  return text.str();
}

int RunHttp(const Arguments& arguments) {
  std::string body;
  if (arguments.at("--body")) {
    body = arguments.at("--body").asString();
  } else if (arguments.at("--body-file")) {
    body = ReadTextFile(arguments.at("--body-file").asString());
  }
  return jd::RunHttpCommand(arguments.at("METHOD").asString(), arguments.at("URL").asString(), body,
                            arguments.at("--field") ? arguments.at("--field").asString() : "");
}

int RunCommand(const Arguments& arguments) {
  if (arguments.at("platform").asBool()) {
    return jd::RunPlatform(static_cast<uint16_t>(arguments.at("--port").asLong()),
                           ParseMillis(arguments, "--vm-lag-ms"));
  }
  if (arguments.at("upstream").asBool()) {
    const auto config = jd::ReadStandinFile(arguments.at("--config").asString());
    return jd::RunUpstream(jd::ParseUpstreamSettings(config));
  }
  if (arguments.at("example").asBool()) {
    const jd::ExamplePorts ports{static_cast<uint16_t>(arguments.at("--base-port").asLong())};
    return jd::WriteExample(arguments.at("NAME").asString(), ports,
                            static_cast<int>(arguments.at("--gateways").asLong()),
                            arguments.at("--out").asString());
  }
  if (arguments.at("http").asBool()) {
    return RunHttp(arguments);
  }
  if (arguments.at("keys").asBool()) {
    return jd::RunKeysCommand(arguments.at("FILE").asString(), arguments.at("POINTER").asString());
  }
  if (arguments.at("field").asBool()) {
    return jd::RunFieldCommand(arguments.at("FILE").asString(), arguments.at("POINTER").asString());
  }
  return jd::RunLoad(ParseLoadSettings(arguments));
}

}  // namespace

int main(int argc, char** argv) {
  try {
    return RunCommand(
        docopt::docopt(kUsage, std::vector<std::string>(argv + 1, argv + argc), true));
  } catch (const std::exception& error) {
    std::fprintf(stderr, "jackdawdeck-standin: %s\n", error.what());
    return 2;
  }
}
