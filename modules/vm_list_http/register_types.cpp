#include "modules/vm_list_http/register_types.h"

#include "core/kernel.h"
#include "core/registry.h"
#include "modules/vm_list_http/vm_list_reader.h"

namespace wigeonkeel
{

void registerVmListHttp(Registry &registry)
{
    registry.addSetting({.section = "vm_list",
        .key = "address",
        .required = true,
        .description = "IP address of the platform's VM list."});
    registry.addSetting({.section = "vm_list",
        .key = "port",
        .type = SettingType::Integer,
        .defaultValue = "7002",
        .min = 1,
        .max = 65535,
        .description = "Port of the platform's VM list."});
    registry.addSetting({.section = "vm_list",
        .key = "interval",
        .type = SettingType::Milliseconds,
        .unit = "ms",
        .defaultValue = "1000",
        .min = 50,
        .max = 60000,
        .description = "Interval at which the VM list is read."});
    registry.add({.name = "vm_list_http",
        .level = PluginLevel::Drivers,
        .start = [](Kernel &kernel) -> void * {
            return new VmListReader(kernel.loop,
                {.address = std::string(kernel.settings.text("vm_list.address")),
                    .port = static_cast<std::uint16_t>(kernel.settings.integer("vm_list.port")),
                    .interval = kernel.settings.duration("vm_list.interval"),
                    .reader = std::string(kernel.settings.text("daemon.name")),
                    .byteCounts = {.sent = &kernel.scheduler.counters.vmListBytesSent,
                        .received = &kernel.scheduler.counters.vmListBytesReceived},
                    .readsBegun = &kernel.scheduler.counters.vmListReads},
                [&kernel](const VmListUpdate &update) { post(kernel, update); });
        },
        .stop = [](void *state) { delete static_cast<VmListReader *>(state); }});
}

} // namespace wigeonkeel
