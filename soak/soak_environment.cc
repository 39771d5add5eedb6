#include "soak/soak_environment.h"

#include <sys/socket.h>
#include <unistd.h>

#include <nlohmann/json.hpp>
#include <random>
#include <stdexcept>

#include "common/random.h"
#include "standin/loopback.h"

namespace jd {
namespace {

using nlohmann::json;

// Nesting depth of an odd row; a row of 64 KB holds it.
constexpr size_t kNestedLevels = 20'000;
constexpr char kService[] = "soak-service";
// All ports are below the kernel's ephemeral range: an outgoing connection could otherwise take the
// port of a gateway that is down.
constexpr int kMinPort = 10'000;
constexpr int kMaxPort = 32'000;
constexpr int kPortsPerBlock = 512;
constexpr int kBlockCount = (kMaxPort - kMinPort) / kPortsPerBlock;

// Returns a socket that is bound to a loopback port, or -1 if the port is taken.
int BindPort(int port) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in address = Loopback(static_cast<uint16_t>(port));
  if (bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) == 0) {
    return fd;
  }
  close(fd);
  return -1;
}

// A block of ports for this run only. Its first port stays bound until the end, which keeps other
// runs at the same time from using the block.
class PortBlock {
 public:
  PortBlock() {
    const int start = std::uniform_int_distribution<int>(0, kBlockCount - 1)(random_);
    for (int i = 0; i < kBlockCount && lock_socket_ < 0; ++i) {
      first_ = kMinPort + (start + i) % kBlockCount * kPortsPerBlock;
      lock_socket_ = BindPort(first_);
    }
  }
  ~PortBlock() { close(lock_socket_); }
  PortBlock(const PortBlock&) = delete;
  PortBlock& operator=(const PortBlock&) = delete;

  uint16_t NextPort() {
    while (lock_socket_ >= 0 && ++used_ < kPortsPerBlock) {
      const int fd = BindPort(first_ + used_);
      if (fd >= 0) {
        close(fd);
        return static_cast<uint16_t>(first_ + used_);
      }
    }
    throw std::runtime_error("no port is free");
  }

 private:
  RandomEngine random_{std::random_device{}()};
  int lock_socket_ = -1;
  int first_ = 0;
  int used_ = 0;
};

json RouteJson(const std::string& name, const std::string& prefix, const char* kind) {
  return {{"name", name},      {"hostname", kSoakHost}, {"prefix", prefix},
          {"kind", kind},      {"timeout_ms", 1200},    {"target_latency_ms", 400},
          {"max_attempts", 3}, {"priority", 1},         {"service", kService}};
}

}  // namespace

std::string MakeSoakConfiguration(uint64_t version) {
  const json document = {{"config_version", version},
                         {"routes",
                          {RouteJson("read", kReadPrefix, "idempotent"),
                           RouteJson("write", kWritePrefix, "non_idempotent"),
                           RouteJson("version", VersionRoutePrefix(version), "idempotent")}},
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

std::string MakeSoakEndpointRow(const std::string& zone,
                                uint16_t port,
                                bool leaving,
                                uint64_t sequence) {
  const json document = {{"service", kService}, {"address", "127.0.0.1:" + std::to_string(port)},
                         {"zone", zone},        {"config_version", 1},
                         {"slots", 4},          {"state", leaving ? "draining" : "ready"},
                         {"warmup_left_ms", 0}, {"seq", sequence}};
  return document.dump();
}

std::string MakeOddRow(uint64_t pick) {
  const auto row_with = [](const std::string& field, const json& value) {
    json document = json::parse(MakeSoakEndpointRow("north", 1, false, 1));
    document[field] = value;
    return document.dump();
  };
  const std::vector<std::string> rows = {
      row_with("address", "ledger-7:8080"),
      row_with("address", "127.0.0:8080"),
      row_with("address", "127.0.0.1:70000"),
      row_with("slots", uint64_t{1} << 32),
      row_with("born", -1),
      row_with("zone", json::array({1, 2})),
      R"({"born":)" + std::string(kNestedLevels, '[') + std::string(kNestedLevels, ']') + "}",
      row_with("service", "unknown").substr(0, 40),
      std::string("\xff\x00\xfe", 3),
  };
  return rows[pick % rows.size()];
}

uint16_t NextFreePort() {
  static PortBlock block;
  return block.NextPort();
}

}  // namespace jd
