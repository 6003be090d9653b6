#include "core/protocol/membership.h"

#include "core/protocol/member_ring.h"

#include <algorithm>
#include <optional>

#include <fmt/format.h>

namespace wigeonkeel
{

namespace
{

constexpr std::string_view logPart = "membership";
constexpr int missedUntilSuspect = 3;
/// Peers that were heard within this number of heartbeats are named in heartbeats.
constexpr int vouchHeartbeats = 2;
constexpr std::size_t maxNamesInHeartbeat = 16;
constexpr std::size_t maxDeathsInHeartbeat = 8;
constexpr std::size_t indirectProbes = 2;
/// A death is passed on for this many dead times; news passes the ring in a logarithmic number of heartbeats.
constexpr int deathNewsFactor = 4;

void log(Actions &actions, LogLevel level, std::string text)
{
    actions.push_back(LogAction{.level = level, .part = logPart, .text = std::move(text)});
}

void keepPeer(const PeerInfo &peer, bool keep, Actions &actions)
{
    actions.push_back(KeepPeer{.peer = peer, .keep = keep});
}

bool isSeed(const MembershipTable &table, const PeerInfo &peer)
{
    return std::ranges::any_of(table.options.seeds,
        [&](const PeerInfo &seed) { return seed.address == peer.address && seed.port == peer.port; });
}

milliseconds suspectAfter(const MembershipTable &table)
{
    return table.options.heartbeat * missedUntilSuspect;
}

bool isHeard(const MembershipTable &table, const PeerState &peer, MonotonicTime now)
{
    return peer.liveness != PeerLiveness::Dead && now - peer.lastHeard <= table.options.heartbeat * vouchHeartbeats;
}

/// When the peer was last known to live.
MonotonicTime lastEvidence(const PeerState &peer)
{
    return std::max(peer.lastHeard, peer.lastVouched);
}

void noteHeard(PeerState &peer, const Now &now)
{
    peer.lastHeard = now.monotonic;
    peer.accusedAt = {};
}

/// Calls the function with each daemon that takes on new workers or homes.
template <typename Function>
void forEachUsable(const MembershipTable &table, bool withSelf, Function function)
{
    if (withSelf) {
        function(std::string_view(table.options.self.name), std::string_view(table.options.self.zone));
    }
    for (const auto &[name, peer] : table.peers) {
        if (peer.liveness != PeerLiveness::Dead && !peer.heartbeat.draining) {
            function(std::string_view(name), std::string_view(peer.info.zone));
        }
    }
}

void markAlive(PeerState &peer, std::string_view name, Actions &actions, MemberChanges &changes)
{
    const bool joined = peer.liveness == PeerLiveness::Dead;
    peer.liveness = PeerLiveness::Alive;
    if (joined) {
        log(actions, LogLevel::Info, fmt::format("daemon {} is alive", name));
        changes.push_back({.peer = std::string(name), .kind = MemberChangeKind::Joined});
    }
}

void markDead(PeerState &peer, std::string_view name, std::string_view why, const Now &now, Actions &actions,
    MemberChanges &changes)
{
    peer.liveness = PeerLiveness::Dead;
    peer.accusedAt = {};
    peer.diedAt = now.monotonic;
    log(actions, LogLevel::Warning, fmt::format("daemon {} is dead: {}", name, why));
    changes.push_back({.peer = std::string(name), .kind = MemberChangeKind::Died});
}

/// Finds or adds the peer and takes over its incarnation and address. Null for messages of a former incarnation.
PeerState *recognize(
    MembershipTable &table, const PeerInfo &info, const Now &now, Actions &actions, MemberChanges &changes)
{
    if (info.name.empty() || info.name == table.options.self.name) {
        return nullptr;
    }
    auto [found, added] = table.peers.try_emplace(info.name);
    PeerState &peer = found->second;
    if (added) {
        peer.info = info;
        if (!info.address.empty()) {
            keepPeer(info, true, actions);
        }
        return &peer;
    }
    if (info.incarnation != 0 && info.incarnation == peer.previousIncarnation) {
        return nullptr;
    }
    const bool described = !info.address.empty();
    const bool moved = described && (info.address != peer.info.address || info.port != peer.info.port);
    const bool restarted = peer.info.incarnation != 0 && info.incarnation != peer.info.incarnation;
    if (moved) {
        keepPeer(peer.info, false, actions);
        keepPeer(info, true, actions);
    }
    if (restarted) {
        log(actions, LogLevel::Info, fmt::format("daemon {} was restarted", info.name));
        peer.previousIncarnation = peer.info.incarnation;
        peer.heartbeat = {};
        if (peer.liveness != PeerLiveness::Dead) {
            peer.diedAt = now.monotonic;
        }
        changes.push_back({.peer = info.name, .kind = MemberChangeKind::Restarted});
    }
    if (described) {
        peer.info = info;
    }
    peer.info.incarnation = info.incarnation;
    return &peer;
}

/// Another daemon's view only starts probes here: a daemon that can send but not receive takes all others for dead.
void applyDeaths(MembershipTable &table, std::span<const PeerDeath> deaths, const Now &now)
{
    for (const PeerDeath &death : deaths) {
        const auto found = table.peers.find(death.name);
        if (found == table.peers.end() || found->second.liveness == PeerLiveness::Dead) {
            continue;
        }
        PeerState &peer = found->second;
        const bool heardLately = now.monotonic - lastEvidence(peer) < table.options.deadAfter;
        if (peer.info.incarnation == death.incarnation && !heardLately && peer.accusedAt == MonotonicTime{}) {
            peer.accusedAt = now.monotonic;
        }
    }
}

void applyVouches(MembershipTable &table, std::span<const std::string> names, const Now &now, Actions &actions,
    MemberChanges &changes)
{
    // The named peers were heard within this time, not now; crediting the full time would delay a death by it.
    const MonotonicTime heardAt = now.monotonic - table.options.heartbeat * vouchHeartbeats;
    for (const std::string &name : names) {
        const auto found = table.peers.find(name);
        if (found == table.peers.end()) {
            continue;
        }
        PeerState &peer = found->second;
        peer.lastVouched = std::max(peer.lastVouched, heardAt);
        peer.accusedAt = {};
        // The incarnation is known from a record or from the peer itself; without it a death could not be told apart.
        if (peer.liveness == PeerLiveness::Dead && heardAt > peer.diedAt && peer.info.incarnation != 0) {
            markAlive(peer, name, actions, changes);
        }
    }
}

std::string_view chooseHome(const MembershipTable &table, std::uint32_t partition, bool connectedOnly)
{
    std::string_view best;
    std::uint64_t bestRank = 0;
    forEachUsable(table, !table.selfDraining, [&](std::string_view daemon, std::string_view) {
        const auto peer = table.peers.find(daemon);
        if (connectedOnly && peer != table.peers.end() && !peer->second.linkUp) {
            return;
        }
        const std::uint64_t rank = stableHash(daemon, partition);
        if (best.empty() || rank > bestRank) {
            best = daemon;
            bestRank = rank;
        }
    });
    // With nobody else there, the last daemon stays home until it ends.
    return best.empty() ? std::string_view(table.options.self.name) : best;
}

} // namespace

bool isAlive(const MembershipTable &table, std::string_view daemon)
{
    if (daemon == table.options.self.name) {
        return true;
    }
    const auto found = table.peers.find(daemon);
    return found != table.peers.end() && found->second.liveness != PeerLiveness::Dead;
}

std::string_view preferredOwner(const MembershipTable &table, std::string_view worker, std::string_view zone)
{
    std::string_view best;
    std::pair<bool, std::uint64_t> bestRank;
    const std::uint64_t seed = stableHash(worker);
    forEachUsable(table, true, [&](std::string_view daemon, std::string_view daemonZone) {
        const std::pair rank(daemonZone == zone, stableHash(daemon, seed));
        if (best.empty() || rank > bestRank) {
            best = daemon;
            bestRank = rank;
        }
    });
    return best;
}

std::string_view homeOf(const MembershipTable &table, std::uint32_t partition)
{
    return chooseHome(table, partition, false);
}

std::string_view reachableHomeOf(const MembershipTable &table, std::uint32_t partition)
{
    return chooseHome(table, partition, true);
}

void addListedPeer(MembershipTable &table, const PeerInfo &peer, Actions &actions)
{
    if (peer.name.empty()) {
        keepPeer(peer, true, actions);
        return;
    }
    if (peer.name == table.options.self.name) {
        return;
    }
    auto [found, added] = table.peers.try_emplace(peer.name);
    PeerState &state = found->second;
    state.listed = true;
    const bool moved = state.info.address != peer.address || state.info.port != peer.port;
    // A peer that is heard knows its address better than a record that may be old.
    if (!added && (!moved || state.liveness != PeerLiveness::Dead)) {
        return;
    }
    if (!added) {
        keepPeer(state.info, false, actions);
    }
    const std::uint64_t incarnation = added ? peer.incarnation : state.info.incarnation;
    state.info = peer;
    state.info.incarnation = incarnation;
    keepPeer(peer, true, actions);
}

bool settle(MembershipTable &table, bool storeListed, const Now &now)
{
    if (table.settled) {
        return false;
    }
    if (table.startedAt == MonotonicTime{}) {
        table.startedAt = now.monotonic;
    }
    const bool allHeard = std::ranges::all_of(table.peers,
        [](const auto &item) { return !item.second.listed || item.second.liveness != PeerLiveness::Dead; });
    const bool waited = now.monotonic - table.startedAt >= table.options.settleTime;
    table.settled = waited || (storeListed && allHeard);
    return table.settled;
}

void removeListedPeer(MembershipTable &table, std::string_view name)
{
    const auto found = table.peers.find(name);
    if (found != table.peers.end()) {
        found->second.listed = isSeed(table, found->second.info);
    }
}

void onHello(MembershipTable &table, const PeerInfo &info, const Now &now, Actions &actions, MemberChanges &changes)
{
    PeerState *peer = recognize(table, info, now, actions, changes);
    if (peer != nullptr) {
        noteHeard(*peer, now);
        markAlive(*peer, info.name, actions, changes);
    }
}

void onHeartbeat(MembershipTable &table, std::string_view from, const HeartbeatMessage &message, const Now &now,
    Actions &actions, MemberChanges &changes)
{
    if (message.from.name != from) {
        return;
    }
    PeerState *peer = recognize(table, message.from, now, actions, changes);
    if (peer == nullptr || (peer->heartbeat.sequence != 0 && message.sequence <= peer->heartbeat.sequence)) {
        return;
    }
    const bool drainingChanged = peer->heartbeat.draining != message.draining;
    peer->heartbeat = message;
    noteHeard(*peer, now);
    markAlive(*peer, from, actions, changes);
    if (drainingChanged) {
        changes.push_back({.peer = std::string(from), .kind = MemberChangeKind::Draining});
    }
    applyVouches(table, message.alivePeers, now, actions, changes);
    applyDeaths(table, message.deadPeers, now);
}

void onLinkChanged(MembershipTable &table, const PeerLinkChanged &event)
{
    const auto found = table.peers.find(event.peer);
    if (found != table.peers.end()) {
        found->second.linkUp = event.up;
    }
}

void onProbe(
    const MembershipTable &table, std::string_view from, const ProbeMessage &message, const Now &now, Actions &actions)
{
    const auto found = table.peers.find(message.target);
    const bool heard = message.target == table.options.self.name
        || (found != table.peers.end() && isHeard(table, found->second, now.monotonic));
    actions.push_back(SendToPeer{.peer = std::string(from),
        .message = ProbeReplyMessage{.exchange = message.exchange, .target = message.target, .heard = heard}});
}

void onProbeReply(MembershipTable &table, std::string_view from, const ProbeReplyMessage &message, const Now &now,
    Actions &actions, MemberChanges &changes)
{
    if (!message.heard) {
        return;
    }
    applyVouches(table, {&message.target, 1}, now, actions, changes);
    const auto found = table.peers.find(from);
    if (from == message.target && found != table.peers.end()) {
        noteHeard(found->second, now);
    }
}

namespace
{

void fillNames(MembershipTable &table, HeartbeatMessage &message, const Now &now)
{
    std::vector<std::string_view> heard;
    for (const auto &[name, peer] : table.peers) {
        if (isHeard(table, peer, now.monotonic)) {
            heard.push_back(name);
        }
        const bool recentlyDead
            = peer.diedAt != MonotonicTime{} && now.monotonic - peer.diedAt < table.options.deadAfter * deathNewsFactor;
        const bool named = peer.accusedAt != MonotonicTime{} || (peer.liveness == PeerLiveness::Dead && recentlyDead);
        if (named && message.deadPeers.size() < maxDeathsInHeartbeat) {
            message.deadPeers.push_back({.name = name, .incarnation = peer.info.incarnation});
        }
    }
    const std::size_t count = std::min(heard.size(), maxNamesInHeartbeat);
    for (std::size_t i = 0; i < count; ++i) {
        message.alivePeers.emplace_back(heard[(table.rotation + i) % heard.size()]);
    }
    table.rotation = heard.size() <= maxNamesInHeartbeat ? 0 : (table.rotation + count) % heard.size();
}

void sendHeartbeats(MembershipTable &table, std::span<const std::string_view> ring, const HeartbeatMessage &load,
    const Now &now, Actions &actions)
{
    HeartbeatMessage message = load;
    // The rest of the sender's description is in the Hello of the connection.
    message.from = {.name = table.options.self.name, .incarnation = table.options.self.incarnation};
    message.sequence = ++table.sequence;
    fillNames(table, message, now);
    for (const std::string_view target : targetsOf(table, ring, table.options.self.name)) {
        actions.push_back(SendToPeer{.peer = std::string(target), .message = message});
    }
}

void sendProbe(std::string_view to, std::string_view target, std::uint64_t exchange, Actions &actions)
{
    actions.push_back(SendToPeer{
        .peer = std::string(to), .message = ProbeMessage{.exchange = exchange, .target = std::string(target)}});
}

/// Asks the suspect peer itself and two others that its heartbeats go to, so that a single lossy link accuses nobody.
void sendProbes(MembershipTable &table, std::string_view target, Actions &actions)
{
    const std::uint64_t exchange = table.nextProbe++;
    sendProbe(target, target, exchange, actions);
    const std::vector<std::string_view> ring = makeRing(table);
    std::vector<std::pair<std::uint64_t, std::string_view>> helpers;
    for (const std::string_view name : targetsOf(table, ring, target)) {
        const auto peer = table.peers.find(name);
        if (peer != table.peers.end() && peer->second.liveness == PeerLiveness::Alive && peer->second.linkUp) {
            helpers.emplace_back(stableHash(name, exchange), name);
        }
    }
    std::ranges::sort(helpers);
    for (std::size_t i = 0; i < std::min(indirectProbes, helpers.size()); ++i) {
        sendProbe(helpers[i].second, target, exchange, actions);
    }
}

/// Since when the peer has been silent although its heartbeats should come here, or accused; nothing otherwise.
std::optional<MonotonicTime> silentSince(const PeerState &peer)
{
    if (peer.watchedSince != MonotonicTime{}) {
        return std::max(lastEvidence(peer), peer.watchedSince);
    }
    if (peer.accusedAt != MonotonicTime{}) {
        return peer.accusedAt;
    }
    return std::nullopt;
}

void checkPeer(MembershipTable &table, const std::string &name, PeerState &peer, const Now &now, Actions &actions,
    MemberChanges &changes)
{
    const auto since = silentSince(peer);
    const bool accused = peer.accusedAt != MonotonicTime{};
    const bool missed = since && now.monotonic - std::max(peer.lastHeard, peer.watchedSince) >= suspectAfter(table);
    if (!missed && !accused) {
        peer.liveness = PeerLiveness::Alive;
        return;
    }
    if (peer.liveness == PeerLiveness::Alive) {
        peer.liveness = PeerLiveness::Suspect;
        log(actions, LogLevel::Info,
            fmt::format("daemon {} is suspect: {}", name, accused ? "another daemon says so" : "no heartbeat"));
    }
    // An accusation comes after the accuser has waited; three heartbeats are enough for probes.
    const auto limit = accused ? suspectAfter(table) : table.options.deadAfter;
    const auto silence = now.monotonic - *since;
    if (silence >= limit) {
        markDead(peer, name,
            fmt::format("not heard for {} ms", std::chrono::duration_cast<milliseconds>(silence).count()), now, actions,
            changes);
        return;
    }
    if (now.monotonic >= peer.nextProbe) {
        peer.nextProbe = now.monotonic + table.options.heartbeat;
        sendProbes(table, name, actions);
    }
}

void forgetPeers(MembershipTable &table, const Now &now, Actions &actions)
{
    std::erase_if(table.peers, [&](const auto &item) {
        const PeerState &peer = item.second;
        const auto deathNews = table.options.deadAfter * deathNewsFactor;
        // The incarnation is remembered while news of the death is passed on.
        if (peer.listed || peer.linkUp || peer.liveness != PeerLiveness::Dead || isSeed(table, peer.info)
            || now.monotonic - peer.diedAt < deathNews) {
            return false;
        }
        keepPeer(peer.info, false, actions);
        return true;
    });
}

} // namespace

void tickMembership(
    MembershipTable &table, const HeartbeatMessage &load, const Now &now, Actions &actions, MemberChanges &changes)
{
    if (!table.started) {
        table.started = true;
        for (const PeerInfo &seed : table.options.seeds) {
            addListedPeer(table, seed, actions);
        }
    }
    table.selfDraining = load.draining;
    for (auto &[name, peer] : table.peers) {
        if (peer.liveness != PeerLiveness::Dead) {
            checkPeer(table, name, peer, now, actions, changes);
        }
    }
    if (now.monotonic < table.nextHeartbeat) {
        return;
    }
    table.nextHeartbeat = now.monotonic + table.options.heartbeat;
    forgetPeers(table, now, actions);
    const std::vector<std::string_view> ring = makeRing(table);
    refreshWatched(table, ring, now);
    sendHeartbeats(table, ring, load, now, actions);
}

} // namespace wigeonkeel
