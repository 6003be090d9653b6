#include "core/scheduler/submission_settings.h"

#include <fmt/format.h>

namespace wigeonkeel
{

namespace
{

void fillFrom(const WorkloadSettings &workload, const GivenFields &given, Submission &submission)
{
    submission.kind = given.kind ? submission.kind : workload.kind;
    submission.urgency = given.urgency ? submission.urgency : workload.urgency;
    submission.idempotent = given.idempotent ? submission.idempotent : workload.idempotent;
    submission.size = given.size ? submission.size : workload.size;
    submission.declaredRunTime = given.runTime ? submission.declaredRunTime : workload.runTime;
    submission.startWithin = given.startWithin ? submission.startWithin : workload.startWithin;
    submission.taskCount = given.tasks ? submission.taskCount : workload.tasks;
    submission.team = given.team ? submission.team : workload.team;
}

} // namespace

std::string applySettings(const ConfigTable &table, const GivenFields &given, Submission &submission)
{
    const ConfigEntry *entry = findOperator(table, submission.operatorName);
    if (entry == nullptr) {
        return {};
    }
    if (entry->cancelled) {
        return fmt::format("operator '{}' is cancelled", submission.operatorName);
    }
    if (!submission.workload.empty()) {
        const WorkloadSettings *workload = findWorkload(table, submission.operatorName, submission.workload);
        if (workload == nullptr) {
            return fmt::format("generation {} of operator '{}' declares no workload '{}'", entry->generation,
                submission.operatorName, submission.workload);
        }
        fillFrom(*workload, given, submission);
    }
    if (!submission.team.empty() && findTeam(table, submission.operatorName, submission.team) == nullptr) {
        return fmt::format("generation {} of operator '{}' declares no team '{}'", entry->generation,
            submission.operatorName, submission.team);
    }
    return {};
}

} // namespace wigeonkeel
