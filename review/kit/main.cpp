// Runs one case of the review: reviewkit CASE REPOSITORY FOLDER RECORD
// Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
// With TROUBLE=0 in the environment the case runs without its disruption.
#include <cstdlib>
#include <iostream>

#include "cases.hpp"

namespace {

// Ends the test if it hangs; the gateways are ended by run.sh then.
void StartWatchdog() {
  std::thread([] {
    kit::SleepMs(115'000);
    std::cerr << "the case took too long\n";
    _exit(2);
  }).detach();
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 5) {
    std::cerr << "usage: reviewkit CASE REPOSITORY FOLDER RECORD\n";
    return 2;
  }
  signal(SIGPIPE, SIG_IGN);
  kit::NowMs();
  StartWatchdog();
  const char* trouble = std::getenv("TROUBLE");
  kit::Recorder record(argv[4]);
  kit::Setup setup{{argv[2], argv[3]}, &record, trouble == nullptr || std::string(trouble) != "0"};
  const auto& cases = kit::Cases();
  const auto found = cases.find(argv[1]);
  if (found == cases.end()) {
    std::cerr << "no such case\n";
    return 2;
  }
  const int result = found->second(setup);
  record.Add("result " + std::to_string(result));
  std::cout << (result == 0 ? "held" : result == 1 ? "BROKEN" : "could not run") << "\n";
  std::cout.flush();
  _exit(result);
}
