// A stand-in of the translation memory: which job took effect how often, and the highest fence that
// was met for it. A file that several worker processes write at once and that outlives each of them
// being killed (not the machine's loss of power). It owns the file; it must never count an
// application that it has not written.
#ifndef PEARREACH_LAB_CHAOS_MEMORY_H_
#define PEARREACH_LAB_CHAOS_MEMORY_H_

#include <cstdint>
#include <map>
#include <string>

struct sqlite3;

namespace pearreach::lab {

class TranslationMemory {
 public:
  struct Entry {
    int applied = 0;
    std::uint64_t seen = 0;
  };

  explicit TranslationMemory(const std::string& path);  // throws std::runtime_error
  ~TranslationMemory();
  TranslationMemory(const TranslationMemory&) = delete;
  TranslationMemory& operator=(const TranslationMemory&) = delete;

  // False: a higher fence has been met, and what comes with this one must not be taken.
  bool Meet(const std::string& job, std::uint64_t fence);
  // The job takes effect. With fences: once, and only under the highest one that was met; true: it
  // has taken effect, now or before.
  bool Apply(const std::string& job, std::uint64_t fence, bool fences);
  std::map<std::string, Entry> All();

 private:
  Entry Read(const std::string& job);
  void Write(const std::string& job, const Entry& entry);
  void Run(const char* sql);

  sqlite3* db_ = nullptr;
};

}  // namespace pearreach::lab

#endif  // PEARREACH_LAB_CHAOS_MEMORY_H_
