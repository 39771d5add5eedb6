#include <array>
#include <cstdio>
#include <exception>
#include <string_view>

#include "bench/decision_cost.h"
#include "bench/latency_rows.h"
#include "bench/ledger_rows.h"
#include "bench/process_usage.h"
#include "bench/report.h"

namespace {

struct Command {
  std::string_view name;
  int (*run)(int argc, char** argv);
};

// Each command parses its own arguments and has its own usage text; `argv[0]` is the command name.
constexpr std::array kCommands = {
    Command{"decision-cost", &jd::RunDecisionCost},
    Command{"added-latency", &jd::RunAddedLatency},
    Command{"tails", &jd::RunTails},
    Command{"usage", &jd::RunProcessUsage},
    Command{"ledger", &jd::RunLedgerRows},
    Command{"report", &jd::RunReport},
};

}  // namespace

int main(int argc, char** argv) {
  const std::string_view name = argc > 1 ? argv[1] : "";
  for (const Command& command : kCommands) {
    if (command.name == name) {
      try {
        return command.run(argc - 1, argv + 1);
      } catch (const std::exception& error) {
        std::fprintf(stderr, "jackdawdeck-bench: %s\n", error.what());
        return 1;
      }
    }
  }
  std::fprintf(stderr, "usage: jackdawdeck-bench COMMAND [OPTIONS]; commands:");
  for (const Command& command : kCommands) {
    std::fprintf(stderr, " %.*s", static_cast<int>(command.name.size()), command.name.data());
  }
  std::fprintf(stderr, "\n");
  return 2;
}
