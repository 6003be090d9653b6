#include "tests/dispatch/random_faults.h"

#include <algorithm>
#include <array>

namespace wigeonkeel::dispatch
{

namespace
{

constexpr std::uint64_t shortestWorkerPauseMs = 50;

/// The target among the daemons that run; the number of daemons if none does.
std::size_t nodeOf(World &world, const Fault &fault)
{
    const std::size_t leading = world.leaderIndex();
    if (fault.onLeader && leading < world.nodes.size()) {
        return leading;
    }
    std::vector<std::size_t> running;
    for (std::size_t i = 0; i < world.nodes.size(); ++i) {
        if (world.nodes[i].up) {
            running.push_back(i);
        }
    }
    return running.empty() ? world.nodes.size() : running[fault.pick % running.size()];
}

std::size_t workerOf(const World &world, const Fault &fault)
{
    return (fault.pick >> 8) % world.workers.size();
}

/// A subset of the workers, never empty.
std::vector<std::size_t> workersOf(const World &world, const Fault &fault)
{
    std::vector<std::size_t> chosen{workerOf(world, fault)};
    for (std::size_t i = 0; i < world.workers.size(); ++i) {
        if (((fault.pick >> (16 + i % 32)) & 1) != 0) {
            chosen.push_back(i);
        }
    }
    return chosen;
}

/// Sets a member of the target daemon for the fault's time.
template <typename T>
void setOnNode(World &world, const Fault &fault, T WorldNode::*member, T value)
{
    const std::size_t node = nodeOf(world, fault);
    if (node < world.nodes.size()) {
        world.nodes[node].*member = value;
        world.after(fault.length, [&world, node, member] { world.nodes[node].*member = T{}; });
    }
}

/// Adds the target daemon to a set of the store for the fault's time.
void addToStoreSet(World &world, const Fault &fault, std::set<std::size_t> WorldStore::*nodes)
{
    const std::size_t node = nodeOf(world, fault);
    (world.store.*nodes).insert(node);
    world.after(fault.length, [&world, node, nodes] { (world.store.*nodes).erase(node); });
}

void cutLinks(World &world, const Fault &fault, std::set<std::size_t> WorldWorker::*nodes)
{
    const std::size_t node = nodeOf(world, fault);
    for (const std::size_t worker : workersOf(world, fault)) {
        (world.workers[worker].*nodes).insert(node);
        world.after(fault.length, [&world, worker, node, nodes] { (world.workers[worker].*nodes).erase(node); });
    }
}

void refuseAll(World &world, const Fault &fault)
{
    const std::size_t worker = workerOf(world, fault);
    for (std::size_t node = 0; node < world.nodes.size(); ++node) {
        world.workers[worker].refusesFrom.insert(node);
    }
    world.after(fault.length, [&world, worker] { world.workers[worker].refusesFrom.clear(); });
}

void setOnWorker(World &world, const Fault &fault, bool WorldWorker::*member)
{
    const std::size_t worker = workerOf(world, fault);
    world.workers[worker].*member = true;
    world.after(fault.length, [&world, worker, member] { world.workers[worker].*member = false; });
}

void restartLater(World &world, std::size_t node, milliseconds delay)
{
    world.after(delay, [&world, node] {
        if (!world.nodes[node].up && !world.nodes[node].removed) {
            world.restart(node);
        }
    });
}

void stopDaemon(World &world, const Fault &fault, void (World::*stop)(std::size_t))
{
    const std::size_t node = nodeOf(world, fault);
    if (node < world.nodes.size()) {
        (world.*stop)(node);
        restartLater(world, node, fault.length);
    }
}

void pauseDaemon(World &world, const Fault &fault)
{
    const std::size_t node = nodeOf(world, fault);
    if (node < world.nodes.size()) {
        world.pause(node, fault.length);
    }
}

void addDaemon(World &world, const Fault &)
{
    constexpr std::size_t mostDaemons = 8;
    if (world.nodes.size() < mostDaemons) {
        world.addNode();
    }
}

void removeDaemon(World &world, const Fault &fault)
{
    const auto running = std::ranges::count(world.nodes, true, &WorldNode::up);
    const std::size_t node = nodeOf(world, fault);
    if (running < 3 || world.nodes[node].paused) {
        return;
    }
    world.nodes[node].removed = true;
    beginShutdown(*world.nodes[node].node, world.nowAt(node));
    world.after(fault.length, [&world, node, process = world.nodes[node].node.get()] {
        if (world.nodes[node].up && world.nodes[node].node.get() == process) {
            world.kill(node);
        }
    });
}

void revokeLeases(World &world, const Fault &fault)
{
    const bool all = fault.pick % 4 == 0;
    for (std::size_t node = 0; node < world.nodes.size(); ++node) {
        if (all || node == nodeOf(world, fault)) {
            world.revokeLeases(node);
        }
    }
}

void crashAndReplace(World &world, const Fault &fault)
{
    const std::size_t worker = workerOf(world, fault);
    if (world.workers[worker].up) {
        world.workers[worker].refusesWhileDown = fault.pick % 2 == 0;
        world.crashWorker(worker);
        world.after(fault.length, [&world] { world.addWorker(); });
    }
}

void crashAndRestart(World &world, const Fault &fault, milliseconds down)
{
    const std::size_t worker = workerOf(world, fault);
    if (world.workers[worker].up) {
        world.workers[worker].refusesWhileDown = fault.pick % 2 == 0;
        world.crashWorker(worker);
        world.after(down, [&world, worker] { world.restartWorker(worker); });
    }
}

void setLate(World &world, const Fault &fault, std::uint64_t WorldRules::*percent)
{
    world.rules.*percent = 5 + fault.pick % 45;
    world.after(fault.length, [&world, percent] { world.rules.*percent = 0; });
}

void setOnStore(World &world, const Fault &fault, bool WorldStore::*member)
{
    world.store.*member = true;
    world.after(fault.length, [&world, member] { world.store.*member = false; });
}

void slowWorker(World &world, const Fault &fault)
{
    const std::size_t worker = workerOf(world, fault);
    world.workers[worker].latency = milliseconds(20 + (fault.pick >> 12) % 1500);
    world.after(fault.length, [&world, worker] { world.workers[worker].latency = {}; });
}

void drainWorker(World &world, const Fault &fault)
{
    const std::size_t worker = workerOf(world, fault);
    WorkerEntry &entry = world.workers[worker].entry;
    if (!world.workers[worker].up || entry.draining) {
        return;
    }
    entry.draining = true;
    entry.leavesIn = fault.length;
    world.after(fault.length, [&world, worker, incarnation = entry.incarnation] {
        if (world.workers[worker].up && world.workers[worker].entry.incarnation == incarnation) {
            world.crashWorker(worker);
            world.addWorker();
        }
    });
}

milliseconds latencyOf(const Fault &fault)
{
    return milliseconds(100 + (fault.pick >> 4) % 2900);
}

/// From seconds to an hour, either way.
milliseconds wallJumpOf(const Fault &fault)
{
    constexpr std::uint64_t leastMs = 1000;
    constexpr std::uint64_t mostMs = 3600000;
    const milliseconds jump(leastMs + (fault.pick >> 8) % ((mostMs - leastMs) >> (fault.pick >> 4) % 10));
    return fault.pick % 2 == 0 ? jump : -jump;
}

constexpr milliseconds instant{0};
constexpr milliseconds moment{200};
constexpr milliseconds brief{1500};
constexpr milliseconds whole{6000};

const std::array types = std::to_array<FaultType>({
    {"kill daemon", [](World &world, const Fault &fault) { stopDaemon(world, fault, &World::kill); }, moment, whole},
    {"cut power", [](World &world, const Fault &fault) { stopDaemon(world, fault, &World::cutPower); }, moment, whole},
    {"pause daemon", pauseDaemon, moment, whole},
    {"pause after write",
        [](World &world, const Fault &fault) {
            setOnNode(world, fault, &WorldNode::pauseAfterWrite, milliseconds(200 + fault.pick % 4800));
        },
        moment, brief},
    {"store down", [](World &world, const Fault &fault) { setOnStore(world, fault, &WorldStore::down); }, moment,
        whole},
    {"store silent", [](World &world, const Fault &fault) { setOnStore(world, fault, &WorldStore::unresponsive); },
        moment, whole},
    {"store refuses one",
        [](World &world, const Fault &fault) { addToStoreSet(world, fault, &WorldStore::refusedNodes); }, moment,
        whole},
    {"store silent for one",
        [](World &world, const Fault &fault) { addToStoreSet(world, fault, &WorldStore::silentNodes); }, moment, whole},
    {"store replies lost for one",
        [](World &world, const Fault &fault) { addToStoreSet(world, fault, &WorldStore::unansweredNodes); }, moment,
        whole},
    {"keep-alives unanswered",
        [](World &world, const Fault &fault) { addToStoreSet(world, fault, &WorldStore::unansweredKeepAlives); },
        moment, whole},
    {"slow store link",
        [](World &world, const Fault &fault) { setOnNode(world, fault, &WorldNode::storeLatency, latencyOf(fault)); },
        moment, whole},
    {"slow peer link",
        [](World &world, const Fault &fault) { setOnNode(world, fault, &WorldNode::peerLatency, latencyOf(fault)); },
        moment, whole},
    {"peer messages dropped",
        [](World &world, const Fault &fault) { setOnNode(world, fault, &WorldNode::dropsPeerMessages, true); }, moment,
        whole},
    {"leases revoked", revokeLeases, instant, instant},
    {"late writes", [](World &world, const Fault &fault) { setLate(world, fault, &WorldRules::lateWritePercent); },
        moment, whole},
    {"late orders", [](World &world, const Fault &fault) { setLate(world, fault, &WorldRules::lateOrderPercent); },
        moment, whole},
    {"links refused", [](World &world, const Fault &fault) { cutLinks(world, fault, &WorldWorker::refusesFrom); },
        moment, whole},
    {"worker refuses all", refuseAll, moment, whole},
    {"links cut", [](World &world, const Fault &fault) { cutLinks(world, fault, &WorldWorker::unreachableFrom); },
        moment, whole},
    {"worker replaced", crashAndReplace, moment, whole},
    {"worker restarted at once",
        [](World &world, const Fault &fault) {
            crashAndRestart(world, fault, milliseconds(shortestWorkerPauseMs + fault.pick % 250));
        },
        instant, instant},
    {"worker restarted", [](World &world, const Fault &fault) { crashAndRestart(world, fault, fault.length); }, moment,
        whole},
    {"worker slow", slowWorker, moment, whole},
    {"worker drains", drainWorker, moment, whole},
    {"worker silent", [](World &world, const Fault &fault) { setOnWorker(world, fault, &WorldWorker::unresponsive); },
        moment, whole},
    {"worker replies lost",
        [](World &world, const Fault &fault) { setOnWorker(world, fault, &WorldWorker::dropsReplies); }, moment, whole},
    {"worker unlisted", [](World &world, const Fault &fault) { setOnWorker(world, fault, &WorldWorker::unlisted); },
        moment, whole},
    {"daemon joins", addDaemon, instant, instant},
    {"daemon leaves", removeDaemon, moment, brief},
    {"time of day jumps",
        [](World &world, const Fault &fault) { setOnNode(world, fault, &WorldNode::wallJump, wallJumpOf(fault)); },
        moment, whole},
});

} // namespace

std::span<const FaultType> faultTypes()
{
    return types;
}

void endAllFaults(World &world)
{
    world.rules.lateOrderPercent = 0;
    world.rules.lateWritePercent = 0;
    world.store.down = false;
    world.store.unresponsive = false;
    world.store.refusedNodes.clear();
    world.store.silentNodes.clear();
    world.store.unansweredNodes.clear();
    world.store.unansweredKeepAlives.clear();
    for (std::size_t i = 0; i < world.nodes.size(); ++i) {
        WorldNode &node = world.nodes[i];
        node.paused = false;
        node.pauseAfterWrite = {};
        node.storeLatency = {};
        node.peerLatency = {};
        node.wallJump = {};
        node.dropsPeerMessages = false;
        restartLater(world, i, milliseconds(0));
    }
    for (std::size_t worker = 0; worker < world.workers.size(); ++worker) {
        WorldWorker &target = world.workers[worker];
        target.unresponsive = false;
        target.latency = {};
        target.dropsReplies = false;
        target.unlisted = false;
        target.unreachableFrom.clear();
        target.refusesFrom.clear();
    }
}

} // namespace wigeonkeel::dispatch
