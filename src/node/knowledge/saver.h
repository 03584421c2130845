// Writes what a node learns, off its loop: the newest memory given waits for the thread, one that
// comes before the last was begun replaces it. It owns that thread; it must never make the loop
// wait for the disk, but at the end, nor say that something is kept which is not.
#ifndef PEARREACH_SRC_NODE_KNOWLEDGE_SAVER_H_
#define PEARREACH_SRC_NODE_KNOWLEDGE_SAVER_H_

#include <condition_variable>
#include <cstdint>
#include <mutex>
#include <optional>
#include <string>
#include <thread>

#include "node/knowledge/file.h"

namespace pearreach::knowledge {

class Saver {
 public:
  explicit Saver(Folder folder);
  ~Saver();  // after what was given last is written, or has failed
  Saver(const Saver&) = delete;
  Saver& operator=(const Saver&) = delete;

  void Save(Memory memory);

  struct Figures {
    std::uint64_t saved = 0, failed = 0;
    std::string wrong;  // of the last failure
  };
  Figures figures() const;

 private:
  void Work();

  Folder folder_;
  mutable std::mutex mutex_;
  std::condition_variable given_;
  std::optional<Memory> next_;
  bool stop_ = false;
  Figures figures_;
  std::thread thread_;
};

}  // namespace pearreach::knowledge

#endif  // PEARREACH_SRC_NODE_KNOWLEDGE_SAVER_H_
