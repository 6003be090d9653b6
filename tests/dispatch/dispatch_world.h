#pragma once

#include "core/dispatch/node.h"
#include "core/routing/random.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <set>
#include <string>
#include <vector>

namespace wigeonkeel::dispatch
{

/// A run on a simulated worker.
struct WorldRun
{
    TaskKey task;
    std::uint32_t attempt = 0;
    Resources size;
    std::string checkpoint;
    milliseconds work{0};
    milliseconds done{0};
    bool willFail = false;
};

/// A simulated worker that follows the platform's contract: leases, fencing tokens, attempts, lists.
struct WorldWorker
{
    WorkerEntry entry;
    bool up = true;
    /// Orders and renewals are neither carried out nor answered.
    bool unresponsive = false;
    /// Renewals are carried out but not answered.
    bool dropsReplies = false;
    /// The directory doesn't list it.
    bool unlisted = false;
    /// Fails all that it starts.
    bool failsAll = false;
    /// Runs make no progress.
    bool stalled = false;
    /// Time that a stop takes.
    milliseconds stopTime{200};
    /// Daemons whose links to the worker are cut.
    std::set<std::size_t> unreachableFrom;
    std::uint64_t token = 0;
    std::vector<WorldRun> runs;
    std::vector<EndedTask> ends;
    std::uint64_t lastNumber = 0;
    milliseconds leaseUntil{0};
    std::map<TaskKey, std::uint32_t> stoppedAttempts;
    /// Renewals that wait for a run to end, with the name of the daemon that sent them.
    std::vector<std::pair<std::string, RenewWorker>> waitingRenewals;
};

struct WorldItem
{
    std::string value;
    std::uint64_t revision = 0;
    std::uint64_t lease = 0;
};

/// The platform's store, with simulated faults.
struct WorldStore
{
    std::map<std::string, WorldItem> items;
    std::map<std::uint64_t, std::pair<milliseconds, milliseconds>> leases;
    std::uint64_t revision = 1;
    bool down = false;
    /// Calls get no answer.
    bool unresponsive = false;
    /// Daemons whose calls the store refuses.
    std::set<std::size_t> refusedNodes;
    /// Daemons whose transactions alone the store refuses, as it does above its rate of writes.
    std::set<std::size_t> refusedWriters;
    /// Percentage of transactions that are carried out but not answered.
    std::uint64_t lostReplyPercent = 0;
    std::size_t calls = 0;
    /// Daemons whose links take long to transfer the configuration.
    std::set<std::size_t> slowLinks;
    std::size_t configurationReads = 0;
};

/// One simulated daemon.
struct WorldNode
{
    std::unique_ptr<Node> node;
    bool up = true;
    /// The process is paused; what arrives is delivered once it resumes.
    bool paused = false;
    /// Messages of other daemons do not arrive.
    bool dropsPeerMessages = false;
    std::optional<Endpoint> dialled;
    bool connected = false;
    std::string connectedTo;
};

/// Returns the actual duration and outcome of a run; by default the step's estimate is its duration.
using ActualRunOf = std::function<WorldRun(const TaskKey &task, std::uint32_t attempt)>;

/// Daemons, workers, adviser and store on one simulated clock; no network and no threads.
struct World
{
    explicit World(std::size_t nodeCount, std::size_t workerCount, std::uint64_t seed = 1);

    /// Runs for this long.
    void run(milliseconds duration);
    /// Runs until the condition holds; false after the limit.
    bool runUntil(const std::function<bool()> &condition, milliseconds limit);

    /// Submits a job to a daemon and returns the call's id.
    CallId submit(std::size_t at, JobId id, const JobSpec &spec, std::string_view queue,
        milliseconds timeLeft = milliseconds(3000));
    CallId call(std::size_t at, ClientCallKind kind, JobId id, std::string_view queue);
    std::optional<ClientAnswer> answerTo(CallId call) const;
    /// Sends a client's call about a job to a daemon and runs until the answer; empty after 4 s without one.
    std::optional<ClientAnswer> ask(std::size_t at, ClientCallKind kind, JobId id);

    void kill(std::size_t node);
    /// The daemon stops without closing its connections.
    void cutPower(std::size_t node);
    void restart(std::size_t node);
    void crashWorker(std::size_t worker);
    void restartWorker(std::size_t worker);

    Node *leader();
    std::size_t leaderIndex() const;

    Now now() const;
    /// Empty if all guarantees held, such as: no task runs twice, none starts again after it was done, no worker is
    /// over its capacity.
    std::vector<std::string> violations;

    milliseconds time{1000};
    RandomState random;
    Configuration configuration;
    WorldStore store;
    std::vector<WorldWorker> workers;
    std::vector<WorldNode> nodes;
    ActualRunOf actualRun;
    /// Added to the time that starts take to reach a worker.
    milliseconds startDelay{0};
    /// Renewals that are sent to `delayedWorker` get no answer and are carried out this much later; 0 for none.
    milliseconds renewalDelay{0};
    std::size_t delayedWorker = 0;
    /// Percent of workers that the adviser allows for a step.
    std::uint64_t allowedPercent = 60;
    /// The adviser takes as long as the request's timeout allows for, and its tickets expire; starts with an expired
    /// ticket are refused.
    bool adviceTakesTime = false;
    std::map<std::string, milliseconds> ticketEnds;
    std::vector<RequestAdvice> adviceCalls;
    std::map<CallId, ClientAnswer> answers;
    std::map<TaskKey, std::uint32_t> failedRuns;
    std::set<TaskKey> doneTasks;
    std::size_t starts = 0;
    std::size_t renewals = 0;
    /// Times at which the jobs were first submitted.
    std::map<JobId, milliseconds> submittedAt;

private:
    struct Event
    {
        milliseconds at;
        std::uint64_t order;
        std::function<void()> act;
        bool operator<(const Event &other) const { return std::pair(other.at, other.order) < std::pair(at, order); }
    };

    void after(milliseconds delay, std::function<void()> act);
    void carryOut(std::size_t node, const Action &action);
    void flush(std::size_t node);
    void advanceWorkers(milliseconds step);
    void endRun(std::size_t worker, std::size_t run, RunEnd end);
    void answerRenewals(std::size_t worker);
    void expireLeases();
    void reply(std::size_t node, std::function<void(Node &, Now)> handle);
    void deliver(std::size_t node, const Node *caller, std::function<void(Node &, Now)> handle);
    StoreReply transact(const StoreTransaction &transaction);
    StoreReply range(const StoreRange &range) const;
    /// True if the job is unknown.
    bool needsTicket(JobId id);
    OrderReply start(const StartRun &order);
    OrderReply stop(const StopRun &order);
    std::optional<RenewReply> renew(std::size_t worker, const RenewWorker &renewal);
    RenewReply listsOf(std::size_t worker, CallId call) const;
    AdviceReply advise(const RequestAdvice &ask);
    std::optional<std::size_t> nodeAt(const Endpoint &endpoint) const;
    void connectNodes(std::size_t from, const Endpoint &endpoint);
    void disconnect(std::size_t node);
    bool isRefused(std::size_t node) const;
    std::size_t workerIndex(std::string_view id) const;

    std::priority_queue<Event> m_events;
    std::uint64_t m_order = 0;
    milliseconds m_nextTick{0};
};

/// A step with usual values.
StepSpec stepOf(std::uint32_t count, std::int64_t cpuMilli, milliseconds estimate);

} // namespace wigeonkeel::dispatch
