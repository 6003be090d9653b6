#include "tests/dispatch/random_faults.h"

#include "core/dispatch/records.h"
#include "core/log.h"

#include <algorithm>
#include <array>

#include <fmt/format.h>

namespace wigeonkeel::dispatch
{

namespace
{

constexpr milliseconds settleTime{3000};
constexpr milliseconds playTime{25000};
constexpr milliseconds checkInterval{100};
constexpr milliseconds traceInterval{10};
/// Longest time from the last fault until all accepted jobs have ended: orders may still be carried out for 12 s, and
/// a takeover waits for leases.
constexpr milliseconds recoveryTime{60000};
/// When a client submits or cancels a job again after a call without a final answer.
constexpr milliseconds clientPatience{3500};
/// Time after a late copy in which a job that it starts again is seen.
constexpr milliseconds copyTime{3000};
/// Names of the tenants of plans that have some. A gang of a plan takes up to 5 cores, so that it fits into either cap.
constexpr std::array<std::string_view, 2> tenantNames{"alder", "birch"};
constexpr std::array<std::int64_t, 2> tenantCapsMilli{5500, 7000};
constexpr std::array<double, 2> tenantWeights{0.5, 4.0};
/// How long after its start a task of a cancelled job may work, even if the worker carried the order out late:
/// contactMs, cancel_ms and stopMs of the platform's contract.
constexpr milliseconds longestCancelledRun = milliseconds(3000) + cancelLimit + milliseconds(900);

const std::array mixes = std::to_array<FaultMix>({
    {.name = "all", .types = {}},
    {.name = "leaders and links",
        .types
        = {"kill daemon", "cut power", "pause daemon", "store silent for one", "store refuses one", "leases revoked",
            "links refused", "worker refuses all", "links cut", "worker slow", "peer messages dropped"},
        .fewest = 5},
    {.name = "clocks and pauses",
        .types = {"pause daemon", "pause after write", "slow store link", "slow peer link", "store silent",
            "store refuses one", "store silent for one", "store replies lost for one", "keep-alives unanswered",
            "leases revoked", "late writes", "links cut", "time of day jumps"},
        .fewest = 5},
    {.name = "two leaders",
        .types = {"kill daemon", "cut power", "pause daemon", "pause after write", "slow peer link",
            "peer messages dropped", "store silent for one", "store silent", "keep-alives unanswered", "links cut"},
        .fewest = 6,
        .closePercent = 80},
    {.name = "workers and orders",
        .types = {"worker replaced", "worker restarted at once", "worker restarted", "worker silent",
            "worker replies lost", "worker refuses all", "worker slow", "worker drains", "worker unlisted",
            "late orders", "kill daemon", "pause daemon", "links refused"},
        .fewest = 5},
    {.name = "leaders in series", .types = {"kill daemon", "cut power"}, .leadersInSeries = true},
});

constexpr milliseconds firstFault{500};
constexpr milliseconds lastFault{23000};

std::uint64_t between(RandomState &random, std::uint64_t least, std::uint64_t most)
{
    return least + randomBelow(random, most - least + 1);
}

milliseconds millisBetween(RandomState &random, std::uint64_t least, std::uint64_t most)
{
    return milliseconds(between(random, least, most));
}

PlannedJob drawJob(RandomState &random, JobId id)
{
    PlannedJob job{.at = millisBetween(random, 0, 22000), .id = id, .urgent = randomBelow(random, 3) == 0};
    const auto estimate = [&random] { return millisBetween(random, 100, randomBelow(random, 4) == 0 ? 5000 : 1500); };
    const std::uint64_t kind = randomBelow(random, 10);
    StepSpec gang = stepOf(static_cast<std::uint32_t>(between(random, 2, 5)), 1000, estimate());
    gang.gang = true;
    StepSpec single = stepOf(static_cast<std::uint32_t>(between(random, 1, 4)), 500, estimate());
    if (kind < 5) {
        job.spec = {.payload = "p", .steps = {gang}};
    } else if (kind < 8) {
        job.spec = {.payload = "p", .steps = {single}};
    } else {
        StepSpec second = kind == 8 ? gang : stepOf(2, 1000, estimate());
        second.after = {0};
        job.spec = {.payload = "p", .steps = {single, second}};
    }
    // Half of the jobs get no copy, a third get two.
    constexpr std::array<std::size_t, 6> copyCounts{0, 0, 0, 1, 2, 2};
    const std::size_t copies = copyCounts.at(randomBelow(random, copyCounts.size()));
    for (std::size_t i = 0; i < copies; ++i) {
        job.copies.push_back(millisBetween(random, 500, randomBelow(random, 3) == 0 ? 30000 : 6000));
    }
    if (randomBelow(random, 4) == 0) {
        job.cancelAfter = millisBetween(random, 50, 3000);
    }
    return job;
}

Fault drawFault(RandomState &random, const FaultMix &mix)
{
    Fault fault{.type = static_cast<std::size_t>(randomBelow(random, faultTypes().size()))};
    if (!mix.types.empty()) {
        const std::string_view name = mix.types[randomBelow(random, mix.types.size())];
        const auto found = std::ranges::find(faultTypes(), name, &FaultType::name);
        fault.type = static_cast<std::size_t>(found - faultTypes().begin());
    }
    const FaultType &type = faultTypes()[fault.type];
    // The square makes short faults as frequent as long ones.
    const std::uint64_t most = randomBelow(random, 2) == 0 ? 1500 : 6000;
    fault.length = std::clamp(millisBetween(random, 50, most), type.shortest, type.longest);
    fault.at = millisBetween(random, firstFault.count(), lastFault.count());
    fault.pick = nextRandom(random);
    fault.onLeader = randomBelow(random, 3) != 0;
    return fault;
}

/// Leaders that are lost one after the other, before the next one has finished what it took over.
std::vector<Fault> drawSeries(RandomState &random, const FaultMix &mix)
{
    std::vector<Fault> faults;
    for (milliseconds at = millisBetween(random, 1000, 6000); at <= lastFault;
         at += millisBetween(random, 1000, 6000)) {
        Fault fault = drawFault(random, mix);
        fault.at = at;
        fault.length = millisBetween(random, 400, 3500);
        fault.onLeader = true;
        faults.push_back(fault);
    }
    return faults;
}

std::vector<Fault> drawFaults(RandomState &random, const FaultMix &mix)
{
    std::vector<Fault> faults;
    const std::uint64_t count = between(random, mix.fewest, mix.most);
    for (std::uint64_t i = 0; i < count; ++i) {
        Fault fault = drawFault(random, mix);
        if (i > 0 && randomBelow(random, 100) < mix.closePercent) {
            fault.at = faults.back().at + millisBetween(random, 0, 2000);
        }
        faults.push_back(fault);
    }
    std::ranges::sort(faults, {}, &Fault::at);
    return faults;
}

/// State of a client that submits a job until it has a final answer.
struct Submission
{
    std::vector<CallId> calls;
    milliseconds lastAt{0};
    bool accepted = false;
    bool refused = false;
    bool unclear = false;
    /// Calls that cancel the job, once its client has sent one.
    std::vector<CallId> cancels;
    std::size_t cancelledAtNode = 0;
    milliseconds cancelSentAt{0};
    bool cancelDue = false;
    bool cancelAnswered = false;
};

/// What the play knows besides the world.
struct Play
{
    World world;
    RandomState random;
    std::map<JobId, Submission> submissions;
    std::map<JobId, JobState> ended;
    std::set<std::uint64_t> claims;
    /// When the last late copy arrives.
    milliseconds lastCopyAt{0};
    bool trace = false;
    /// Calls with the key of another tenant than the job's.
    std::vector<CallId> foreignCalls;
};

/// A daemon that takes calls; the number of daemons if there is none.
std::size_t entryNode(Play &play)
{
    const std::size_t count = play.world.nodes.size();
    const std::size_t first = randomBelow(play.random, count);
    for (std::size_t i = 0; i < count; ++i) {
        const WorldNode &node = play.world.nodes[(first + i) % count];
        if (node.up && !node.paused && !node.removed) {
            return (first + i) % count;
        }
    }
    return count;
}

std::string_view queueOf(const PlannedJob &job)
{
    return job.urgent ? "urgent" : "batch";
}

void submitJob(Play &play, const PlannedJob &job)
{
    const std::size_t node = entryNode(play);
    Submission &submission = play.submissions[job.id];
    submission.lastAt = play.world.time;
    if (node < play.world.nodes.size()) {
        submission.calls.push_back(play.world.submit(node, job.id, job.spec, queueOf(job)));
    }
}

/// The platform delivers some requests again after their acceptance. The answer to such a copy reaches no client.
void scheduleCopies(Play &play, const PlannedJob &job)
{
    for (const milliseconds delay : job.copies) {
        play.lastCopyAt = std::max(play.lastCopyAt, play.world.time + delay);
        play.world.after(delay, [&play, &job] {
            const std::size_t node = entryNode(play);
            if (node < play.world.nodes.size()) {
                play.world.submit(node, job.id, job.spec, queueOf(job));
            }
        });
    }
}

/// Sends the cancellation to another daemon than the last time, if one runs.
void cancelJob(Play &play, const PlannedJob &job)
{
    Submission &submission = play.submissions[job.id];
    submission.cancelDue = true;
    submission.cancelSentAt = play.world.time;
    std::size_t node = entryNode(play);
    for (int tries = 0; tries < 4 && !submission.cancels.empty() && node == submission.cancelledAtNode; ++tries) {
        node = entryNode(play);
    }
    if (node < play.world.nodes.size()) {
        submission.cancelledAtNode = node;
        submission.cancels.push_back(play.world.call(node, ClientCallKind::Cancel, job.id, queueOf(job)));
    }
}

void followCancels(Play &play, std::span<const PlannedJob> jobs)
{
    for (const PlannedJob &job : jobs) {
        const auto found = play.submissions.find(job.id);
        if (found == play.submissions.end() || !found->second.cancelDue || found->second.cancelAnswered) {
            continue;
        }
        Submission &submission = found->second;
        bool answeredAll = !submission.cancels.empty();
        for (const CallId call : submission.cancels) {
            const auto answer = play.world.answerTo(call);
            const bool isFinal
                = answer && (answer->outcome == ClientOutcome::Ok || answer->outcome == ClientOutcome::NoSuchJob);
            submission.cancelAnswered = submission.cancelAnswered || isFinal;
            answeredAll = answeredAll && answer;
        }
        const bool due = answeredAll || play.world.time - submission.cancelSentAt > clientPatience;
        if (!submission.cancelAnswered && due) {
            cancelJob(play, job);
        }
    }
}

void followSubmissions(Play &play, std::span<const PlannedJob> jobs)
{
    for (const PlannedJob &job : jobs) {
        const auto found = play.submissions.find(job.id);
        if (found == play.submissions.end() || found->second.accepted || found->second.refused) {
            continue;
        }
        Submission &submission = found->second;
        bool refusedAll = !submission.calls.empty();
        bool answeredAll = true;
        for (const CallId call : submission.calls) {
            const auto answer = play.world.answerTo(call);
            submission.accepted = submission.accepted || (answer && answer->outcome == ClientOutcome::Ok);
            refusedAll = refusedAll && answer && answer->outcome == ClientOutcome::Refused;
            answeredAll = answeredAll && answer;
        }
        submission.refused = refusedAll;
        if (submission.accepted) {
            scheduleCopies(play, job);
            if (job.cancelAfter) {
                play.world.after(*job.cancelAfter, [&play, &job] { cancelJob(play, job); });
            }
        }
        const bool due = play.world.time - submission.lastAt > clientPatience
            || (answeredAll && !submission.calls.empty() && !refusedAll);
        if (!submission.accepted && !refusedAll && due) {
            submitJob(play, job);
        }
    }
}

/// Reads the ends that the store keeps; they are removed after a time.
void noteEnds(Play &play)
{
    const auto &items = play.world.store.items;
    for (auto item = items.lower_bound(std::string(endPrefix));
         item != items.end() && item->first.starts_with(endPrefix); ++item) {
        const auto id = jobIdFromKey(item->first, endPrefix);
        const auto record = decodeEnd(item->second.value);
        if (id && record) {
            play.ended[*id] = record->state;
        }
    }
}

/// Clients ask for the states of jobs, most often for the latest ones.
void askForJobs(Play &play)
{
    const std::size_t node = entryNode(play);
    if (node == play.world.nodes.size() || play.submissions.empty()) {
        return;
    }
    auto job = play.submissions.begin();
    std::advance(job, randomBelow(play.random, play.submissions.size()));
    play.world.call(node, ClientCallKind::Query, job->first, "batch");
}

/// Tenant of a plan's job; empty for none.
std::string_view tenantOf(const FaultPlan &plan, JobId id)
{
    const std::size_t tenant = id % (tenantNames.size() + 1);
    return !plan.hasTenants || tenant == tenantNames.size() ? std::string_view() : tenantNames.at(tenant);
}

/// A client of the other tenant asks for an accepted job, or cancels it.
void callWithForeignKey(Play &play)
{
    if (play.world.tenants.empty()) {
        return;
    }
    const std::size_t node = entryNode(play);
    if (node == play.world.nodes.size()) {
        return;
    }
    auto owned = play.world.tenants.begin();
    std::advance(owned, randomBelow(play.random, play.world.tenants.size()));
    const auto submission = play.submissions.find(owned->first);
    if (submission == play.submissions.end() || !submission->second.accepted) {
        return;
    }
    const bool cancels = randomBelow(play.random, 2) == 0;
    const std::string_view other = owned->second == tenantNames[0] ? tenantNames[1] : tenantNames[0];
    play.foreignCalls.push_back(
        play.world.callAs(node, cancels ? ClientCallKind::Cancel : ClientCallKind::Query, owned->first, other));
}

bool isSettled(const Play &play)
{
    return std::ranges::all_of(play.submissions, [&play](const auto &entry) {
        const Submission &submission = entry.second;
        const bool isCancelOpen = submission.cancelDue && !submission.cancelAnswered;
        return submission.refused || (submission.accepted && play.ended.contains(entry.first) && !isCancelOpen);
    });
}

void step(Play &play, std::span<const PlannedJob> jobs)
{
    for (milliseconds passed{0}; play.trace && passed + traceInterval < checkInterval; passed += traceInterval) {
        play.world.run(traceInterval);
        logLine(LogLevel::Info, "world", "time_ms={}", play.world.time.count());
    }
    play.world.run(play.trace ? traceInterval : checkInterval);
    followSubmissions(play, jobs);
    followCancels(play, jobs);
    noteEnds(play);
    if (const Node *leader = play.world.leader()) {
        play.claims.insert(leader->leadership.leader.token);
    }
    askForJobs(play);
    callWithForeignKey(play);
}

/// Whether a task or gang of the job has failed as often as its queue allows.
bool mayFail(const Play &play, JobId id)
{
    return std::ranges::any_of(play.world.history.units, [&](const auto &entry) {
        std::set<std::uint32_t> failed;
        for (const HistoryEnd &ended : entry.second.ends) {
            if (ended.end == RunEnd::Failed) {
                failed.insert(ended.attempt);
            }
        }
        return entry.first.step.job == id && failed.size() >= play.world.history.maxAttempts;
    });
}

/// All faults ended long ago, so runs of cancelled jobs have to be gone.
void checkCancelledRuns(Play &play)
{
    for (const WorldWorker &worker : play.world.workers) {
        for (const WorldRun &run : worker.runs) {
            const auto job = play.world.history.jobs.find(run.task.step.job);
            const bool isCancelled = job != play.world.history.jobs.end() && job->second.cancelledAt;
            const milliseconds since
                = isCancelled ? std::max(*job->second.cancelledAt, run.startedAt) : milliseconds(0);
            if (isCancelled && play.world.time - since > longestCancelledRun) {
                play.world.violations.push_back(fmt::format("UNASKED: {} works {} ms after its job was cancelled",
                    formatTaskKey(run.task), (play.world.time - since).count()));
            }
        }
    }
}

void checkOutcomes(Play &play)
{
    std::vector<std::string> &broken = play.world.violations;
    for (const auto &[id, submission] : play.submissions) {
        const auto ended = play.ended.find(id);
        const std::string name = formatJobId(id);
        if (submission.accepted && ended == play.ended.end()) {
            broken.push_back(fmt::format("LOST: accepted job {} has not ended", name));
        } else if (submission.accepted && ended->second == JobState::Cancelled && submission.cancels.empty()) {
            broken.push_back(fmt::format("LOST: job {} ended as cancelled and nobody cancelled it", name));
        } else if (submission.accepted && ended->second == JobState::Failed && !mayFail(play, id)) {
            broken.push_back(fmt::format("LOST: job {} ended as {}", name, stateName(ended->second)));
        }
        if (submission.cancelDue && !submission.cancelAnswered) {
            broken.push_back(fmt::format("ACKS: the cancellation of job {} has no final answer", name));
        }
        const bool started = std::ranges::any_of(play.world.history.units,
            [id = id](const auto &entry) { return entry.first.step.job == id && !entry.second.starts.empty(); });
        if (submission.refused && started) {
            broken.push_back(fmt::format("REFUSED: job {} was rejected and has started", name));
        }
    }
}

/// The same run has the same duration and outcome in each play of a plan.
WorldRun actualRun(World &world, const FaultPlan &plan, const TaskKey &task, std::uint32_t attempt)
{
    RandomState random{.value = plan.seed ^ (task.step.job * 31 + task.step.step * 7 + task.index) ^ (attempt << 20)};
    nextRandom(random);
    const StepSpec &spec = world.specs[task.step.job].steps[task.step.step];
    return {.work = spec.estimate * between(random, 60, 140) / 100,
        .willFail = randomBelow(random, 100) < plan.failPercent};
}

void setUp(Play &play, const FaultPlan &plan)
{
    World &world = play.world;
    world.rules = {.gangs = true,
        .ownClocks = true,
        .daemonClocks = true,
        .acknowledgedEndsCount = true,
        .lateOrdersReachNextIncarnation = plan.lateOrdersReachNextIncarnation,
        .directoryDelay = milliseconds(randomBelow(play.random, 2000))};
    for (std::size_t node = 0; node < world.nodes.size(); ++node) {
        world.drawClocks(node);
    }
    if (plan.hasTenants) {
        world.configuration.tenants.emplace();
        for (std::size_t i = 0; i < tenantNames.size(); ++i) {
            world.configuration.tenants->push_back({.name = std::string(tenantNames.at(i)),
                .keys = {},
                .weight = tenantWeights.at(i),
                .cap = {.cpuMilli = tenantCapsMilli.at(i)}});
        }
        for (const PlannedJob &job : plan.jobs) {
            if (const std::string_view tenant = tenantOf(plan, job.id); !tenant.empty()) {
                world.tenants[job.id] = std::string(tenant);
            }
        }
    }
    world.stopTime = milliseconds(between(play.random, 50, 800));
    for (WorldWorker &worker : world.workers) {
        worker.clockStart = -milliseconds(randomBelow(play.random, 500000));
        worker.clockRate = static_cast<double>(between(play.random, 981, 1000)) / 1000.0;
    }
    world.actualRun
        = [&world, &plan](const TaskKey &task, std::uint32_t attempt) { return actualRun(world, plan, task, attempt); };
}

/// The first word of a violation names the rule.
std::string_view ruleOf(std::string_view violation)
{
    return violation.substr(0, violation.find(' '));
}

bool breaks(const FaultPlan &plan, std::string_view rule)
{
    return std::ranges::any_of(
        playPlan(plan).violations, [rule](const std::string &violation) { return ruleOf(violation) == rule; });
}

template <typename T>
void removeUnneeded(FaultPlan &plan, std::vector<T> FaultPlan::*part, std::string_view rule)
{
    for (std::size_t i = (plan.*part).size(); i-- > 0;) {
        FaultPlan fewer = plan;
        (fewer.*part).erase((fewer.*part).begin() + static_cast<std::ptrdiff_t>(i));
        if (breaks(fewer, rule)) {
            plan = std::move(fewer);
        }
    }
}

} // namespace

std::span<const FaultMix> faultMixes()
{
    return mixes;
}

FaultPlan drawPlan(std::uint64_t seed, const FaultMix &mix)
{
    RandomState random{.value = seed};
    FaultPlan plan{.seed = seed,
        .nodes = between(random, 2, 5),
        .workers = between(random, 4, 9),
        .failPercent = randomBelow(random, 2) * 5};
    const std::uint64_t jobs = between(random, 15, 60);
    for (JobId id = 1; id <= jobs; ++id) {
        plan.jobs.push_back(drawJob(random, id));
    }
    plan.faults = mix.leadersInSeries ? drawSeries(random, mix) : drawFaults(random, mix);
    return plan;
}

PlayResult playPlan(const FaultPlan &plan)
{
    Play play{.world = World(plan.nodes, plan.workers, plan.seed),
        .random = {.value = plan.seed + 1},
        .submissions = {},
        .ended = {},
        .claims = {},
        .lastCopyAt = {},
        .trace = plan.trace,
        .foreignCalls = {}};
    setUp(play, plan);
    play.world.run(settleTime);
    for (const PlannedJob &job : plan.jobs) {
        play.world.after(job.at, [&play, &job] { submitJob(play, job); });
    }
    for (const Fault &fault : plan.faults) {
        play.world.after(fault.at, [&play, &fault] {
            logLine(LogLevel::Info, "world", "Fault begins. type={} length_ms={} time_ms={}",
                faultTypes()[fault.type].name, fault.length.count(), play.world.time.count());
            faultTypes()[fault.type].begin(play.world, fault);
        });
    }
    for (const milliseconds end = play.world.time + playTime; play.world.time < end;) {
        step(play, plan.jobs);
    }
    endAllFaults(play.world);
    const milliseconds limit = play.world.time + recoveryTime;
    const milliseconds shortestEnd = play.world.time + playTime / 2;
    const auto isOver
        = [&] { return play.world.time >= std::max(shortestEnd, play.lastCopyAt + copyTime) && isSettled(play); };
    while (play.world.time < limit && !isOver()) {
        step(play, plan.jobs);
    }
    checkOutcomes(play);
    checkCancelledRuns(play);
    const auto accepted
        = std::ranges::count_if(play.submissions, [](const auto &entry) { return entry.second.accepted; });
    const auto foreignRefused = std::ranges::count_if(play.foreignCalls, [&play](CallId call) {
        const auto answer = play.world.answerTo(call);
        return answer && answer->outcome == ClientOutcome::Forbidden;
    });
    return {.violations = std::move(play.world.violations),
        .starts = play.world.starts,
        .jobsAccepted = static_cast<std::size_t>(accepted),
        .jobsEnded = play.ended.size(),
        .foreignRefused = static_cast<std::size_t>(foreignRefused),
        .claims = std::move(play.claims)};
}

FaultPlan minimisePlan(FaultPlan plan, std::string_view rule)
{
    removeUnneeded(plan, &FaultPlan::faults, ruleOf(rule));
    removeUnneeded(plan, &FaultPlan::jobs, ruleOf(rule));
    return plan;
}

std::string describePlan(const FaultPlan &plan)
{
    std::string text = fmt::format("seed {}: {} daemons, {} workers\n", plan.seed, plan.nodes, plan.workers);
    for (const Fault &fault : plan.faults) {
        text += fmt::format("  {} ms: {} for {} ms, pick {}{}\n", (settleTime + fault.at).count() + 1000,
            faultTypes()[fault.type].name, fault.length.count(), fault.pick, fault.onLeader ? ", on the leader" : "");
    }
    for (const PlannedJob &job : plan.jobs) {
        text += fmt::format("  {} ms: job {} in {}:", (settleTime + job.at).count() + 1000, job.id, queueOf(job));
        for (const StepSpec &spec : job.spec.steps) {
            text += fmt::format(" {} x {} ms{}", spec.count, spec.estimate.count(), spec.gang ? " gang" : "");
        }
        if (job.cancelAfter) {
            text += fmt::format(", cancelled after {} ms", job.cancelAfter->count());
        }
        for (const milliseconds delay : job.copies) {
            text += fmt::format(", copy after {} ms", delay.count());
        }
        text += "\n";
    }
    return text;
}

} // namespace wigeonkeel::dispatch
