#include "modules/worker_http/register_types.h"

#include "core/kernel.h"
#include "core/registry.h"
#include "modules/worker_http/worker_link.h"

namespace wigeonkeel
{

namespace
{

void *start(Kernel &kernel)
{
    auto *links = new WorkerLinks{.loop = kernel.loop,
        .clock = kernel.clock,
        .emit = [&kernel](const Event &event) { post(kernel, event); },
        .links = {},
        .byteCounts = {.sent = &kernel.scheduler.counters.workerBytesSent,
            .received = &kernel.scheduler.counters.workerBytesReceived},
        .sendConnection = {},
        .forgetConnection = {}};
    links->exchangeTimeout = kernel.settings.duration("worker.exchange_timeout");
    links->changeWait = kernel.settings.duration("worker.change_wait");
    links->sendConnection = kernel.signals.sendToWorker.connect(
        [links, &counters = kernel.scheduler.counters](const SendToWorker &action) {
            ++counters.workerExchanges;
            sendExchange(*links, action);
        });
    links->forgetConnection = kernel.signals.forgetWorker.connect(
        [links](const ForgetWorker &action) { forgetWorker(*links, action.worker); });
    return links;
}

void stop(void *state)
{
    auto *links = static_cast<WorkerLinks *>(state);
    links->sendConnection.disconnect();
    links->forgetConnection.disconnect();
    delete links;
}

} // namespace

void registerWorkerHttp(Registry &registry)
{
    registry.addSetting({.section = "worker",
        .key = "exchange_timeout",
        .type = SettingType::Milliseconds,
        .unit = "ms",
        .defaultValue = "1000",
        .min = 10,
        .max = 60000,
        .description = "An exchange with a worker that takes longer is given up; its commands may have taken effect."});
    registry.addSetting({.section = "worker",
        .key = "change_wait",
        .type = SettingType::Milliseconds,
        .unit = "ms",
        .defaultValue = "10000",
        .min = 100,
        .max = 600000,
        .description = "How long a worker holds back its answer when nothing on it changes."});
    registry.add({.name = "worker_http", .level = PluginLevel::Drivers, .start = start, .stop = stop});
}

} // namespace wigeonkeel
