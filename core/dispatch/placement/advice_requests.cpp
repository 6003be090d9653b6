#include "core/dispatch/placement/advice_requests.h"

#include "core/dispatch/placement/preemption.h"
#include "core/dispatch/placement/worker_room.h"
#include "core/dispatch/task_runs.h"
#include "core/dispatch/tenant_state.h"
#include "core/log.h"

#include <algorithm>
#include <span>

namespace wigeonkeel::dispatch
{

namespace
{

constexpr std::string_view logPart = "placement";
/// Time after a reply that allowed no worker until the next request for the same step.
constexpr milliseconds adviceRetryDelay{250};
/// The adviser accepts at most this many workers in one call.
constexpr std::size_t maxAdviceWorkers = 100;
/// Number of allowed workers to request, as a multiple of the number of waiting tasks.
constexpr double adviceSurplus = 1.5;
constexpr std::size_t minAdviceWorkers = 4;
/// Lower limit of the expected share of allowed workers. It limits the size of an advice request.
constexpr double minAllowedShare = 0.05;
/// The same as `adviceSurplus` for gangs. It is higher because a request for a gang takes long with few workers too,
/// and all members need room at the same time.
constexpr double gangSurplus = 2.5;
constexpr std::size_t minGangWorkers = 24;

/// False while an advice request for the step is open, and for a short time after a reply that allowed no worker.
bool canRequestAdvice(const ReadyStep &ready, MonotonicTime now)
{
    return !ready.step->adviceOpen && ready.step->adviceRetryAt <= now;
}

} // namespace

void requestAdvice(Dispatcher &dispatcher, const ReadyStep &ready, std::vector<WorkerSlot> workers, MonotonicTime now)
{
    if (workers.empty() || !canRequestAdvice(ready, now)) {
        return;
    }
    if (workers.size() > maxAdviceWorkers) {
        workers.resize(maxAdviceWorkers);
    }
    const AdviceTimes &times = *ready.queue->advice;
    ready.step->adviceOpen = true;
    const auto expectedTime = times.base + times.perWorker * static_cast<int>(workers.size());
    dispatcher.advisor.waiting.push_back({.step = ready.key,
        .workers = std::move(workers),
        .isExcess = ready.job->record.isExcess,
        .priority = static_cast<std::uint32_t>(ready.rank),
        .dueBy = ready.dueBy,
        .expectedTime = expectedTime,
        .queuedAt = now});
}

namespace
{

/// Workers without a reply of the adviser for this step, those with the most room first.
std::vector<WorkerSlot> workersWithoutAdvice(
    Dispatcher &dispatcher, const ReadyStep &ready, bool withRoom, MonotonicTime now)
{
    std::vector<std::pair<std::int64_t, WorkerSlot>> found;
    for (WorkerSlot slot = 0; slot < dispatcher.workers.workers.size(); ++slot) {
        const Worker &worker = dispatcher.workers.workers[slot];
        const bool known = ready.step->allowed.contains(slot) || ready.step->denied.contains(slot);
        if (known || !isEligible(ready, worker, now)) {
            continue;
        }
        const Resources room = freeRoom(worker);
        if (withRoom && !fits(chargedSize(*ready.spec), room)) {
            continue;
        }
        found.emplace_back(-room.cpuMilli, slot);
    }
    std::ranges::sort(found);
    std::vector<WorkerSlot> slots;
    slots.reserve(found.size());
    for (const auto &[room, slot] : found) {
        slots.push_back(slot);
    }
    return slots;
}

/// Number of workers to request advice for so that enough of them are likely to be allowed.
std::size_t adviceWorkerCount(const Dispatcher &dispatcher, const ReadyStep &ready)
{
    const double share = std::max(minAllowedShare, allowedShare(dispatcher.advisor, ready.queue->name));
    const std::uint32_t tasks = startsWithinCap(dispatcher, *ready.job, *ready.spec, ready.step->waiting);
    const double wanted = static_cast<double>(tasks) * adviceSurplus / share;
    return std::max(minAdviceWorkers, static_cast<std::size_t>(wanted) + 1);
}

/// Number of workers at the front of the list of which so many are probably allowed that the gang fits on them. More
/// than the list has if it is too short.
template <typename RoomOf>
std::size_t workersForGang(
    const Dispatcher &dispatcher, const ReadyStep &ready, std::span<const WorkerSlot> workers, RoomOf roomOf)
{
    const double share = std::max(minAllowedShare, allowedShare(dispatcher.advisor, ready.queue->name));
    const auto members = static_cast<std::uint32_t>(ready.step->tasks.size());
    double likely = 0;
    std::size_t count = 0;
    while (count < minGangWorkers || likely < gangSurplus * members) {
        if (count == workers.size()) {
            return count + 1;
        }
        likely += share * countFitting(chargedSize(*ready.spec), roomOf(workers[count++]), members);
    }
    return count;
}

/// Shortens the list to the workers that the gang probably needs: each worker makes the call longer. If they have too
/// little free room, the room counts that the gang can get by pre-emption.
void trimAdviceForGang(
    const Dispatcher &dispatcher, const ReadyStep &ready, std::vector<WorkerSlot> &workers, MonotonicTime now)
{
    const auto freeOf = [&](WorkerSlot slot) { return freeRoom(dispatcher.workers.workers[slot]); };
    const auto obtainableOf
        = [&](WorkerSlot slot) { return freeOf(slot) + preemptibleRoom(dispatcher, ready, slot, now); };
    std::size_t count = workersForGang(dispatcher, ready, workers, freeOf);
    if (count > std::min(workers.size(), maxAdviceWorkers)) {
        count = workersForGang(dispatcher, ready, workers, obtainableOf);
    }
    workers.resize(std::min(workers.size(), count));
}

} // namespace

bool requestMoreAdvice(Dispatcher &dispatcher, const ReadyStep &ready, MonotonicTime now)
{
    // Checked before the list of workers is built, as hundreds of steps may be waiting for replies.
    if (!canRequestAdvice(ready, now)) {
        return true;
    }
    std::vector<WorkerSlot> workers = workersWithoutAdvice(dispatcher, ready, !ready.spec->gang, now);
    if (workers.empty() && ready.step->allowed.empty()) {
        workers = workersWithoutAdvice(dispatcher, ready, false, now);
    }
    if (workers.empty()) {
        return false;
    }
    if (ready.spec->gang) {
        trimAdviceForGang(dispatcher, ready, workers, now);
    } else {
        workers.resize(std::min(workers.size(), adviceWorkerCount(dispatcher, ready)));
    }
    requestAdvice(dispatcher, ready, std::move(workers), now);
    return true;
}

milliseconds adviceTime(const ReadyStep &ready, std::size_t workers)
{
    if (!ready.queue->advice) {
        return milliseconds(0);
    }
    const auto expectedTime = ready.queue->advice->base + ready.queue->advice->perWorker * static_cast<int>(workers);
    return std::chrono::ceil<milliseconds>(expectedTime);
}

bool canAdviceFindRoom(Dispatcher &dispatcher, const ReadyStep &ready, MonotonicTime now)
{
    const Resources size = chargedSize(*ready.spec);
    const auto members = static_cast<std::uint32_t>(ready.step->tasks.size());
    const auto fittingOn
        = [&](WorkerSlot slot) { return countFitting(size, freeRoom(dispatcher.workers.workers[slot]), members); };
    double likely = 0;
    for (const auto &[slot, allowance] : ready.step->allowed) {
        likely += fittingOn(slot);
    }
    const double share = allowedShare(dispatcher.advisor, ready.queue->name);
    const std::vector<WorkerSlot> others = workersWithoutAdvice(dispatcher, ready, true, now);
    for (const WorkerSlot slot : std::span(others).first(std::min(others.size(), maxAdviceWorkers))) {
        likely += share * fittingOn(slot);
    }
    return !others.empty() && likely >= members;
}

void handleAdviceReply(Dispatcher &dispatcher, const AdviceReply &reply, MonotonicTime now)
{
    auto open = closeAdviceRequest(dispatcher.advisor, reply, now);
    if (!open) {
        return;
    }
    Job *job = findJob(dispatcher.jobs, open->request.step.job);
    StepRun *step = job == nullptr || isEnded(job->state) ? nullptr : findStep(*job, open->request.step);
    if (step == nullptr) {
        return;
    }
    if (reply.status != CallStatus::Ok) {
        logLine(LogLevel::Info, logPart, "Advice call failed; the request is queued again. step={} status={} tries={}",
            formatStepKey(open->request.step), static_cast<int>(reply.status), open->request.tries);
        requeueAdviceRequest(dispatcher.advisor, std::move(open->request));
        return;
    }
    step->adviceOpen = false;
    // Renewed tickets don't count for the share of allowed workers: their workers were all allowed before.
    std::size_t newCount = 0;
    std::size_t newlyAllowed = 0;
    const milliseconds validity = queueOf(dispatcher, *job).advice.value_or(AdviceTimes{}).ticketValidity;
    for (std::size_t i = 0; i < open->request.workers.size(); ++i) {
        const WorkerSlot slot = open->request.workers[i];
        const bool isNew = !step->allowed.contains(slot) && !step->denied.contains(slot);
        newCount += isNew ? 1 : 0;
        const auto row = std::ranges::find(reply.allowed, dispatcher.workers.workers[slot].entry.id, &Ticket::worker);
        if (row == reply.allowed.end()) {
            step->denied.insert(slot);
            continue;
        }
        newlyAllowed += isNew ? 1 : 0;
        step->allowed[slot] = {.ticket = row->ticket,
            .validUntil = now + (reply.validity.count() > 0 ? reply.validity : validity),
            .incarnation = open->incarnations[i]};
    }
    step->adviceRetryAt = reply.allowed.empty() ? now + adviceRetryDelay : now;
    recordAllowedShare(dispatcher.advisor, job->record.queue.name, newCount, newlyAllowed);
    logLine(LogLevel::Info, logPart,
        "Advice received. step={} asked={} allowed={} waited_ms={} call_ms={} requests_waiting={}",
        formatStepKey(open->request.step), open->request.workers.size(), reply.allowed.size(),
        std::chrono::floor<milliseconds>(now - open->request.queuedAt).count(),
        std::chrono::floor<milliseconds>(now - open->sentAt).count(), dispatcher.advisor.waiting.size());
    observe(dispatcher, DurationKind::Advice, now - open->request.queuedAt);
    dispatcher.placementDue = true;
}

} // namespace wigeonkeel::dispatch
