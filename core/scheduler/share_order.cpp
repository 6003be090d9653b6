#include "core/scheduler/share_order.h"

#include "core/cell/team_shares.h"
#include "core/scheduler/scheduler.h"

namespace wigeonkeel
{

namespace
{

AdmissionTable::Key teamOf(const TaskLabel &label)
{
    return {label.operatorName, label.team};
}

} // namespace

bool isAboveShare(const Scheduler &scheduler, const TaskLabel &label, const Resources &size)
{
    const AdmissionTable &admission = scheduler.cell.admission;
    const bool shared = label.kind == TaskKind::Service || label.kind == TaskKind::Batch;
    return shared && admission.waitingTeams > 0
        && !mayTakeIdle(admission, teamOf(label), size, totalCapacity(scheduler.cell));
}

bool mayStartAboveShare(const Scheduler &scheduler, const TaskLabel &label, const Now &now)
{
    return mayPassWaiting(scheduler.cell.admission, teamOf(label), label.kind, maxPasses, now.monotonic);
}

bool mayTakeOffered(const Scheduler &scheduler, const TaskLabel &label, const Resources &size, const Now &now)
{
    return !isAboveShare(scheduler, label, size)
        || mayPassWaiting(scheduler.cell.admission, teamOf(label), label.kind, 0, now.monotonic);
}

void releaseShares(Scheduler &scheduler)
{
    AdmissionTable &admission = scheduler.cell.admission;
    if (admission.shareRoomVersion != scheduler.cell.roomVersion) {
        admission.shareRoomVersion = scheduler.cell.roomVersion;
        releaseHeld(scheduler.pending, shareLimit);
    }
}

} // namespace wigeonkeel
