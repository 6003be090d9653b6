#pragma once

#include "core/clock.h"
#include "core/error.h"
#include "core/settings.h"

#include <cstdint>
#include <string>
#include <vector>

namespace wigeonkeel
{

/// Names an operator's open connection at the front end that took it.
using OperatorToken = std::uint64_t;

enum class OperatorCommandKind : std::uint8_t { Apply, Cancel, Resume, Show, History };

/// A change or a question about an operator's settings.
struct OperatorEvent
{
    OperatorToken token = 0;
    OperatorCommandKind kind = OperatorCommandKind::Show;
    std::string operatorName;
    /// Who asks, for the audit trail.
    std::string author;
    /// The whole INI text (Apply).
    std::string settings;
    /// Generation that the change was made against.
    std::uint64_t basedOn = 0;
    /// Unique id of this write, chosen by the caller; settles a lost answer.
    std::string writeId;
    /// Answer only when in force on every live daemon, or when this has passed; 0 answers at once.
    milliseconds waitFor{0};
};

/// One entry of the audit trail.
struct AuditEntry
{
    WallTime at{};
    std::string author;
    std::string action;
    std::string writeId;
    std::uint64_t generationBefore = 0;
    std::uint64_t generationAfter = 0;
    /// Empty if accepted, otherwise why it was refused.
    std::string refusal;
    /// Lines taken out and put in, prefixed by '-' and '+'; cut at a registered limit.
    std::string difference;
};

struct OperatorReply
{
    OperatorToken token = 0;
    Error error;
    std::uint64_t generation = 0;
    bool cancelled = false;
    std::string settings;
    /// What is wrong with refused settings, or what a newer schema no longer knows of accepted ones.
    std::vector<SettingProblem> problems;
    /// Of a conflict: the changes made since the generation that the refused change was based on.
    std::vector<AuditEntry> history;
    /// The store did not answer; the reply is what this daemon has in force.
    bool fromMemory = false;
    /// Daemons on which the change is not yet in force (only with waitFor).
    std::vector<std::string> pendingDaemons;
    /// Store revision of the change.
    std::uint64_t revision = 0;
};

} // namespace wigeonkeel
