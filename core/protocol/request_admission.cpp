#include "core/protocol/request_admission.h"

#include <algorithm>

namespace wigeonkeel
{

namespace
{

AdmissionStep drop(const RequestOptions &options, std::string_view reason)
{
    return {.kind = AdmissionStepKind::Drop,
        .answer = {.outcome = Outcome::Unknown, .reason = std::string(reason), .retryAfter = options.retryAfter}};
}

AdmissionStep answerRecorded(const JournalEntry &recorded)
{
    return {.kind = AdmissionStepKind::Answer, .answer = recorded.answer};
}

bool anyStatus(const RequestEntry &entry, LookupStatus status)
{
    return std::ranges::any_of(
        entry.lookups, [status](const auto &item) { return item.second.answered && item.second.status == status; });
}

/// True if every daemon with a session has denied to know the request.
bool allSessionsDenied(const RequestEntry &entry)
{
    return std::ranges::all_of(entry.lookups, [](const auto &item) {
        const LookupTarget &target = item.second;
        return target.incarnation == 0 || (target.answered && target.status == LookupStatus::NotKnown);
    });
}

AdmissionStep stepChecking(
    const RequestEntry &entry, const AdmissionView &view, const RequestOptions &options, const Now &now)
{
    if (view.recorded != nullptr && view.recorded->ended) {
        return answerRecorded(*view.recorded);
    }
    if (!options.rules.lookupBeforeRetry && !entry.queryOnly && view.journalFresh && view.recorded == nullptr) {
        return {.kind = AdmissionStepKind::RecordIntent};
    }
    const bool known = view.journalFresh && view.sessionsFresh;
    if (known || now.monotonic - entry.phaseSince >= options.patience) {
        return {.kind = AdmissionStepKind::LookUp};
    }
    return {};
}

AdmissionStep decideAfterLookup(const RequestEntry &entry, const AdmissionView &view, const RequestOptions &options)
{
    if (anyStatus(entry, LookupStatus::OnWorker)) {
        return {.kind = AdmissionStepKind::Adopt};
    }
    // A task that was seen on a worker has run, wherever it is now.
    if (view.recorded != nullptr || entry.adopted || (entry.takenByOther && !view.journalFresh)) {
        return drop(options, "it may have been started, and its end is not known");
    }
    if (entry.queryOnly) {
        return drop(options, "no such request is known");
    }
    if (!view.journalFresh || !view.sessionsFresh) {
        return drop(options, "an earlier attempt may have run, and the store does not answer");
    }
    if (!allSessionsDenied(entry)) {
        return drop(options, "an earlier attempt may have run at a daemon that does not answer");
    }
    if (options.rules.sessionFloor && entry.submission.created < view.sessionFloor) {
        return drop(options, "an earlier attempt may have run at a daemon that has failed");
    }
    if (entry.submission.created < view.journalFloor) {
        return drop(options, "it was created too long ago to show whether it ran");
    }
    return {.kind = AdmissionStepKind::RecordIntent};
}

AdmissionStep stepLookingUp(
    const RequestEntry &entry, const AdmissionView &view, const RequestOptions &options, const Now &now)
{
    if (view.recorded != nullptr && view.recorded->ended) {
        return answerRecorded(*view.recorded);
    }
    if (!allAnswered(entry) && now.monotonic - entry.phaseSince < options.lookupTimeout) {
        return {.kind = now.monotonic >= entry.nextLookup ? AdmissionStepKind::LookUpAgain : AdmissionStepKind::Wait};
    }
    return decideAfterLookup(entry, view, options);
}

/// The store has not confirmed the intent in time.
AdmissionStep stepOutage(
    const RequestEntry &entry, const AdmissionView &view, const RequestOptions &options, const Now &now)
{
    const Submission &submission = entry.submission;
    if (entry.cleared || submission.attempt != 1) {
        return drop(options, "the store does not answer");
    }
    if (view.hasTombstone) {
        return drop(options, "a later attempt was looked for; it may have been started elsewhere");
    }
    // A retry that was decided before the session was opened was not asked about here. The caller's clock may be ahead.
    const bool inSession = view.sessionOpen && submission.created >= view.sessionOpened + options.memoryClockAhead;
    if (inSession && submission.created <= now.wall + options.memoryClockAhead) {
        return {.kind = AdmissionStepKind::StartFromMemory};
    }
    if (!view.sessionOpen && view.hasPeer) {
        return {.kind = AdmissionStepKind::PassOn};
    }
    return {.kind = AdmissionStepKind::Drop,
        .answer = makeRefusal(options, submission, "the store does not answer, and this daemon may not start it", now)};
}

AdmissionStep stepRecording(
    const RequestEntry &entry, const AdmissionView &view, const RequestOptions &options, const Now &now)
{
    if (now.monotonic - entry.phaseSince < options.patience) {
        return {};
    }
    return stepOutage(entry, view, options, now);
}

/// Looks for the task of an idempotent request. It is started when every worker is held by a daemon that denies to have
/// the task: starts of former holders have no valid lease any more, so that it runs nowhere and can't begin to.
AdmissionStep stepSearching(
    const RequestEntry &entry, const AdmissionView &view, const RequestOptions &options, const Now &now)
{
    if (anyStatus(entry, LookupStatus::OnWorker)) {
        return {.kind = AdmissionStepKind::Adopt};
    }
    if (allAnswered(entry) && view.allWorkersHeld) {
        return {.kind = AdmissionStepKind::Start};
    }
    if (now.monotonic - entry.lookupBegan >= options.searchTimeout) {
        return drop(options, "an earlier attempt may still run where it can't be seen");
    }
    return {.kind = now.monotonic >= entry.nextLookup ? AdmissionStepKind::LookUpAgain : AdmissionStepKind::Wait};
}

} // namespace

bool allAnswered(const RequestEntry &entry)
{
    return std::ranges::all_of(entry.lookups, [](const auto &item) { return item.second.answered; });
}

AdmissionStep firstStep(const RequestEntry &entry, bool denied, const RequestOptions &options, const Now &now)
{
    const Submission &submission = entry.submission;
    if (entry.queryOnly) {
        return {.kind = AdmissionStepKind::Check};
    }
    if (isSearched(submission)) {
        const bool first = isFirstAttempt(options, submission, now) && !denied;
        return {.kind = first ? AdmissionStepKind::Start : AdmissionStepKind::LookUp};
    }
    if (!isJournaled(submission)) {
        return {.kind = AdmissionStepKind::Start};
    }
    if (submission.created == WallTime{}) {
        return {.kind = AdmissionStepKind::Drop,
            .answer = makeRefusal(options, submission, "a non-idempotent request needs its creation time", now)};
    }
    if (submission.created > now.wall + options.maxClockAhead) {
        return {.kind = AdmissionStepKind::Drop,
            .answer = makeRefusal(options, submission, "its creation time is in the future", now)};
    }
    return {.kind = submission.attempt == 1 ? AdmissionStepKind::RecordIntent : AdmissionStepKind::Check};
}

AdmissionStep nextStep(
    const RequestEntry &entry, const AdmissionView &view, const RequestOptions &options, const Now &now)
{
    const bool undecided = entry.phase == RequestPhase::Checking || entry.phase == RequestPhase::LookingUp;
    const bool searched = !entry.queryOnly && isSearched(entry.submission);
    if (undecided && searched) {
        // A search has rounds; until now it was only asked about.
        return entry.lookupExchange == 0 ? firstStep(entry, view.hasTombstone, options, now)
                                         : stepSearching(entry, view, options, now);
    }
    if (undecided && !entry.queryOnly && !isJournaled(entry.submission)) {
        // It was only asked about until now, and needs no journal.
        return {.kind = AdmissionStepKind::Start};
    }
    switch (entry.phase) {
    case RequestPhase::Checking:
        return stepChecking(entry, view, options, now);
    case RequestPhase::LookingUp:
        return stepLookingUp(entry, view, options, now);
    case RequestPhase::Recording:
        return stepRecording(entry, view, options, now);
    case RequestPhase::Queued:
    case RequestPhase::Starting:
    case RequestPhase::Running:
    case RequestPhase::Ended:
        break;
    }
    // The owner of an adopted task may fail; the peers are asked again now and then.
    const bool checkAgain = entry.adopted && now.monotonic - entry.phaseSince >= 2 * options.retryAfter;
    if (!checkAgain) {
        return {};
    }
    return {.kind = searched ? AdmissionStepKind::LookUp : AdmissionStepKind::Check};
}

void noteLookupReply(
    RequestEntry &entry, const LookupReplyMessage &reply, std::string_view peer, std::uint64_t incarnation)
{
    const auto found = entry.lookups.find(peer);
    if (found == entry.lookups.end()) {
        return;
    }
    LookupTarget &target = found->second;
    const bool other = target.incarnation != 0 && target.incarnation != incarnation;
    if (reply.status == LookupStatus::NotReady || (other && reply.status == LookupStatus::NotKnown)) {
        return;
    }
    target.answered = true;
    target.status = reply.status;
    target.heldWorkers = reply.heldWorkers;
    target.unlisted = reply.unlisted;
}

} // namespace wigeonkeel
