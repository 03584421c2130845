#include <iostream>

#include "adapter/wire.h"

int main() {
  std::ios::sync_with_stdio(false);
  std::cin.tie(nullptr);
  return marlquay::ServeWire(std::cin, std::cout, std::cerr);
}
