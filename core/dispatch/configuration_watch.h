#pragma once

#include "core/clock.h"
#include "core/dispatch/peer_messages.h"

#include <cstdint>
#include <string_view>

namespace wigeonkeel::dispatch
{

struct Node;

/// Keeps a daemon's copy of the operator's settings up to date. The daemon watches the store; if another daemon has
/// reported a newer version for a while, it requests a copy from that daemon. This covers a store that is unresponsive,
/// or too slow over a small link, for one daemon only.

/// Reads the settings, or starts a watch that waits for them to change.
void tickConfiguration(Node &node, Now now);

/// Another daemon reported this version. Requests a copy if it is newer and the store has not delivered it for a while.
void handlePeerConfigurationVersion(Node &node, std::string_view other, std::uint64_t version, Now now);

/// Sends a copy to another daemon that requested one.
void handleConfigurationRequest(Node &node, std::string_view to, const ConfigurationRequest &request);

/// Applies a copy from another daemon if it is newer than the settings in force.
void handleConfigurationTransfer(Node &node, std::string_view from, const ConfigurationTransfer &transfer, Now now);

} // namespace wigeonkeel::dispatch
