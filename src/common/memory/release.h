// Strings and their memory. Assigning an empty string, or shrinking, does not surely free what a
// string has allocated; these do.
#ifndef PEARREACH_SRC_COMMON_MEMORY_RELEASE_H_
#define PEARREACH_SRC_COMMON_MEMORY_RELEASE_H_

#include <cstddef>
#include <string>

namespace pearreach::memory {

// Empties the text and frees its memory.
inline void Release(std::string* text) { std::string().swap(*text); }

// Makes the capacity `bytes`, no more, where it is less: `reserve` may double it.
inline void GrowTo(std::size_t bytes, std::string* text) {
  if (bytes <= text->capacity()) return;
  std::string grown;
  grown.reserve(bytes);
  grown.append(*text);
  text->swap(grown);
}

}  // namespace pearreach::memory

#endif  // PEARREACH_SRC_COMMON_MEMORY_RELEASE_H_
