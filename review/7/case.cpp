// QUOTA: one open connection between two gateways goes silent for good; both issue the tokens of
// the same tenant.
#include "quota.hpp"

using namespace kit;

int main(int, char** argv) {
  signal(SIGPIPE, SIG_IGN);
  Record record(std::string(argv[1]) + "/record.txt");
  const std::string folder = TemporaryFolder();
  Store store;
  QuotaTerms terms;
  terms.tenants = 3;
  terms.rate_per_s = 150;
  terms.asked_share = 0.6;
  terms.random_times = true;
  terms.ip = "127.1.0.1";  // Outside the network whose addresses the proxies replace.
  QuotaWorld world(terms, &record, &store);
  std::vector<std::unique_ptr<Gateway>> gateways;
  std::vector<std::unique_ptr<PeerProxy>> proxies;
  std::vector<Gateway*> list;
  for (int i = 0; i < 3; ++i) {
    GatewayOptions options;
    options.name = "edge-" + std::to_string(i);
    options.ip = kOwnNetwork + std::to_string(2 + i);
    gateways.push_back(std::make_unique<Gateway>(folder, store.OpenPortFor(options.name), options));
    proxies.push_back(std::make_unique<PeerProxy>(options.ip, gateways.back()->peers(), &record));
    gateways.back()->Start();
    list.push_back(gateways.back().get());
  }
  for (Gateway* gateway : list) {
    if (!gateway->WaitReady(20)) {
      std::printf("%s is not ready\n", gateway->name().c_str());
      Finish(kCouldNotRun, list, folder);
    }
  }
  SleepMs(6000);
  world.StartRequesters(list, 4);
  SleepMs(10000);
  if (Trouble()) {
    const int count = proxies[1]->Silence("edge-0");
    record.Line("the connection from edge-0 to edge-1 goes silent (%d connections)", count);
    if (count != 1) {
      std::printf("%d connections from edge-0 to edge-1, not one\n", count);
      Finish(kCouldNotRun, list, folder);
    }
  }
  SleepMs(40000);
  world.StopRequesters();
  const bool held = world.Check();
  Finish(held ? kHeld : kBroken, list, folder);
}
