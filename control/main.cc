#include <cstdio>

int main() {
  std::puts("jackdawdeck: no command given");
  return 2;
}
