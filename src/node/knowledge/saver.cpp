#include "node/knowledge/saver.h"

#include <utility>

namespace pearreach::knowledge {

Saver::Saver(Folder folder) : folder_(std::move(folder)), thread_([this] { Work(); }) {}

Saver::~Saver() {
  {
    const std::lock_guard lock(mutex_);
    stop_ = true;
  }
  given_.notify_one();
  thread_.join();
}

void Saver::Save(Memory memory) {
  {
    const std::lock_guard lock(mutex_);
    next_ = std::move(memory);
  }
  given_.notify_one();
}

Saver::Figures Saver::figures() const {
  const std::lock_guard lock(mutex_);
  return figures_;
}

void Saver::Work() {
  std::unique_lock lock(mutex_);
  for (;;) {
    given_.wait(lock, [this] { return next_ || stop_; });
    if (!next_) return;
    const Memory memory = std::move(*std::exchange(next_, std::nullopt));
    lock.unlock();
    std::string wrong = folder_.Save(memory);
    lock.lock();
    ++(wrong.empty() ? figures_.saved : figures_.failed);
    if (!wrong.empty()) figures_.wrong = std::move(wrong);
  }
}

}  // namespace pearreach::knowledge
