#include <iostream>

#include "dispatch/simulator/wire.h"

int main() {
  std::ios::sync_with_stdio(false);
  std::cin.tie(nullptr);
  return pearreach::dispatch::ServeWire(std::cin, std::cout, std::cerr);
}
