#include <cstdio>

int main() {
  std::puts("jackdawdeck-standin: no command given");
  return 2;
}
