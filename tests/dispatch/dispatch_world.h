#pragma once

#include "core/dispatch/node.h"
#include "core/routing/random.h"
#include "tests/dispatch/run_history.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <set>
#include <span>
#include <string>
#include <vector>

namespace wigeonkeel::dispatch
{

/// Time that a message takes from one process to another.
inline constexpr milliseconds networkDelay{2};

/// Time of day at which the simulated clock shows 0; a clock that is never set shows 1970.
inline constexpr WallTime wallStart{std::chrono::sys_days{std::chrono::January / 1 / 2026}};

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
    bool gang = false;
    /// All members of the gang's attempt were present at some time.
    bool together = false;
    milliseconds startedAt{0};
};

/// How closely the world follows the platform's contract. Off by default, so that each test adds only what it needs.
struct WorldRules
{
    /// Members of a gang's attempt work only while all are present, end as done together, and end as broken or alone
    /// otherwise.
    bool gangs = false;
    /// Workers' clocks begin with each incarnation, and leases are capped.
    bool ownClocks = false;
    /// Each start of a daemon draws offsets of its clocks.
    bool daemonClocks = false;
    /// Checks the platform's rules on repeated starts as written: an end counts only if it was acknowledged. Otherwise
    /// no task may start after any end as done.
    bool acknowledgedEndsCount = false;
    /// Percentage of starts, stops and renewals that get no reply and are carried out 2 to 12 s later.
    std::uint64_t lateOrderPercent = 0;
    /// Late orders are also carried out by a later incarnation under the same id. Known to start tasks again
    /// (docs/incidents/twice.md, "What remains").
    bool lateOrdersReachNextIncarnation = false;
    /// Percentage of store writes that get no reply and are carried out 1 to 6 s later if their conditions still hold.
    std::uint64_t lateWritePercent = 0;
    /// Messages between daemons are dropped unless a connection is open between them. Otherwise they always arrive.
    bool messagesNeedConnections = false;
    /// How long the directory lists a worker that has crashed.
    milliseconds directoryDelay{0};
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
    /// Progress of runs per time, 1.0 being the usual one.
    double speed = 1.0;
    /// Runs make no progress.
    bool stalled = false;
    /// Time that a stop takes; if it is 0, the world's `stopTime`.
    milliseconds stopTime{0};
    /// Daemons whose links to the worker are cut.
    std::set<std::size_t> unreachableFrom;
    /// Daemons whose connections to the worker are refused at once; the worker runs on.
    std::set<std::size_t> refusesFrom;
    /// While the worker is down, calls are refused at once instead of staying unanswered.
    bool refusesWhileDown = false;
    milliseconds downSince{0};
    /// Each order and each reply takes up to this much longer, so that they may overtake each other.
    milliseconds latency{0};
    /// When the worker's clock began, and its rate.
    milliseconds clockStart{0};
    double clockRate = 1.0;
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
    std::map<std::uint64_t, std::size_t> leaseOwners;
    std::uint64_t revision = 1;
    bool down = false;
    /// Calls get no answer.
    bool unresponsive = false;
    /// Daemons whose calls the store refuses.
    std::set<std::size_t> refusedNodes;
    /// Daemons whose transactions alone the store refuses, as it does above its rate of writes.
    std::set<std::size_t> refusedWriters;
    /// Daemons whose calls get no answer and are not carried out, and those whose calls are carried out unanswered.
    std::set<std::size_t> silentNodes;
    std::set<std::size_t> unansweredNodes;
    /// Daemons whose lease renewals get no answer: a lost reply blocks only the connection that it was sent on.
    std::set<std::size_t> unansweredKeepAlives;
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
    /// The daemon was removed for good.
    bool removed = false;
    /// The process is paused; what arrives is delivered once it resumes.
    bool paused = false;
    /// What arrived while the process was paused, in order.
    std::vector<std::function<void()>> held;
    /// The process is paused for this long as soon as the store has carried out its next write; 0 for never.
    milliseconds pauseAfterWrite{0};
    /// Added to the time that replies of the store and messages of other daemons take.
    milliseconds storeLatency{0};
    milliseconds peerLatency{0};
    /// Rate at which pages of the store arrive; 0 for at once.
    std::int64_t pageBytesPerSecond = 0;
    /// When the last message of each daemon arrives; messages on one connection stay in order.
    std::map<std::string, milliseconds> peerArrivals;
    /// When the last start that the daemon sent has left its link.
    milliseconds linkFreeAt{0};
    /// Messages of other daemons do not arrive.
    bool dropsPeerMessages = false;
    /// Added to the daemon's time of day, and what is added to it while it is wrong by a jump.
    milliseconds wallOffset{0};
    milliseconds wallJump{0};
    /// Added to the process's monotonic clock.
    milliseconds monotonicOffset{0};
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
    /// Sends a call with the key of a tenant, which need not be the job's. A submission repeats the job's.
    CallId callAs(std::size_t at, ClientCallKind kind, JobId id, std::string_view tenant);
    std::optional<ClientAnswer> answerTo(CallId call) const;
    /// Sends a client's call about a job to a daemon and runs until the answer; empty after 4 s without one.
    std::optional<ClientAnswer> ask(std::size_t at, ClientCallKind kind, JobId id);

