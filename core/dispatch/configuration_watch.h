#pragma once

#include "core/clock.h"
#include "core/dispatch/peer_messages.h"

#include <cstdint>
#include <string_view>

namespace wigeonkeel::dispatch
{

struct Node;

/// How a daemon comes by the operator's settings: one watch on the store and, when another daemon has shown newer ones
/// for a while, a copy from that daemon. Pattern: a store that is silent, or too slow over a small link, for one daemon
/// only.

/// Reads the settings or waits for a change of them.
void tickConfiguration(Node &node, Now now);

/// Another daemon has this version; it is asked for a copy if the store has not brought it for a while.
void noteConfigurationOf(Node &node, std::string_view other, std::uint64_t version, Now now);

/// Another daemon asks for a copy.
void sendConfiguration(Node &node, std::string_view to, const ConfigurationRequest &request);

/// A copy from another daemon. Never takes settings back.
void takeConfigurationCopy(Node &node, std::string_view from, const ConfigurationTransfer &transfer, Now now);

} // namespace wigeonkeel::dispatch
