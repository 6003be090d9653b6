#include "modules/peer_link/register_types.h"

#include "core/log.h"
#include "core/registry.h"
#include "modules/peer_link/peer_links.h"

namespace wigeonkeel
{

namespace
{

void stop(void *state)
{
    auto *links = static_cast<PeerLinks *>(state);
    links->sendConnection.disconnect();
    links->keepConnection.disconnect();
    delete links;
}

void *start(Kernel &kernel)
{
    auto links = std::make_unique<PeerLinks>(PeerLinks{.kernel = kernel,
        .options = {.self = kernel.scheduler.membership.options.self,
            .heartbeat = kernel.scheduler.membership.options.heartbeat},
        .random = {.value = kernel.scheduler.membership.options.self.incarnation},
        .sendConnection = {},
        .keepConnection = {}});
    std::string_view address = kernel.settings.text("peer_link.address");
    if (address.empty()) {
        address = kernel.settings.text("daemon.address");
    }
    const Error error
        = startLinks(*links, address, static_cast<std::uint16_t>(kernel.settings.integer("peer_link.port")));
    if (error) {
        logLine(LogLevel::Error, "peer_link", "{}", describe(error));
        return nullptr;
    }
    PeerLinks *state = links.release();
    state->sendConnection
        = kernel.signals.sendToPeer.connect([state](const SendToPeer &action) { sendToPeer(*state, action); });
    state->keepConnection
        = kernel.signals.keepPeer.connect([state](const KeepPeer &action) { keepPeer(*state, action); });
    return state;
}

} // namespace

void registerPeerLink(Registry &registry)
{
    registry.addSetting({.section = "peer_link",
        .key = "address",
        .description = "IP address to listen on for peers; empty for the daemon's own address."});
    registry.addSetting({.section = "peer_link",
        .key = "port",
        .type = SettingType::Integer,
        .defaultValue = "7102",
        .min = 1,
        .max = 65535,
        .description = "Port that peers reach this daemon at."});
    registry.add({.name = "peer_link", .level = PluginLevel::Drivers, .start = start, .stop = stop});
}

} // namespace wigeonkeel
