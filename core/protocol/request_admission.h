#pragma once

#include "core/clock.h"
#include "core/protocol/journal.h"
#include "core/protocol/requests.h"
#include "core/protocol/sessions.h"

#include <string>
#include <string_view>

namespace wigeonkeel
{

/// What is known about a key outside the request table.
struct AdmissionView
{
    /// Null if the journal doesn't list the key, or only an intent of this incarnation that it never acted on.
    const JournalEntry *recorded = nullptr;
    /// The journal and the sessions were read after the request came.
    bool journalFresh = false;
    bool sessionsFresh = false;
    WallTime journalFloor{};
    WallTime sessionFloor{};
    bool sessionOpen = false;
    WallTime sessionOpened{};
    bool hasTombstone = false;
    /// This daemon has no session, and a live peer could take the request instead.
    bool hasPeer = false;
    /// The daemons that were asked hold every worker of the VM list, and no worker left the list lately.
    bool allWorkersHeld = false;
};

enum class AdmissionStepKind : std::uint8_t {
    /// Nothing to do before the next event or tick.
    Wait,
    /// Ask for the journal and the sessions, then decide.
    Check,
    LookUp,
    /// Ask the peers that have not answered again.
    LookUpAgain,
    RecordIntent,
    /// Start it; the journal allows it.
    Start,
    /// Start it although the store has not confirmed the intent.
    StartFromMemory,
    /// Another daemon may run it from memory; this one may not.
    PassOn,
    /// A final answer, kept.
    Answer,
    /// An answer that is not kept: the next attempt is decided anew.
    Drop,
    /// Runs on a peer's worker; its owner reports the end.
    Adopt,
};

struct AdmissionStep
{
    AdmissionStepKind kind = AdmissionStepKind::Wait;
    Answer answer;
};

/// First step of a request that was just admitted. `denied`: a peer was told that it is not known here.
AdmissionStep firstStep(const RequestEntry &entry, bool denied, const RequestOptions &options, const Now &now);

/// Next step of a request that is checked, looked up or recorded.
AdmissionStep nextStep(
    const RequestEntry &entry, const AdmissionView &view, const RequestOptions &options, const Now &now);

/// True if every daemon that was asked has answered.
bool allAnswered(const RequestEntry &entry);

/// Takes note of a peer's answer to a lookup. A denial counts only from the incarnation that has the session.
void noteLookupReply(
    RequestEntry &entry, const LookupReplyMessage &reply, std::string_view peer, std::uint64_t incarnation);

} // namespace wigeonkeel
