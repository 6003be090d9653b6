#pragma once

#include "core/action.h"
#include "core/caller_messages.h"
#include "core/clock.h"
#include "core/peer_messages.h"
#include "core/protocol/kept_memory.h"

#include <deque>
#include <map>
#include <span>
#include <string>
#include <vector>

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>

namespace wigeonkeel
{

/// Rules of the request protocol that tests switch off to show that a checker finds what they prevent.
struct RequestRules
{
    /// A non-idempotent request's start is sent to one worker, once.
    bool singleStart = true;
    /// A non-idempotent request is started only after the store has confirmed its intent.
    bool journalBeforeStart = true;
    /// A retry that is not in the journal is started only after every daemon with a session denied to know it.
    bool lookupBeforeRetry = true;
    /// A daemon that denied to know a key doesn't run it from memory later.
    bool tombstoneOnLookup = true;
    /// A retry from before the session floor is not started.
    bool sessionFloor = true;
};

struct RequestOptions
{
    /// This daemon, as stored in the labels of tasks.
    std::string home;
    /// Time that the store gets to confirm an intent before a first attempt is run from memory.
    milliseconds patience{300};
    /// Peers get this long to answer a lookup. With the patience it stays well within 1.9 s.
    milliseconds lookupTimeout{500};
    /// A peer that isn't ready is asked again after this time.
    milliseconds lookupRetry{150};
    /// Longest time between two rounds of the search for an idempotent request.
    milliseconds maxLookupRetry{1000};
    /// The search for an idempotent request ends after this time. Twice the time that a takeover takes.
    milliseconds searchTimeout{10000};
    /// A queued idempotent request may be started this long after it was found to run nowhere, whatever happened since:
    /// a daemon that is silent for less is still asked by its peers. Less than firstAttemptAge by the difference
    /// between the clocks of callers and daemons.
    milliseconds clearance{1400};
    /// A caller's clock may be ahead by this much when a request is run from memory. Less than the margin of the
    /// session floor, so that such a request is always below a floor that is raised after it was run.
    milliseconds memoryClockAhead{500};
    /// Submissions with a `created` further ahead are refused: the journal could not drop their entries in time.
    milliseconds maxClockAhead{60000};
    /// A first attempt younger than this has not been retried yet: callers wait at least 1.9 s.
    milliseconds firstAttemptAge{1900};
    std::size_t maxEntries = 200000;
    std::size_t maxTombstones = 200000;
    /// Ended requests are kept this long in memory.
    milliseconds keepAnswers{60000};
    /// Tombstones are kept as long as the journal keeps entries.
    milliseconds keepTombstones{900000};
    /// A caller is told to ask again after this time.
    milliseconds retryAfter{1000};
    /// Restarts of an idempotent request after a start that surely can't run any more.
    std::uint32_t maxStarts = 5;
    RequestRules rules;
};

enum class RequestPhase : std::uint8_t {
    /// Waits for a read of the journal and of the sessions.
    Checking,
    /// Waits for the peers' answers to a lookup.
    LookingUp,
    /// Waits for the store to confirm the intent.
    Recording,
    /// Waits for room.
    Queued,
    /// A start was sent; it may run.
    Starting,
    Running,
    /// The answer is final.
    Ended,
};

/// Somebody who waits for an answer: a caller, or a peer that forwarded the request.
struct Waiter
{
    CallerToken caller = 0;
    /// Empty for a caller.
    std::string peer;
    std::uint64_t exchange = 0;
    /// Wants the end; otherwise it is enough that the request was accepted.
    bool wait = true;
};

/// A daemon that was asked about a key.
struct LookupTarget
{
    /// Incarnation of its session; 0 if it has none.
    std::uint64_t incarnation = 0;
    bool answered = false;
    LookupStatus status = LookupStatus::NotReady;
    /// As in LookupReplyMessage.
    std::uint64_t heldWorkers = 0;
    bool unlisted = false;
};

/// A request at its home daemon.
struct RequestEntry
{
    Submission submission;
    RequestPhase phase = RequestPhase::Queued;
    Answer answer;
    MonotonicTime startBefore = MonotonicTime::max();
    std::vector<Waiter> waiting;
    std::uint32_t startCount = 0;
    std::string worker;
    /// Daemons that the request passed before it came here.
    std::uint32_t hops = 0;
    /// When the home admitted it.
    MonotonicTime admittedAt{};
    /// When the present phase began.
    MonotonicTime phaseSince{};
    MonotonicTime endedAt{};
    /// Only asked about; never started.
    bool queryOnly = false;
    /// The journal holds another incarnation's intent; never started here.
    bool takenByOther = false;
    /// Every daemon that could have started it denied that it did.
    bool cleared = false;
    /// An earlier start may have run; "not run" can't be said any more.
    bool mayHaveRun = false;
    /// A task that another incarnation started.
    bool adopted = false;
    bool cancelRequested = false;
    /// The end is in the journal, or needs no journal.
    bool saved = false;
    std::uint64_t journalRead = 0;
    std::uint64_t sessionsRead = 0;
    std::map<std::string, LookupTarget, std::less<>> lookups;
    MonotonicTime nextLookup{};
    /// First exchange of the present round of lookups; older replies say nothing about it.
    std::uint64_t lookupExchange = 0;
    std::uint32_t lookupRounds = 0;
    MonotonicTime lookupBegan{};
    /// When it was known last that the request runs nowhere: at the admission of a first attempt, or at the begin of
    /// the last round of lookups.
    MonotonicTime clearedAt{};
    /// What the entry is charged with.
    std::size_t bytes = 0;
};

struct RequestTable
{
    RequestOptions options;
    absl::flat_hash_map<RequestKey, RequestEntry> entries;
    KeptMemory memory{.limit = 512 << 20};
    /// Entries that wait for the journal, lookups or a check; looked at every tick.
    absl::flat_hash_set<RequestKey> undecided;
    /// Entries to be queued again.
    std::vector<RequestKey> restarts;
    /// Ended entries that are in the journal or need not be, oldest first. The others are kept until they are saved.
    std::deque<RequestKey> ended;
    /// What each waiting caller waits for.
    absl::flat_hash_map<CallerToken, RequestKey> callers;
    absl::flat_hash_map<RequestKey, MonotonicTime> tombstones;
    std::deque<std::pair<MonotonicTime, RequestKey>> tombstoneAges;
    /// Daemons that were told that a key is not known here; offers of its task by others are refused.
    absl::flat_hash_map<RequestKey, std::vector<std::string>> deniedTo;
};

/// True if the journal protects the request: a non-idempotent one of kind request.
bool isJournaled(const Submission &submission);

/// True if no daemon can have started the request: this is its first attempt, and it is too young to have been retried.
bool isFirstAttempt(const RequestOptions &options, const Submission &submission, const Now &now);

/// What a caller is told whose submission was not taken: not run if that is certain, otherwise unknown.
Answer makeRefusal(
    const RequestOptions &options, const Submission &submission, std::string_view reason, const Now &now);

/// Bytes that a submission takes until it has ended, without the entry that keeps it.
std::size_t submittedBytes(const Submission &submission);

/// Takes a submission or (`queryOnly`) a question. Returns the entry if it is new; a null entry was answered or joins
/// the one that is present.
RequestEntry *admitRequest(RequestTable &table, const Submission &submission, bool queryOnly, const Waiter &waiter,
    const Now &now, Actions &actions);

/// Changes the phase. Waiters who don't wait for the end are answered when the request is accepted.
void setPhase(RequestTable &table, const RequestKey &key, RequestPhase phase, const Now &now, Actions &actions);

/// Gives the final answer.
void endRequest(RequestTable &table, const RequestKey &key, Answer answer, const Now &now, Actions &actions);

/// Answers without keeping the answer, so that a later attempt is decided anew.
void dropRequest(RequestTable &table, const RequestKey &key, const Answer &answer, Actions &actions);

/// Takes note of what an owner says about the request's task. Returns true if the owner may forget the task.
bool updateRequest(RequestTable &table, const TaskUpdateMessage &update, const Now &now, Actions &actions);

/// A caller has closed the connection: nobody is answered there.
void dropCaller(RequestTable &table, CallerToken caller);

/// The journal has the outcome of an ended request; it may be evicted from now on.
void noteSaved(RequestTable &table, const RequestKey &key);

/// The task to start for a queued request.
TaskSpec taskOf(const RequestTable &table, const RequestKey &key, const RequestEntry &entry);

/// Forbids to run a key from memory. False if there is no room for it.
bool addTombstone(RequestTable &table, const RequestKey &key, const Now &now);

/// Remembers that a daemon was told that the key is not known here. Needs a tombstone for the key.
void noteDenied(RequestTable &table, const RequestKey &key, std::string_view asker);

/// True if a daemon may not have its task of this key started here: another one was told since that it is not known.
bool isDenied(const RequestTable &table, const RequestKey &key, std::string_view from);

/// True if the request is idempotent and not a job.
bool isSearched(const Submission &submission);

/// Drops ended entries and tombstones that have been kept long enough.
void evictRequests(RequestTable &table, const Now &now);

/// True if nothing is queued or running.
bool isIdle(const RequestTable &table);

/// Sends an answer to a caller, or in chunks to a peer.
void sendAnswer(const Waiter &waiter, const Answer &answer, Actions &actions);

} // namespace wigeonkeel
