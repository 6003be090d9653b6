#pragma once

#include "core/log.h"
#include "core/registry.h"

#include <algorithm>
#include <span>
#include <utility>
#include <vector>

namespace wigeonkeel
{

/// The started plug-ins of a kernel; stops them in the reverse order.
template <typename KernelType>
class RunningPluginsOf
{
public:
    RunningPluginsOf(KernelType &kernel, std::span<const PluginOf<KernelType>> plugins)
        : m_kernel(kernel)
        , m_plugins(plugins.begin(), plugins.end())
    {
        std::ranges::stable_sort(m_plugins, {}, &PluginOf<KernelType>::level);
    }
    ~RunningPluginsOf()
    {
        while (!m_running.empty()) {
            const auto [plugin, state] = m_running.back();
            m_running.pop_back();
            plugin.stop(state);
        }
    }
    RunningPluginsOf(const RunningPluginsOf &) = delete;
    RunningPluginsOf &operator=(const RunningPluginsOf &) = delete;

    /// Starts all plug-ins, level by level. False if one could not start; the reason was logged.
    bool start()
    {
        for (const PluginOf<KernelType> &plugin : m_plugins) {
            void *state = plugin.start(m_kernel);
            if (state == nullptr) {
                logLine(LogLevel::Error, "main", "Module {} could not start.", plugin.name);
                return false;
            }
            m_running.emplace_back(plugin, state);
        }
        return true;
    }

    /// Tells all plug-ins to take no new connections from callers.
    void stopAccepting()
    {
        for (const auto &[plugin, state] : m_running) {
            if (plugin.stopAccepting != nullptr) {
                plugin.stopAccepting(state);
            }
        }
    }

    /// True while a plug-in still carries something out.
    bool isBusy() const
    {
        return std::ranges::any_of(m_running, [](const auto &running) {
            return running.first.isBusy != nullptr && running.first.isBusy(running.second);
        });
    }

private:
    KernelType &m_kernel;
    std::vector<PluginOf<KernelType>> m_plugins;
    std::vector<std::pair<PluginOf<KernelType>, void *>> m_running;
};

} // namespace wigeonkeel
