// A hash that gives all nodes the same pseudo-random choices.
#ifndef PEARREACH_SRC_NODE_ZONES_MIX_H_
#define PEARREACH_SRC_NODE_ZONES_MIX_H_

#include <cstdint>

namespace pearreach::zones {

inline std::uint64_t Mix(std::uint64_t x) {  // splitmix64
  x += 0x9e3779b97f4a7c15u;
  x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9u;
  x = (x ^ (x >> 27)) * 0x94d049bb133111ebu;
  return x ^ (x >> 31);
}

}  // namespace pearreach::zones

#endif  // PEARREACH_SRC_NODE_ZONES_MIX_H_
