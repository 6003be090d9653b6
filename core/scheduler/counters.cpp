#include "core/scheduler/counters.h"

#include <array>

namespace wigeonkeel
{

namespace
{

constexpr std::array specs = {
    CounterSpec{"wigeonkeel_requests_submitted_total", "Submissions taken from callers.", &Counters::requestsSubmitted},
    CounterSpec{"wigeonkeel_starts_sent_total", "Start commands sent to workers.", &Counters::startsSent},
    CounterSpec{"wigeonkeel_tasks_done_total", "Tasks that ended with a result.", &Counters::tasksDone},
    CounterSpec{"wigeonkeel_offers_sent_total", "Tasks offered to a peer, each counted once.", &Counters::offersSent},
    CounterSpec{
        "wigeonkeel_offers_repeated_total", "Offers sent again because no answer came.", &Counters::offersRepeated},
    CounterSpec{"wigeonkeel_offers_accepted_total", "Offers that a peer accepted.", &Counters::offersAccepted},
    CounterSpec{"wigeonkeel_offers_refused_total", "Offers that a peer refused.", &Counters::offersRefused},
    CounterSpec{"wigeonkeel_offers_lost_total", "Offered tasks of which it can't be shown whether they ran.",
        &Counters::offersLost},
    CounterSpec{
        "wigeonkeel_offers_taken_total", "Offers of peers for which a start was sent here.", &Counters::offersTaken},
    CounterSpec{
        "wigeonkeel_offers_turned_down_total", "Offers of peers that were refused here.", &Counters::offersTurnedDown},
    CounterSpec{"wigeonkeel_peers_died_total", "Peers taken for dead.", &Counters::peersDied},
    CounterSpec{
        "wigeonkeel_config_pulls_total", "Times that configuration was asked of a peer.", &Counters::configPulls},
    CounterSpec{"wigeonkeel_config_records_from_peers_total", "Newer configuration records taken over from peers.",
        &Counters::configRecordsFromPeers},
    CounterSpec{
        "wigeonkeel_peer_connections_total", "Connections to peers that were opened.", &Counters::peerConnections},
    CounterSpec{"wigeonkeel_peer_silent_closed_total", "Connections to peers closed because no frame came.",
        &Counters::peerSilentClosed},
    CounterSpec{"wigeonkeel_peer_overflow_closed_total", "Connections closed because the peer did not read.",
        &Counters::peerOverflowClosed},
    CounterSpec{"wigeonkeel_peer_messages_dropped_total",
        "Messages to peers without a connection or too large for a frame.", &Counters::peerMessagesDropped},
    CounterSpec{"wigeonkeel_peer_frames_empty_total", "Frames refused because a message was empty.",
        &Counters::peerFramesEmpty},
    CounterSpec{
        "wigeonkeel_peer_frames_too_large_total", "Frames refused for their length.", &Counters::peerFramesTooLarge},
    CounterSpec{"wigeonkeel_peer_frames_not_verified_total", "Frames refused by the verifier.",
        &Counters::peerFramesNotVerified},
    CounterSpec{"wigeonkeel_peer_frames_bad_value_total", "Frames refused for a value out of range or out of turn.",
        &Counters::peerFramesBadValue},
    CounterSpec{"wigeonkeel_peer_bytes_sent_total", "Bytes given to connections to peers.", &Counters::peerBytesSent},
    CounterSpec{"wigeonkeel_tasks_refused_total", "Tasks that the queue gave up before a start was sent.",
        &Counters::tasksRefused},
    CounterSpec{"wigeonkeel_preemption_commands_total", "Throttle, checkpoint and stop commands for pre-emption.",
        &Counters::preemptionCommands},
    CounterSpec{"wigeonkeel_runaways_throttled_total", "Tasks throttled because they use far more than their charge.",
        &Counters::runawaysThrottled},
    CounterSpec{"wigeonkeel_runaways_stopped_total",
        "Batch tasks stopped because they used far more than their charge while throttled.",
        &Counters::runawaysStopped},
    CounterSpec{"wigeonkeel_peer_frames_sent_total",
        "Frames given to connections to peers, keep-alive frames included.", &Counters::peerFramesSent},
    CounterSpec{"wigeonkeel_peer_keep_alives_total", "Empty frames sent on connections without other traffic.",
        &Counters::peerKeepAlives},
    CounterSpec{"wigeonkeel_worker_exchanges_total", "Exchanges begun with workers.", &Counters::workerExchanges},
    CounterSpec{
        "wigeonkeel_worker_bytes_sent_total", "Bytes sent to workers, with HTTP headers.", &Counters::workerBytesSent},
    CounterSpec{"wigeonkeel_worker_bytes_received_total", "Bytes received from workers, with HTTP headers.",
        &Counters::workerBytesReceived},
    CounterSpec{"wigeonkeel_store_reads_total", "Reads and listings asked of the store.", &Counters::storeReads},
    CounterSpec{"wigeonkeel_store_writes_total", "Writes and removals asked of the store.", &Counters::storeWrites},
    CounterSpec{
        "wigeonkeel_store_lease_calls_total", "Leases opened and renewed in the store.", &Counters::storeLeaseCalls},
    CounterSpec{"wigeonkeel_store_watches_total", "Watches begun at the store.", &Counters::storeWatches},
    CounterSpec{
        "wigeonkeel_store_bytes_sent_total", "Bytes sent to the store, with HTTP headers.", &Counters::storeBytesSent},
    CounterSpec{"wigeonkeel_store_bytes_received_total", "Bytes received from the store, with HTTP headers.",
        &Counters::storeBytesReceived},
    CounterSpec{"wigeonkeel_vm_list_reads_total", "Times that the VM list was read.", &Counters::vmListReads},
    CounterSpec{"wigeonkeel_vm_list_bytes_sent_total", "Bytes sent to the VM list, with HTTP headers.",
        &Counters::vmListBytesSent},
    CounterSpec{"wigeonkeel_vm_list_bytes_received_total", "Bytes received from the VM list, with HTTP headers.",
        &Counters::vmListBytesReceived},
    CounterSpec{
        "wigeonkeel_gangs_started_total", "Gangs of which all tasks were sent to workers.", &Counters::gangsStarted},
    CounterSpec{"wigeonkeel_gangs_refused_total", "Starts of gangs that were given up.", &Counters::gangsRefused},
    CounterSpec{
        "wigeonkeel_gangs_undone_total", "Gangs that were started in part and stopped.", &Counters::gangsUndone},
    CounterSpec{"wigeonkeel_gang_reservations_expired_total", "Reservations that were not committed in time.",
        &Counters::gangReservationsExpired},
    CounterSpec{
        "wigeonkeel_jobs_accepted_total", "Jobs whose records were written here first.", &Counters::jobsAccepted},
    CounterSpec{"wigeonkeel_jobs_refused_total", "Jobs that were refused on submission.", &Counters::jobsRefused},
    CounterSpec{"wigeonkeel_jobs_cancelled_total", "Jobs that callers cancelled.", &Counters::jobsCancelled},
    CounterSpec{"wigeonkeel_jobs_ended_total", "Jobs that ended here.", &Counters::jobsEnded},
    CounterSpec{"wigeonkeel_jobs_taken_over_total", "Jobs taken over from another daemon.", &Counters::jobsTakenOver},
    CounterSpec{
        "wigeonkeel_jobs_handed_over_total", "Jobs that another daemon has taken over.", &Counters::jobsHandedOver},
    CounterSpec{"wigeonkeel_refused_for_memory_total",
        "Requests, jobs and forwards that were refused because of the settings max_bytes.",
        &Counters::refusedForMemory},
    CounterSpec{"wigeonkeel_job_writes_total", "Writes of job records.", &Counters::jobWrites},
};

} // namespace

std::span<const CounterSpec> counterSpecs()
{
    return specs;
}

} // namespace wigeonkeel
