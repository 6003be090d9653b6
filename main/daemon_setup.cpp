#include "main/daemon_setup.h"

#include "core/log.h"
#include "core/protocol/peer_list.h"
#include "core/scheduler/settings_in_force.h"

#include <algorithm>
#include <random>

#include <fmt/format.h>

namespace wigeonkeel
{

namespace
{

constexpr std::string_view freeSections[] = {"operators"};
constexpr int minHeartbeatsPerLease = 4;
/// A peer is suspect after three missed heartbeats; the probes need time too.
constexpr int minHeartbeatsPerDeath = 4;
constexpr std::string_view fallbackPolicy = "first_fit";

/// The parts that keep callers' requests, as the settings describe them.
void setUpRequests(Scheduler &scheduler, const Settings &settings)
{
    const PeerInfo &self = scheduler.membership.options.self;
    RequestOptions &requests = scheduler.requests.options;
    requests.home = self.name;
    requests.patience = settings.duration("journal.patience");
    requests.lookupTimeout = settings.duration("request.lookup_timeout");
    requests.maxClockAhead = settings.duration("request.max_clock_ahead");
    requests.maxEntries = static_cast<std::size_t>(settings.integer("request.max_entries"));
    scheduler.requests.memory.limit = static_cast<std::size_t>(settings.integer("request.max_bytes"));
    requests.maxTombstones = static_cast<std::size_t>(settings.integer("request.max_tombstones"));
    requests.keepAnswers = settings.duration("request.keep_answers");
    requests.keepTombstones = settings.duration("journal.horizon");
    requests.retryAfter = settings.duration("request.retry_after");
    requests.maxStarts = static_cast<std::uint32_t>(settings.integer("request.max_starts"));
    JournalOptions &journal = scheduler.journal.options;
    journal.holder = scheduler.ownership.options.holder;
    journal.horizon = settings.duration("journal.horizon");
    journal.resultLimit = static_cast<std::size_t>(settings.integer("journal.result_limit"));
    journal.outcomeDelay = settings.duration("journal.outcome_delay");
    journal.commitInterval = settings.duration("journal.commit_interval");
    journal.callTimeout = settings.duration("journal.call_timeout");
    journal.maxRecordBytes = static_cast<std::size_t>(settings.integer("journal.max_record"));
    SessionOptions &sessions = scheduler.sessions.options;
    sessions.self = self;
    sessions.vmListLag = settings.duration("vm_list.lag");
    sessions.callTimeout = settings.duration("journal.call_timeout");
    ForwardTable &forwards = scheduler.forwards;
    forwards.options.retryAfter = settings.duration("forward.retry_after");
    forwards.options.maxSends = static_cast<std::uint32_t>(settings.integer("forward.max_sends"));
    forwards.options.maxEntries = static_cast<std::size_t>(settings.integer("forward.max_entries"));
    forwards.memory.limit = static_cast<std::size_t>(settings.integer("forward.max_bytes"));
    forwards.options.maxResultBytes = static_cast<std::uint64_t>(settings.integer("forward.max_result"));
    forwards.nextExchange = (self.incarnation << 32) | 1;
    // Peers remember answers by exchange; a new incarnation must not get those of its predecessor.
    scheduler.nextExchange = forwards.nextExchange;
    scheduler.requestDrain.flushLimit = settings.duration("drain.flush_limit");
}

/// The part that keeps jobs. Needs the ownership options.
void setUpJobs(Scheduler &scheduler, const Settings &settings)
{
    const OwnershipOptions &ownership = scheduler.ownership.options;
    JobOptions &jobs = scheduler.jobs.options;
    jobs.holder = ownership.holder;
    jobs.maxUnderWay = static_cast<std::uint32_t>(settings.integer("job.max_under_way"));
    jobs.maxTasks = static_cast<std::uint32_t>(settings.integer("job.max_tasks"));
    jobs.maxEntries = static_cast<std::size_t>(settings.integer("job.max_entries"));
    scheduler.jobs.memory.limit = static_cast<std::size_t>(settings.integer("job.max_bytes"));
    jobs.resultLimit = static_cast<std::size_t>(settings.integer("job.result_limit"));
    jobs.keep = settings.duration("job.keep");
    jobs.writeInterval = settings.duration("job.write_interval");
    jobs.listInterval = settings.duration("job.list_interval");
    jobs.callTimeout = settings.duration("journal.call_timeout");
    // The former owner's lease on a worker has ended, by a clock that may drift by 1%, and another daemon has had an
    // exchange to take the worker and one to read its tasks.
    jobs.takeoverWait = ownership.lease + ownership.lease / 100 + ownership.heartbeat * 2;
}

const PolicyPlugin *defaultPolicyFor(const Registry &registry, TaskKind kind)
{
    const auto found = std::ranges::find_if(registry.policies, [kind](const PolicyPlugin &policy) {
        return std::ranges::find(policy.defaultFor, kind) != policy.defaultFor.end();
    });
    return found == registry.policies.end() ? findPolicy(registry, fallbackPolicy) : &*found;
}

} // namespace

std::vector<SettingSpec> settingsTable(const Registry &registry)
{
    const auto kernel = kernelSettings();
    std::vector<SettingSpec> table(kernel.begin(), kernel.end());
    table.insert(table.end(), registry.settings.begin(), registry.settings.end());
    return table;
}

Settings parseDaemonSettings(
    std::string_view text, std::span<const SettingSpec> table, std::vector<SettingProblem> &problems)
{
    Settings settings = parseSettings(text, table, freeSections, problems);
    if (!problems.empty()) {
        return settings;
    }
    const auto lease = settings.duration("ownership.lease");
    const auto heartbeat = settings.duration("ownership.heartbeat");
    if (heartbeat * minHeartbeatsPerLease > lease) {
        problems.push_back({.line = 0,
            .text = fmt::format("[ownership] heartbeat: expected at most a quarter of the lease ({} ms), found {} ms",
                lease.count(), heartbeat.count())});
    }
    if (settings.duration("peer.heartbeat") * minHeartbeatsPerDeath > settings.duration("peer.dead")) {
        problems.push_back({.line = 0,
            .text = fmt::format("[peer] dead: expected at least {} heartbeats ({} ms), found {} ms",
                minHeartbeatsPerDeath, settings.duration("peer.heartbeat").count() * minHeartbeatsPerDeath,
                settings.duration("peer.dead").count())});
    }
    std::vector<std::string> peerProblems;
    parsePeerList(settings.text("cluster.peers"), peerProblems);
    for (const std::string &problem : peerProblems) {
        problems.push_back({.line = 0, .text = fmt::format("[cluster] peers: {}", problem)});
    }
    if (!parseLogLevel(settings.text("daemon.log_level"))) {
        problems.push_back({.line = 0,
            .text = fmt::format("[daemon] log_level: expected debug, info, warning or error, found '{}'",
                settings.text("daemon.log_level"))});
    }
    return settings;
}

Scheduler makeScheduler(const Settings &settings, const Registry &registry, const Clock &)
{
    setLogLevel(parseLogLevel(settings.text("daemon.log_level")).value_or(LogLevel::Info));
    std::random_device entropy;
    const std::uint64_t incarnation = (static_cast<std::uint64_t>(entropy()) << 32) | entropy();
    const milliseconds heartbeat = settings.duration("ownership.heartbeat");
    Scheduler scheduler;
    scheduler.membership.options.self = {.name = std::string(settings.text("daemon.name")),
        .address = std::string(settings.text("daemon.address")),
        .zone = std::string(settings.text("daemon.zone")),
        .incarnation = incarnation};
    std::vector<std::string> peerProblems;
    scheduler.membership.options.seeds = parsePeerList(settings.text("cluster.peers"), peerProblems);
    scheduler.membership.options.self.port = static_cast<std::uint16_t>(settings.integer("peer_link.port"));
    scheduler.membership.options.heartbeat = settings.duration("peer.heartbeat");
    scheduler.membership.options.deadAfter = settings.duration("peer.dead");
    scheduler.membership.options.settleTime = settings.duration("peer.settle");
    scheduler.membership.options.fanout = static_cast<std::uint32_t>(settings.integer("peer.fanout"));
    scheduler.random.value = incarnation;
    scheduler.ownership.options = {.holder = fmt::format("{}/{:016x}", settings.text("daemon.name"), incarnation),
        .lease = settings.duration("ownership.lease"),
        .heartbeat = heartbeat,
        .requestLease = settings.duration("request.lease"),
        .taskLease = settings.duration("task.lease"),
        .startMargin = heartbeat * 2};
    setUpRequests(scheduler, settings);
    setUpJobs(scheduler, settings);
    setAvailablePolicies(scheduler, registry.policies);
    scheduler.cell.ownZone = std::string(settings.text("daemon.zone"));
    for (std::size_t kind = 0; kind < taskKindCount; ++kind) {
        const auto taskKind = static_cast<TaskKind>(kind);
        scheduler.pending.kinds[kind].limit
            = static_cast<std::size_t>(settings.integer(fmt::format("queue.limit_{}", toString(taskKind))));
        setPolicy(scheduler.cell, taskKind, defaultPolicyFor(registry, taskKind));
    }
    scheduler.pending.attemptsPerStep = static_cast<std::size_t>(settings.integer("queue.attempts_per_step"));
    scheduler.gangs.options.hold = settings.duration("gang.hold");
    scheduler.gangs.options.maxAttempts = static_cast<std::uint32_t>(settings.integer("gang.attempts"));
    // A restarted daemon must not take answers to its predecessor for its own.
    scheduler.gangs.nextExchange = (incarnation << 32) | 1;
    scheduler.preemption.options.burst = static_cast<std::uint32_t>(settings.integer("preempt.burst"));
    scheduler.usage.options.enabled = settings.boolean("usage.estimates");
    return scheduler;
}

} // namespace wigeonkeel
