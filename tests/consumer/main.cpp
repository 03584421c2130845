// A tiny project that uses an installed copy.
#include "pearreach/dispatcher.h"

int main() {
  pearreach::dispatch::Settings settings;
  settings.classes.resize(1);
  if (!pearreach::dispatch::ValidateSettings(settings).empty()) return 1;
  pearreach::dispatch::Dispatcher dispatcher(settings, 1, 0);
  return dispatcher.KnownWorkers() == 0 ? 0 : 1;
}