    void kill(std::size_t node);
    /// The daemon stops without closing its connections.
    void cutPower(std::size_t node);
    void restart(std::size_t node);
    /// Draws the offsets of a daemon's clocks, before its process has run.
    void drawClocks(std::size_t node);
    void crashWorker(std::size_t worker);
    /// The worker starts again under its id with the next incarnation.
    void restartWorker(std::size_t worker);
    /// Adds a worker under a new id and returns its position.
    std::size_t addWorker();
    /// Adds a daemon and returns its position.
    std::size_t addNode();
    /// Stops the process for this long; the timers stand still and what arrives waits.
    void pause(std::size_t node, milliseconds duration);
    /// Removes the leases of a daemon from the store, with their keys.
    void revokeLeases(std::size_t node);
    /// Carries out `act` after the delay.
    void after(milliseconds delay, std::function<void()> act);

    Node *leader();
    std::size_t leaderIndex() const;

    /// What workers run of the tenant's jobs.
    Resources runningOf(std::string_view tenant) const;

    /// The time as a clock without offsets shows it.
    Now now() const;
    /// The time as the daemon's clocks show it.
    Now nowAt(std::size_t node) const;
    /// Empty if all guarantees held, such as: no task runs twice, none starts again after it was done, no worker is
    /// over its capacity.
    std::vector<std::string> violations;
    WorldRules rules;
    RunHistory history;
    /// Specifications of the submitted jobs.
    std::map<JobId, JobSpec> specs;
    /// Tenants whose keys the submissions carry; jobs that are not named have none.
    std::map<JobId, std::string> tenants;

    milliseconds time{1000};
    RandomState random;
    Configuration configuration;
    WorldStore store;
    std::vector<WorldWorker> workers;
    std::vector<WorldNode> nodes;
    ActualRunOf actualRun;
    /// Time that a stop takes to end a run.
    milliseconds stopTime{200};
    /// Added to the time that starts take to reach a worker.
    milliseconds startDelay{0};
    /// Time for which each start occupies the link of the daemon that sends it.
    milliseconds startTransfer{0};
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
    /// A client's call about a job.
    struct SentCall
    {
        ClientCallKind kind = ClientCallKind::Query;
        JobId job = 0;
        milliseconds sentAt{0};
        std::string tenant;
    };

    struct Event
    {
        milliseconds at;
        std::uint64_t order;
        std::function<void()> act;
        bool operator<(const Event &other) const { return std::pair(other.at, other.order) < std::pair(at, order); }
    };

    enum class Link : std::uint8_t { Open, Refused, Cut };
    /// Carries out a store call and returns what hands over its reply; any other status than Ok is only handed over.
    using StoreHandler = std::function<std::function<void(Node &, Now)>(CallStatus status)>;

