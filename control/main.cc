#include "control/command.h"

int main(int argc, char** argv) {
  return jd::RunCommandLine({argv + 1, argv + argc});
}
