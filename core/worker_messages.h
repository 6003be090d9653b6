#pragma once

#include "core/clock.h"
#include "core/task.h"

#include <cstdint>
#include <string>
#include <vector>

namespace wigeonkeel
{

enum class CommandKind : std::uint8_t {
    Start,
    /// Extends one lease; refused unless the named holder has it.
    Renew,
    /// Extends the leases of many tasks at once: of all requests if the label's kind is Request, otherwise of all
    /// tasks of other kinds. The owner task is left out.
    RenewAll,
    Stop,
    Checkpoint,
    Throttle,
    /// The end of a finished task was taken note of; the worker may forget it.
    Acknowledge,
};

/// One command in an exchange with a worker.
struct WorkerCommand
{
    /// Chosen by the sender; the result carries it back. 0 for renewals: nothing waits for their results by number.
    std::uint64_t sequence = 0;
    CommandKind kind = CommandKind::Start;
    TaskId task;
    /// End of the lease by the worker's clock (Start, Renew, RenewAll). A start that arrives later is not run.
    WorkerTime leaseUntil{};
    /// Daemon name and incarnation that the lease belongs to.
    std::string holder;
    /// Fencing token of the holder; 0 if it has none. Used only by workers with the ability `fencing`.
    std::uint64_t epoch = 0;
    TaskLabel label;
    Resources size;
    std::string payload;
    milliseconds declaredRunTime{0};
    /// Share of the declared size that a throttled task may use, in percent.
    std::uint32_t throttlePercent = 100;
};

enum class CommandStatus : std::uint8_t {
    Started,
    /// A task of this id is present; it was not started again.
    Exists,
    /// The lease had passed on arrival; nothing was started.
    Late,
    /// The worker did not start it; the detail says why.
    Refused,
    Renewed,
    NotFound,
    /// The lease belongs to another holder.
    NotHolder,
    Done,
};

std::string_view toString(CommandStatus status);
std::optional<CommandStatus> parseCommandStatus(std::string_view text);

struct CommandResult
{
    std::uint64_t sequence = 0;
    TaskId task;
    CommandStatus status = CommandStatus::Refused;
    /// Present holder of the lease.
    std::string holder;
    WorkerTime leaseUntil{};
    std::string detail;
};

/// A task as its worker reports it.
struct TaskReport
{
    TaskId id;
    TaskState state = TaskState::Running;
    TaskLabel label;
    Resources size;
    /// Measured use; lags by seconds and is zero until first measured.
    Resources usage;
    std::string holder;
    WorkerTime leaseUntil{};
    milliseconds ranFor{0};
    /// Whole length of the result in bytes; `result` holds all of it or nothing.
    std::uint64_t resultSize = 0;
    std::uint64_t resultDigest = 0;
    std::string result;
    std::string detail;
};

/// What a worker can do beyond running tasks under leases. Nothing else is assumed of it.
struct WorkerAbilities
{
    /// Refuses commands whose holder epoch is below the highest it has seen.
    bool fencing = false;
    /// Remembers finished task ids, so that a late start is answered Exists.
    bool finishedMemory = false;
    /// Takes the renewal of `owner` as a short call of its own.
    bool renewCall = false;
};

/// A worker's answer to an exchange, or a notice of changes.
struct WorkerReport
{
    std::string worker;
    /// Random at each start of the worker; a change means that every task on it has ended.
    std::uint64_t boot = 0;
    /// The worker's clock when it made the report.
    WorkerTime clock{};
    /// Changes of the worker so far; the next exchange asks for what came after.
    std::uint64_t sequence = 0;
    /// True if `tasks` lists every task that is present; otherwise only those that changed.
    bool full = false;
    /// True for the answer to an exchange, false for a notice of changes.
    bool answersExchange = false;
    Resources capacity;
    std::string rack;
    std::string zone;
    WorkerAbilities abilities;
    /// Highest fencing token seen; the next owner takes a higher one. 0 without the ability.
    std::uint64_t epoch = 0;
    std::vector<CommandResult> results;
    std::vector<TaskReport> tasks;
    /// When the exchange was sent and its answer received, by this daemon's clock.
    MonotonicTime sentAt{};
    MonotonicTime receivedAt{};
};

/// An exchange got no usable answer; any of its commands may have taken effect.
struct WorkerExchangeFailed
{
    std::string worker;
    std::vector<WorkerCommand> commands;
    std::string detail;
};

enum class VmState : std::uint8_t { Live, Leaving };

/// One row of the platform's VM list.
struct VmEntry
{
    std::string name;
    std::string address;
    std::uint16_t port = 0;
    std::string zone;
    std::string rack;
    VmState state = VmState::Live;
};

/// The platform's VM list as last read; it lags.
struct VmListUpdate
{
    std::vector<VmEntry> vms;
};

} // namespace wigeonkeel
