#pragma once

#include "core/action.h"
#include "core/clock.h"
#include "core/peer_messages.h"
#include "core/store_messages.h"
#include "core/worker_messages.h"

#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace wigeonkeel
{

/// A daemon incarnation that may have run requests that are not in the journal.
struct Session
{
    std::string daemon;
    std::string address;
    /// Port for peers; 0 if not known.
    std::uint16_t port = 0;
    std::uint64_t incarnation = 0;
};

/// The store's record `w/sessions`.
struct SessionRecord
{
    /// A request from before this that is not in the journal may have been run by a daemon that has failed.
    WallTime floor{};
    std::vector<Session> sessions;
};

inline constexpr std::string_view sessionsKey = "w/sessions";

struct SessionOptions
{
    PeerInfo self;
    std::uint64_t callIdBase = 0;
    /// A VM that the VM list has not contained for this long is gone.
    milliseconds vmListLag{30000};
    /// The floor is raised this far past the clock, which covers differences between the daemons' clocks.
    milliseconds floorMargin{1000};
    milliseconds callTimeout{2000};
    milliseconds retryDelay{500};
    /// The record is read again after this time, so that the sessions of failed daemons are found without a watch.
    milliseconds refreshInterval{10000};
};

enum class SessionCallState : std::uint8_t { Idle, Reading, Writing };

struct SessionTable
{
    SessionOptions options;
    SessionRecord record;
    SessionRecord proposed;
    std::uint64_t version = 0;
    bool loaded = false;
    /// The store has confirmed this daemon's session.
    bool open = false;
    /// When it was confirmed. Other daemons that read the record earlier don't ask this one.
    WallTime opened{};
    /// The daemon shuts down: the session is to be removed.
    bool closing = false;
    SessionCallState state = SessionCallState::Idle;
    std::uint64_t callId = 0;
    std::uint64_t nextCall = 1;
    MonotonicTime sentAt{};
    MonotonicTime nextTry{};
    MonotonicTime nextRefresh{};
    bool readWanted = false;
    std::uint64_t readsSent = 0;
    std::uint64_t readsDone = 0;
    /// Addresses of sessions that the VM list doesn't contain, and since when.
    std::map<std::string, MonotonicTime, std::less<>> missingSince;
};

/// Asks for a read that is sent from now on. Returns the number to compare with `readsDone`.
std::uint64_t requestSessionsRead(SessionTable &table);

void onSessionsReply(SessionTable &table, const StoreReply &reply, const Now &now, Actions &actions);

/// Takes over the record as the watch on the store reports it.
void onSessionsChanged(SessionTable &table, const StoreEntry &entry);

/// Takes note of which sessions' VMs the VM list contains. Nothing is concluded from a list without this daemon's own
/// address, because such a list doesn't cover entry VMs.
void noteVmList(SessionTable &table, std::span<const VmEntry> vms, const Now &now);

/// Opens, closes and resolves sessions, and ends calls without an answer.
void tickSessions(SessionTable &table, const Now &now, Actions &actions);

/// True if this daemon's session is not in the record any more.
bool isClosed(const SessionTable &table);

} // namespace wigeonkeel
