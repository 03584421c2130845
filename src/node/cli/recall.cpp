#include "node/cli/recall.h"

#include <filesystem>
#include <optional>
#include <utility>

#include "common/diagnostics/log.h"

namespace pearreach::cli {
namespace {

// False: it is not this node's, and `why`.
bool Use(const knowledge::Memory& memory, const std::string& name, Node* node, std::string* why) {
  const std::int64_t now = g_get_real_time();
  auto recall = knowledge::ForNode(memory, node->site(), name, now, why);
  if (!recall) return false;
  const knowledge::Age age = knowledge::AgeOf(memory.written, now);
  Log("recalled", {{"workers", std::to_string(recall->workers.size())}},
      "recalled what was learned " +
          (age.unknown ? std::string("at an unknown time")
                       : std::to_string(age.age / kSecond) + " s ago") +
          " of " + std::to_string(recall->workers.size()) + " workers");
  node->RestoreKnowledge(std::move(*recall));
  return true;
}

}  // namespace

std::unique_ptr<knowledge::Saver> Remember(const OperatorSettings& settings, Node* node,
                                           const std::string& name, const std::string& handed) {
  std::string why;
  // What the process before this one has just said is younger than any file.
  const knowledge::Decoded said = knowledge::Decode(handed, {});
  bool known = said.memory && Use(*said.memory, name, node, &why);
  if (!settings.knowledge) return nullptr;
  const KnowledgeSettings& k = *settings.knowledge;
  knowledge::Key key;
  if (!k.key_file.empty()) key = knowledge::ReadKeyFile(k.key_file);
  std::error_code error;
  std::filesystem::create_directories(k.folder, error);
  knowledge::Folder folder(k.folder, name, key);
  const auto pass_over = [](const std::string& path, const std::string& why) {
    Count("knowledge_passed_over");
    Log("knowledge_passed_over", {{"file", path}}, path + ": " + why);
  };
  for (const auto& found : folder.Look()) {
    if (known) break;
    why = found.what.wrong;
    known = found.what.memory && Use(*found.what.memory, name, node, &why);
    if (!known) pass_over(found.path, why);
  }
  return std::make_unique<knowledge::Saver>(std::move(folder));
}

}  // namespace pearreach::cli
