#pragma once

#include <cstdint>
#include <span>
#include <string_view>

namespace wigeonkeel
{

/// Counts of what a daemon did since it started. The metrics page shows every row of counterSpecs().
struct Counters
{
    std::uint64_t requestsSubmitted = 0;
    std::uint64_t startsSent = 0;
    std::uint64_t tasksDone = 0;
    std::uint64_t offersSent = 0;
    std::uint64_t offersRepeated = 0;
    std::uint64_t offersAccepted = 0;
    std::uint64_t offersRefused = 0;
    std::uint64_t offersLost = 0;
    std::uint64_t offersTaken = 0;
    std::uint64_t offersTurnedDown = 0;
    std::uint64_t peersDied = 0;
    std::uint64_t configPulls = 0;
    std::uint64_t configRecordsFromPeers = 0;
    std::uint64_t peerConnections = 0;
    std::uint64_t peerSilentClosed = 0;
    std::uint64_t peerOverflowClosed = 0;
    std::uint64_t peerMessagesDropped = 0;
    std::uint64_t peerFramesEmpty = 0;
    std::uint64_t peerFramesTooLarge = 0;
    std::uint64_t peerFramesNotVerified = 0;
    std::uint64_t peerFramesBadValue = 0;
    std::uint64_t peerBytesSent = 0;
    std::uint64_t tasksRefused = 0;
    std::uint64_t preemptionCommands = 0;
    std::uint64_t runawaysThrottled = 0;
    std::uint64_t runawaysStopped = 0;
    std::uint64_t peerFramesSent = 0;
    std::uint64_t peerKeepAlives = 0;
    std::uint64_t workerExchanges = 0;
    std::uint64_t workerBytesSent = 0;
    std::uint64_t workerBytesReceived = 0;
    std::uint64_t storeReads = 0;
    std::uint64_t storeWrites = 0;
    std::uint64_t storeLeaseCalls = 0;
    std::uint64_t storeWatches = 0;
    std::uint64_t storeBytesSent = 0;
    std::uint64_t storeBytesReceived = 0;
    std::uint64_t vmListReads = 0;
    std::uint64_t vmListBytesSent = 0;
    std::uint64_t vmListBytesReceived = 0;
    std::uint64_t gangsStarted = 0;
    std::uint64_t gangsRefused = 0;
    std::uint64_t gangsUndone = 0;
    std::uint64_t gangReservationsExpired = 0;
    std::uint64_t jobsAccepted = 0;
    std::uint64_t jobsRefused = 0;
    std::uint64_t jobsCancelled = 0;
    std::uint64_t jobsEnded = 0;
    std::uint64_t jobsTakenOver = 0;
    std::uint64_t jobsHandedOver = 0;
    std::uint64_t jobWrites = 0;
    /// Requests, jobs and forwards together.
    std::uint64_t refusedForMemory = 0;
};

struct CounterSpec
{
    std::string_view name;
    std::string_view help;
    std::uint64_t Counters::*member = nullptr;
};

std::span<const CounterSpec> counterSpecs();

} // namespace wigeonkeel
