#pragma once

#include "core/kernel.h"
#include "core/running_plugins.h"

#include <vector>

namespace wigeonkeel
{

/// Settings of the kernel and of all registered modules.
std::vector<SettingSpec> settingsTable(const Registry &registry);

/// Checks a daemon's INI text, also across settings (lease against heartbeat).
Settings parseDaemonSettings(
    std::string_view text, std::span<const SettingSpec> table, std::vector<SettingProblem> &problems);

/// The scheduler's state as the settings describe it, with the policies made.
Scheduler makeScheduler(const Settings &settings, const Registry &registry, const Clock &clock);

using RunningPlugins = RunningPluginsOf<Kernel>;

} // namespace wigeonkeel
