#pragma once

#include "core/action.h"
#include "core/clock.h"
#include "core/peer_messages.h"

#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace wigeonkeel
{

enum class PeerLiveness : std::uint8_t { Alive, Suspect, Dead };

struct MembershipOptions
{
    PeerInfo self;
    milliseconds heartbeat{500};
    /// A peer that nobody has heard for this time is dead.
    milliseconds deadAfter{3000};
    /// Heartbeats go to this many peers at most.
    std::uint32_t fanout = 8;
    /// Peers from the settings; the name may be empty.
    std::vector<PeerInfo> seeds;
    /// A starting daemon waits at most this long for the peers that the settings and the store name.
    milliseconds settleTime{0};
};

struct PeerState
{
    PeerInfo info;
    PeerLiveness liveness = PeerLiveness::Dead;
    bool linkUp = false;
    /// Named by the settings or by a member record; kept connected while dead.
    bool listed = false;
    MonotonicTime lastHeard{};
    /// When another peer last heard it, as far as known here.
    MonotonicTime lastVouched{};
    /// When the peer was last taken for dead.
    MonotonicTime diedAt{};
    MonotonicTime nextProbe{};
    /// Since when this daemon expects the peer's heartbeats; the epoch if they go to others.
    MonotonicTime watchedSince{};
    /// When another daemon named the peer as dead, until it was heard again; the epoch if nobody did.
    MonotonicTime accusedAt{};
    /// Its messages may still be under way after a restart and are not used.
    std::uint64_t previousIncarnation = 0;
    /// Content of the last heartbeat.
    HeartbeatMessage heartbeat;
};

/// The daemons that this one knows of, without itself.
struct MembershipTable
{
    MembershipOptions options;
    std::map<std::string, PeerState, std::less<>> peers;
    bool selfDraining = false;
    bool started = false;
    /// The other daemons had time to introduce themselves. Before that, this daemon would take itself for the owner of
    /// every worker and the home of every partition.
    bool settled = false;
    MonotonicTime startedAt{};
    std::uint64_t sequence = 0;
    std::uint64_t nextProbe = 1;
    /// Where the rotating part of the names in heartbeats goes on.
    std::size_t rotation = 0;
    MonotonicTime nextHeartbeat{};
};

/// What changed about the live daemons.
enum class MemberChangeKind : std::uint8_t { Joined, Died, Restarted, Draining };

struct MemberChange
{
    std::string peer;
    MemberChangeKind kind = MemberChangeKind::Joined;
};

using MemberChanges = std::vector<MemberChange>;

/// True for this daemon itself and for peers that are not dead.
bool isAlive(const MembershipTable &table, std::string_view daemon);

/// The daemon that should own a worker: the first of the live daemons by rendezvous hashing, those of the worker's
/// availability zone first. Draining peers are left out; a draining daemon counts itself, so that it keeps its workers
/// until it releases them.
std::string_view preferredOwner(const MembershipTable &table, std::string_view worker, std::string_view zone);

/// The daemon that keeps the requests and jobs of a partition: the first of the live daemons by rendezvous hashing,
/// without those that are draining.
std::string_view homeOf(const MembershipTable &table, std::uint32_t partition);

/// As homeOf(), without peers that this daemon has no connection to. A request that was sent nowhere yet goes there: a
/// daemon that was killed counts as live for `deadAfter`, and first attempts sent to it in that time end as unknown.
/// Two daemons may then take themselves for the home; the journal's compare-and-swap decides between them.
std::string_view reachableHomeOf(const MembershipTable &table, std::uint32_t partition);

/// Adds a peer that the settings or the store name. It is dead until it is heard.
void addListedPeer(MembershipTable &table, const PeerInfo &peer, Actions &actions);

/// Decides whether a starting daemon has waited long enough. `storeListed` says that the member records were read.
/// True when it has just settled.
bool settle(MembershipTable &table, bool storeListed, const Now &now);

/// The store no longer names the peer. It is forgotten once it is dead, unless the settings name it.
void removeListedPeer(MembershipTable &table, std::string_view name);

/// A peer introduced itself on a connection.
void onHello(MembershipTable &table, const PeerInfo &peer, const Now &now, Actions &actions, MemberChanges &changes);

/// A heartbeat arrived on the connection to the peer `from`.
void onHeartbeat(MembershipTable &table, std::string_view from, const HeartbeatMessage &message, const Now &now,
    Actions &actions, MemberChanges &changes);

void onLinkChanged(MembershipTable &table, const PeerLinkChanged &event);

/// Answers whether this daemon hears the target or is the target.
void onProbe(
    const MembershipTable &table, std::string_view from, const ProbeMessage &message, const Now &now, Actions &actions);
void onProbeReply(MembershipTable &table, std::string_view from, const ProbeReplyMessage &message, const Now &now,
    Actions &actions, MemberChanges &changes);

/// Connects to listed peers, sends due heartbeats and probes, and takes silent peers for dead. `load` holds what only
/// the caller knows: capacity, queue, revision, leaving workers, draining, store.
///
/// Cost per heartbeat interval: with up to `fanout` peers, one message to each. With more, `fanout` messages, to the
/// successors at distances 1, 2, 4, ... in the order of names, each with at most 16 names and 8 deaths. The receivers
/// watch the sender. So the cost of a daemon doesn't grow with the number of daemons, and news of a death reaches all
/// of them in a logarithmic number of intervals. A daemon that is told of a death by others probes before it believes
/// it; this costs three messages per daemon and interval until the death is settled.
void tickMembership(
    MembershipTable &table, const HeartbeatMessage &load, const Now &now, Actions &actions, MemberChanges &changes);

} // namespace wigeonkeel
