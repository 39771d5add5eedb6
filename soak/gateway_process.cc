#include "soak/gateway_process.h"

#include <fstream>
#include <utility>

namespace jd {

GatewayProcess::GatewayProcess(const std::string& program,
                               const std::string& directory,
                               GatewayConfig config)
    : config_(std::move(config)) {
  const std::string settings = directory + "/" + config_.name + ".toml";
  command_.argv = {program, "gateway", "--config", settings};
  command_.log = directory + "/" + config_.name + ".log";
  std::ofstream(settings) << "[gateway]\nid = \"" << config_.name << "\"\nzone = \"" << config_.zone
                          << "\"\npolicy = \"fresh_load\"\ngrace_ms = 3000\nevent_ring = 0\n"
                          << "[callers]\nlisten = \"127.0.0.1:" << config_.callers_port << "\"\n"
                          << "[status]\nlisten = \"127.0.0.1:" << config_.status_port << "\"\n"
                          << "[peers]\naddress = \"127.0.0.1\"\nport = " << config_.peer_port
                          << "\nshared_key = \"key-of-the-soak-on-loopback\"\n"
                          << "[platform]\nserver = \"127.0.0.1:" << config_.store_port
                          << "\"\nsource = \"discovery\"\n"
                          << "[retries]\nshare = 0.2\nwindow_s = 10\n[probes]\nper_second = 60\n";
}

}  // namespace jd
