#include "control/command.h"

int main(int argc, char** argv) {
  return static_cast<int>(jd::RunCommandLine({argv + 1, argv + argc}));
}