    void carryOut(std::size_t node, const StoreTransaction &transaction);
    void carryOut(std::size_t node, const StoreRange &request);
    void carryOut(std::size_t node, const StoreOpenLease &open);
    void carryOut(std::size_t node, const StoreKeepAlive &keep);
    void carryOut(std::size_t node, const StoreEndLease &end);
    void carryOut(std::size_t node, const ReadConfiguration &read);
    void carryOut(std::size_t node, const WatchConfiguration &watch);
    void carryOut(std::size_t node, const ReadWorkers &directory);
    void carryOut(std::size_t node, const StartRun &order);
    void carryOut(std::size_t node, const StopRun &order);
    void carryOut(std::size_t node, const RenewWorker &renewal);
    void carryOut(std::size_t node, const RequestAdvice &request);
    void carryOut(std::size_t node, const AnswerClient &answered);
    void carryOut(std::size_t node, const SendToNode &message);
    void carryOut(std::size_t node, const DialNode &dialled);
    void carryOut(std::size_t, const LeaderAnswer &) {}
    void carryOut(std::size_t, const ReadinessChanged &) {}
    void carryOut(std::size_t, const ObserveDuration &) {}
    void callStore(std::size_t node, milliseconds timeout, bool isWrite, const StoreHandler &make,
        milliseconds transfer = milliseconds(0));
    milliseconds transferTime(std::size_t node, const StoreReply &page) const;
    bool isReplyLost(std::size_t node, bool isWrite);
    void holdWrite(std::size_t node, const StoreTransaction &transaction);
    void replyToOrder(std::size_t node, milliseconds delay, OrderReply result);
    void failRenewal(std::size_t node, milliseconds delay, CallId call, CallStatus status);
    bool isOrderLate();
    void carryOutLate(const WorkerTarget &target, std::function<void()> act);
    Link linkTo(std::size_t node, const WorldWorker &worker) const;
    milliseconds drawLatency(const WorldWorker &worker);
    /// The link at the time at which an order arrives that was sent to `life` and took `delay`.
    Link linkAtArrival(std::size_t node, std::size_t worker, const WorkerLife &life, milliseconds delay) const;
    void carryOutOrder(std::size_t node, const WorkerTarget &target, milliseconds delay, milliseconds timeout,
        CallId call, std::function<OrderReply()> act);
    void flush(std::size_t node);
    void advanceWorkers(milliseconds step);
    void advanceGangs(milliseconds step);
    /// Ends the members of a gang's attempt: all of them, those whose gang is broken, or those that waited too long.
    void endMembers(std::span<const std::pair<std::size_t, TaskKey>> members, bool ended, bool failed);
    void lapse(std::size_t worker);
    void beginClock(std::size_t worker);
    void extendLease(WorldWorker &worker, WorkerTime until);
    void checkStart(const WorldRun &run, const WorldWorker &target);
    void checkCap(const WorldRun &run, const WorldWorker &target);
    std::string tenantOf(JobId id) const;
    const StepSpec *specOf(const TaskKey &task);
    void report(std::vector<std::string> broken);
    WorkerTime clockOf(const WorldWorker &worker) const;
    WorkerLife lifeOf(const WorldWorker &worker) const;
    void endRun(std::size_t worker, std::size_t run, RunEnd end);
    void answerRenewals(std::size_t worker);
    void expireLeases();
    void reply(std::size_t node, std::function<void(Node &, Now)> handle);
    void deliver(std::size_t node, const Node *caller, std::function<void(Node &, Now)> handle);
    StoreReply transact(const StoreTransaction &transaction);
    StoreReply range(const StoreRange &range) const;
    /// True if the job is unknown.
    bool needsTicket(JobId id);
    void recordAnswer(const SentCall &sent, const ClientAnswer &answer, std::string_view node);
    OrderReply start(const StartRun &order);
    OrderReply stop(const StopRun &order);
    std::optional<RenewReply> renew(std::size_t worker, const RenewWorker &renewal);
    RenewReply listsOf(std::size_t worker, CallId call) const;
    AdviceReply advise(const RequestAdvice &ask);
    std::optional<std::size_t> nodeAt(const Endpoint &endpoint) const;
    void connectNodes(std::size_t from, const Endpoint &endpoint);
    void disconnect(std::size_t node);
    bool isRefused(std::size_t node) const;
    bool isSilent(std::size_t node) const;
    std::size_t workerIndex(std::string_view id) const;

    std::priority_queue<Event> m_events;
    std::uint64_t m_order = 0;
    std::map<CallId, SentCall> m_sentCalls;
    /// The order that a worker carries out was delayed on its way (WorldRules::lateOrderPercent).
    bool m_isOrderLate = false;
    milliseconds m_nextTick{0};
};

/// Fails the running test with the first violation.
void checkNoViolations(const World &world);

/// Adds a queue of medium priority to the next version of the settings; the adviser allows all workers.
void addAdvisedQueue(World &world, std::string name, const AdviceTimes &times);

/// The worker that runs something; the number of workers if none does.
std::size_t busyWorker(const World &world);

/// A step with usual values.
StepSpec stepOf(std::uint32_t count, std::int64_t cpuMilli, milliseconds estimate);

} // namespace wigeonkeel::dispatch
