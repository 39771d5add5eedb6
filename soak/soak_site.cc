#include "soak/soak_site.h"

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <nlohmann/json.hpp>
#include <random>
#include <stdexcept>

#include "common/random.h"

namespace jd {
namespace {

using nlohmann::json;

constexpr char kService[] = "soak-service";
// Below the ports that the kernel gives to connections, one of which could take the port of a
// gateway that is down.
constexpr int kLeastPort = 10'000;
constexpr int kGreatestPort = 32'000;
constexpr int kTries = 100;

json RouteJson(const std::string& name, const std::string& prefix, const char* kind) {
  return {{"name", name},      {"hostname", kHost},  {"prefix", prefix},
          {"kind", kind},      {"timeout_ms", 1200}, {"target_latency_ms", 400},
          {"max_attempts", 3}, {"priority", 1},      {"service", kService}};
}

}  // namespace

std::string SoakConfiguration(uint64_t version) {
  const json document = {{"config_version", version},
                         {"routes",
                          {RouteJson("read", kReadPrefix, "idempotent"),
                           RouteJson("write", kWritePrefix, "non_idempotent"),
                           RouteJson("version", VersionPrefix(version), "idempotent")}},
                         {"services",
                          {{{"name", kService},
                            {"health_path", "/health"},
                            {"max_connections", 260},
                            {"warmup_per_s", 5.3}}}},
                         {"limits",
                          {{"max_header_bytes", 8192},
                           {"max_body_bytes", 65536},
                           {"header_timeout_ms", 5000},
                           {"idle_timeout_ms", 20000}}}};
  return document.dump();
}

std::string SoakEndpointRow(const std::string& zone, uint16_t port, bool leaving, uint64_t beat) {
  const json document = {{"service", kService}, {"address", "127.0.0.1:" + std::to_string(port)},
                         {"zone", zone},        {"config_version", 1},
                         {"slots", 4},          {"state", leaving ? "draining" : "ready"},
                         {"warmup_left_ms", 0}, {"seq", beat}};
  return document.dump();
}

uint16_t FreePort() {
  static RandomEngine random(std::random_device{}());
  std::uniform_int_distribution<int> draw(kLeastPort, kGreatestPort);
  for (int tries = 0; tries < kTries; ++tries) {
    const auto port = static_cast<uint16_t>(draw(random));
    const int fd = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(port);
    const bool bound = bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0;
    close(fd);
    if (bound) {
      return port;
    }
  }
  throw std::runtime_error("no port is free");
}

}  // namespace jd
