#include <docopt/docopt.h>

#include <cstdio>
#include <exception>
#include <filesystem>
#include <string>
#include <vector>

#include "soak/soak.h"

namespace {

constexpr char kUsage[] = R"(Randomized fault soak of jackdawdeck.

Starts gateways as processes, injects faults from outside them and checks their guarantees. Prints
each fault and each violated guarantee. Exits with 1 if a guarantee was violated.

Usage:
  jackdawdeck-soak --program=FILE --out=DIR [--seed=N] [--seconds=N] [--gateways=N] [--endpoints=N]
  jackdawdeck-soak (-h | --help)

Options:
  --program=FILE  Path of the jackdawdeck program.
  --out=DIR       Directory for settings files and logs; created if missing.
  --seed=N        Random seed of the faults and the load [default: 1].
  --seconds=N     Length of the phase with faults [default: 20].
  --gateways=N    Number of gateways [default: 5].
  --endpoints=N   Number of upstream servers [default: 9].
)";

}  // namespace

int main(int argc, char** argv) {
  try {
    const auto arguments =
        docopt::docopt(kUsage, std::vector<std::string>(argv + 1, argv + argc), true);
    jd::SoakSettings settings;
    settings.seed = std::stoull(arguments.at("--seed").asString());
    settings.duration = std::chrono::seconds(arguments.at("--seconds").asLong());
    settings.gateways = static_cast<int>(arguments.at("--gateways").asLong());
    settings.endpoints = static_cast<int>(arguments.at("--endpoints").asLong());
    settings.program = arguments.at("--program").asString();
    settings.directory = arguments.at("--out").asString();
    std::filesystem::create_directories(settings.directory);
    const jd::EventBasePtr base = jd::MakeStandinBase();
    jd::Soak soak(base.get(), settings);
    const std::vector<std::string>& violations = soak.Run();
    for (const std::string& violation : violations) {
      std::printf("VIOLATION %s\n", violation.c_str());
    }
    std::printf("seed %llu: %zu faults, %zu requests, %zu served, %zu refused, %zu violations\n",
                static_cast<unsigned long long>(settings.seed), soak.faults(),
                soak.checker().sent(), soak.checker().served(), soak.checker().refused(),
                violations.size());
    return violations.empty() ? 0 : 1;
  } catch (const std::exception& error) {
    std::fprintf(stderr, "jackdawdeck-soak: %s\n", error.what());
    return 2;
  }
}
