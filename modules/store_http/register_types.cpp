#include "modules/store_http/register_types.h"

#include "core/kernel.h"
#include "core/registry.h"
#include "modules/store_http/store_client.h"

#include <array>

namespace wigeonkeel
{

namespace
{

void countCall(Counters &counters, StoreCallKind kind)
{
    static constexpr std::array<std::uint64_t Counters::*, 6> members = {&Counters::storeReads, &Counters::storeReads,
        &Counters::storeWrites, &Counters::storeWrites, &Counters::storeLeaseCalls, &Counters::storeLeaseCalls};
    ++(counters.*members.at(static_cast<std::size_t>(kind)));
}

struct StoreModule
{
    explicit StoreModule(Kernel &kernel)
        : client(kernel.loop, kernel.clock,
            {.address = std::string(kernel.settings.text("store.address")),
                .port = static_cast<std::uint16_t>(kernel.settings.integer("store.port")),
                .timeout = kernel.settings.duration("store.timeout"),
                .watchWait = kernel.settings.duration("store.watch_wait"),
                .maxCalls = static_cast<std::size_t>(kernel.settings.integer("store.max_calls")),
                .byteCounts = {.sent = &kernel.scheduler.counters.storeBytesSent,
                    .received = &kernel.scheduler.counters.storeBytesReceived},
                .watchesBegun = &kernel.scheduler.counters.storeWatches},
            [&kernel](const StoreEvent &event) {
                std::visit([&kernel](const auto &message) { post(kernel, message); }, event);
            })
        , calls(kernel.signals.storeCall.connect([this, &counters = kernel.scheduler.counters](const StoreCall &call) {
            countCall(counters, call.kind);
            callStore(client, call);
        }))
    {
        startWatch(client);
    }

    ~StoreModule() { calls.disconnect(); }

    StoreClient client;
    sigc::connection calls;
};

void *start(Kernel &kernel)
{
    // A daemon without a store runs: it is the state of a store that never answers.
    return new StoreModule(kernel);
}

void addSettings(Registry &registry)
{
    registry.addSetting({.section = "store",
        .key = "address",
        .defaultValue = "127.0.0.1",
        .description = "IP address of the platform's store."});
    registry.addSetting({.section = "store",
        .key = "port",
        .type = SettingType::Integer,
        .defaultValue = "7001",
        .min = 1,
        .max = 65535,
        .description = "Port of the platform's store."});
    registry.addSetting({.section = "store",
        .key = "timeout",
        .type = SettingType::Milliseconds,
        .unit = "ms",
        .defaultValue = "1000",
        .min = 10,
        .max = 60000,
        .description = "A call to the store that takes longer is given up; it may have taken effect."});
    registry.addSetting({.section = "store",
        .key = "watch_wait",
        .type = SettingType::Milliseconds,
        .unit = "ms",
        .defaultValue = "5000",
        .min = 100,
        .max = 600000,
        .description = "How long the store holds back its answer to the watch when nothing changes. A watch on a "
                       "connection that no longer delivers is noticed after this time and the timeout."});
    registry.addSetting({.section = "store",
        .key = "max_calls",
        .type = SettingType::Integer,
        .unit = "calls",
        .defaultValue = "8",
        .min = 1,
        .max = 256,
        .description = "Calls to the store that may be under way at one time; each uses a connection."});
}

} // namespace

void registerStoreHttp(Registry &registry)
{
    addSettings(registry);
    registry.add({.name = "store_http", .level = PluginLevel::Drivers, .start = start, .stop = [](void *state) {
                      delete static_cast<StoreModule *>(state);
                  }});
}

} // namespace wigeonkeel
