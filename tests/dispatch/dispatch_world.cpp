#include "tests/dispatch/dispatch_world.h"

#include "core/dispatch/records.h"

#include <algorithm>

#include <CppUTest/TestHarness.h>
#include <fmt/format.h>

namespace wigeonkeel::dispatch
{

namespace
{

constexpr milliseconds tickInterval{10};
constexpr milliseconds workStep{10};
/// A daemon's time of day is off by this at most, its monotonic clock begins at most this long before the process.
constexpr std::uint64_t mostWallOffsetMs = 3600000;
constexpr std::uint64_t leastWallOffsetMs = 1000;
constexpr std::uint64_t mostUptimeMs = 100ULL * 24 * 3600000;

} // namespace

void checkNoViolations(const World &world)
{
    for (const std::string &violation : world.violations) {
        FAIL(violation.c_str());
    }
}

std::size_t busyWorker(const World &world)
{
    const auto found
        = std::ranges::find_if(world.workers, [](const WorldWorker &worker) { return !worker.runs.empty(); });
    return static_cast<std::size_t>(found - world.workers.begin());
}

void addAdvisedQueue(World &world, std::string name, const AdviceTimes &times)
{
    world.configuration.queues.push_back({.name = std::move(name),
        .host = "h",
        .pathPrefix = "/a/",
        .pool = "pool",
        .priority = 1,
        .maxAttempts = 2,
        .advice = times});
    indexQueues(world.configuration);
    world.allowedPercent = 100;
}

StepSpec stepOf(std::uint32_t count, std::int64_t cpuMilli, milliseconds estimate)
{
    return {.count = count, .size = {.cpuMilli = cpuMilli, .memoryMib = 100}, .estimate = estimate};
}

World::World(std::size_t nodeCount, std::size_t workerCount, std::uint64_t seed)
    : random{.value = seed}
{
    configuration = {.version = 1,
        .queues
        = {{.name = "urgent", .host = "h", .pathPrefix = "/u/", .pool = "pool", .priority = 0, .maxAttempts = 2},
            {.name = "batch", .host = "h", .pathPrefix = "/b/", .pool = "pool", .priority = 2, .maxAttempts = 2}},
        .pools = {{.name = "pool"}}};
    indexQueues(configuration);
    actualRun = [this](const TaskKey &task, std::uint32_t) {
        const Node *leading = leader();
        milliseconds work{300};
        if (leading != nullptr && leading->dispatcher) {
            const auto found = leading->dispatcher->jobs.live.find(task.step.job);
            if (found != leading->dispatcher->jobs.live.end()) {
                work = found->second->record.spec.steps[task.step.step].estimate;
            }
        }
        return WorldRun{.work = work};
    };
    for (std::size_t i = 0; i < workerCount; ++i) {
        addWorker();
    }
    for (std::size_t i = 0; i < nodeCount; ++i) {
        addNode();
    }
}

std::size_t World::addNode()
{
    nodes.emplace_back();
    nodes.back().up = false;
    restart(nodes.size() - 1);
    return nodes.size() - 1;
}

void World::pause(std::size_t node, milliseconds duration)
{
    nodes[node].paused = true;
    after(duration, [this, node, caller = nodes[node].node.get()] {
        if (nodes[node].node.get() == caller) {
            nodes[node].paused = false;
        }
    });
}

Now World::now() const
{
    return {.monotonic = MonotonicTime(time), .wall = wallStart + time};
}

Now World::nowAt(std::size_t node) const
{
    const WorldNode &target = nodes[node];
    return {.monotonic = MonotonicTime(time + target.monotonicOffset),
        .wall = wallStart + time + target.wallOffset + target.wallJump};
}

void World::drawClocks(std::size_t node)
{
    // Halving the limits makes offsets of seconds as frequent as those of an hour.
    const std::uint64_t wall
        = leastWallOffsetMs + randomBelow(random, (mostWallOffsetMs - leastWallOffsetMs) >> randomBelow(random, 10));
    nodes[node].wallOffset = milliseconds(wall) * (randomBelow(random, 2) == 0 ? -1 : 1);
    nodes[node].monotonicOffset = milliseconds(randomBelow(random, mostUptimeMs >> randomBelow(random, 24)));
}

void World::after(milliseconds delay, std::function<void()> act)
{
    m_events.push({.at = time + delay, .order = m_order++, .act = std::move(act)});
}

void World::restart(std::size_t node)
{
    WorldNode &target = nodes[node];
    target.up = true;
    target.paused = false;
    target.held.clear();
    target.node = std::make_unique<Node>();
    target.node->options = {.name = fmt::format("n{}", node),
        .endpoint = {.ip = "10.1.0.1", .port = static_cast<std::uint16_t>(node + 1)},
        .cpuMilli = 500,
        .bounds = {}};
    target.node->random.value = nextRandom(random);
    target.node->outbox.nextCall = nextRandom(random) >> 8;
    target.connected = false;
    target.dialled.reset();
    if (rules.daemonClocks) {
        drawClocks(node);
    }
}

void World::kill(std::size_t node)
{
    disconnect(node);
    for (std::size_t i = 0; i < nodes.size(); ++i) {
        if (i != node && nodes[i].up && nodes[i].connected && nodes[i].connectedTo == nodes[node].node->options.name) {
            nodes[i].connected = false;
            handleNodeDisconnected(*nodes[i].node, nodes[node].node->options.name, nowAt(i));
            handleDialFailure(*nodes[i].node, *nodes[i].dialled, true, nowAt(i));
        }
    }
    nodes[node].up = false;
    nodes[node].node.reset();
}

void World::cutPower(std::size_t node)
{
    nodes[node].up = false;
    nodes[node].node.reset();
}

void World::disconnect(std::size_t node)
{
    WorldNode &from = nodes[node];
    if (!from.connected) {
        return;
    }
    from.connected = false;
    const auto to = nodeAt(*from.dialled);
    // A daemon counts as disconnected with its last connection; the other daemon may have connected too.
    const bool hasOther = to && nodes[*to].connected && nodes[*to].connectedTo == from.node->options.name;
    if (to && nodes[*to].up && !hasOther) {
        handleNodeDisconnected(*nodes[*to].node, from.node->options.name, nowAt(*to));
    }
}

std::optional<std::size_t> World::nodeAt(const Endpoint &endpoint) const
{
    for (std::size_t i = 0; i < nodes.size(); ++i) {
        if (nodes[i].up && nodes[i].node->options.endpoint == endpoint) {
            return i;
        }
    }
    return std::nullopt;
}

std::size_t World::workerIndex(std::string_view id) const
{
    const auto found = std::ranges::find(workers, id, [](const WorldWorker &worker) { return worker.entry.id; });
    return static_cast<std::size_t>(found - workers.begin());
}

Node *World::leader()
{
    const std::size_t index = leaderIndex();
    return index == nodes.size() ? nullptr : nodes[index].node.get();
}

std::size_t World::leaderIndex() const
{
    std::size_t best = nodes.size();
    for (std::size_t i = 0; i < nodes.size(); ++i) {
        const bool leads = nodes[i].up && isLeading(*nodes[i].node);
        if (leads
            && (best == nodes.size()
                || nodes[i].node->leadership.leader.token > nodes[best].node->leadership.leader.token)) {
            best = i;
        }
    }
    return best;
}

void World::connectNodes(std::size_t from, const Endpoint &endpoint)
{
    disconnect(from);
    nodes[from].dialled = endpoint;
    if (endpoint.ip.empty()) {
        return;
    }
    after(networkDelay, [this, from, endpoint] {
        if (!nodes[from].up || nodes[from].dialled != endpoint) {
            return;
        }
        const auto to = nodeAt(endpoint);
        if (!to) {
            handleDialFailure(*nodes[from].node, endpoint, true, nowAt(from));
            return;
        }
        nodes[from].connected = true;
        nodes[from].connectedTo = nodes[*to].node->options.name;
        handleNodeConnected(*nodes[from].node, nodes[*to].node->options.name, nowAt(from));
        handleNodeConnected(*nodes[*to].node, nodes[from].node->options.name, nowAt(*to));
    });
}

void World::reply(std::size_t node, std::function<void(Node &, Now)> handle)
{
    if (!nodes[node].up) {
        return;
    }
    const Node *caller = nodes[node].node.get();
    after(networkDelay, [this, node, caller, handle = std::move(handle)] { deliver(node, caller, handle); });
}

void World::deliver(std::size_t node, const Node *caller, std::function<void(Node &, Now)> handle)
{
    if (!nodes[node].up || nodes[node].node.get() != caller) {
        return;
    }
    if (nodes[node].paused || !nodes[node].held.empty()) {
        nodes[node].held.push_back([this, node, caller, handle = std::move(handle)] {
            if (nodes[node].up && nodes[node].node.get() == caller) {
                handle(*nodes[node].node, nowAt(node));
            }
        });
        return;
    }
    handle(*nodes[node].node, nowAt(node));
}

void World::flush(std::size_t node)
{
    if (!nodes[node].up || nodes[node].paused) {
        return;
    }
    tick(*nodes[node].node, nowAt(node));
    for (const Action &action : takeActions(*nodes[node].node)) {
        std::visit([this, node](const auto &each) { carryOut(node, each); }, action);
    }
}

void World::run(milliseconds duration)
{
    const milliseconds until = time + duration;
    while (time < until) {
        time += milliseconds(1);
        while (!m_events.empty() && m_events.top().at <= time) {
            const Event event = m_events.top();
            m_events.pop();
            event.act();
        }
        if (time.count() % workStep.count() == 0) {
            advanceWorkers(workStep);
            expireLeases();
        }
        for (std::size_t i = 0; i < nodes.size(); ++i) {
            if (!nodes[i].paused) {
                for (const auto &handle : std::exchange(nodes[i].held, {})) {
                    handle();
                }
            }
            if (time.count() % tickInterval.count() == 0 || (nodes[i].up && !nodes[i].node->outbox.actions.empty())) {
                flush(i);
            }
        }
    }
}

bool World::runUntil(const std::function<bool()> &condition, milliseconds limit)
{
    const milliseconds until = time + limit;
    while (!condition()) {
        if (time >= until) {
            return false;
        }
        run(milliseconds(10));
    }
    return true;
}

CallId World::submit(std::size_t at, JobId id, const JobSpec &spec, std::string_view queue, milliseconds timeLeft)
{
    Node &node = *nodes[at].node;
    const CallId call = node.outbox.newCall();
    const JobRecord record{.id = id,
        .queue = *findQueueByName(configuration, std::string(queue)),
        .submittedAt = nowAt(at).wall,
        .spec = spec,
        .tenant = tenantOf(id)};
    m_sentCalls[call] = {.kind = ClientCallKind::Submit, .job = id, .sentAt = time, .tenant = tenantOf(id)};
    submittedAt.try_emplace(id, time);
    specs.try_emplace(id, spec);
    handleClientCall(node,
        {.call = call,
            .kind = ClientCallKind::Submit,
            .queue = std::string(queue),
            .job = id,
            .record = encodeJobRecord(record),
            .tenant = tenantOf(id),
            .isRestricted = configuration.tenants.has_value()},
        timeLeft, nowAt(at));
    return call;
}

CallId World::callAs(std::size_t at, ClientCallKind kind, JobId id, std::string_view tenant)
{
    Node &node = *nodes[at].node;
    const CallId call = node.outbox.newCall();
    const JobRecord record{.id = id,
        .queue = *findQueueByName(configuration, "batch"),
        .submittedAt = nowAt(at).wall,
        .spec = specs[id],
        .tenant = std::string(tenant)};
    m_sentCalls[call] = {.kind = kind, .job = id, .sentAt = time, .tenant = std::string(tenant)};
    handleClientCall(node,
        {.call = call,
            .kind = kind,
            .queue = "batch",
            .job = id,
            .record = kind == ClientCallKind::Submit ? encodeJobRecord(record) : std::string(),
            .tenant = std::string(tenant),
            .isRestricted = true},
        milliseconds(3000), nowAt(at));
    return call;
}

std::string World::tenantOf(JobId id) const
{
    const auto found = tenants.find(id);
    return found == tenants.end() ? std::string() : found->second;
}

CallId World::call(std::size_t at, ClientCallKind kind, JobId id, std::string_view queue)
{
    Node &node = *nodes[at].node;
    const CallId call = node.outbox.newCall();
    m_sentCalls[call] = {.kind = kind, .job = id, .sentAt = time, .tenant = tenantOf(id)};
    handleClientCall(node,
        {.call = call,
            .kind = kind,
            .queue = std::string(queue),
            .job = id,
            .record = {},
            .tenant = tenantOf(id),
            .isRestricted = configuration.tenants.has_value()},
        milliseconds(3000), nowAt(at));
    return call;
}

std::optional<ClientAnswer> World::answerTo(CallId call) const
{
    const auto found = answers.find(call);
    return found == answers.end() ? std::nullopt : std::optional(found->second);
}

std::optional<ClientAnswer> World::ask(std::size_t at, ClientCallKind kind, JobId id)
{
    const CallId callId = call(at, kind, id, "batch");
    runUntil([&] { return answerTo(callId).has_value(); }, milliseconds(4000));
    return answerTo(callId);
}

} // namespace wigeonkeel::dispatch
