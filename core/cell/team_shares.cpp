#include "core/cell/team_shares.h"

#include <algorithm>

namespace wigeonkeel
{

namespace
{

TeamWait *findWait(AdmissionTable &table, const TaskLabel &label)
{
    const auto found = table.teams.find({label.operatorName, label.team});
    return found == table.teams.end() ? nullptr : &found->second.waits[static_cast<std::size_t>(label.kind)];
}

} // namespace

void setTeamWeights(AdmissionTable &table, const OperatorSettings &settings)
{
    std::erase_if(table.weights, [&](const auto &item) { return item.first.first == settings.name; });
    for (const auto &[name, team] : settings.teams) {
        table.weights[{settings.name, name}] = std::max(1U, team.weight);
    }
    for (auto &[key, use] : table.teams) {
        if (key.first == settings.name) {
            const auto weight = table.weights.find(key);
            use.weight = weight == table.weights.end() ? 1 : weight->second;
        }
    }
}

bool mayPassWaiting(const AdmissionTable &table, const AdmissionTable::Key &team, TaskKind kind, std::uint32_t passes,
    MonotonicTime now)
{
    return std::ranges::none_of(table.teams, [&](const auto &item) {
        const TeamWait &wait = item.second.waits[static_cast<std::size_t>(kind)];
        return item.first != team && wait.foundNoRoom && wait.passes >= passes && now - wait.since < maxShareHold;
    });
}

void noteNoRoom(AdmissionTable &table, const TaskLabel &label, MonotonicTime now)
{
    TeamWait *wait = findWait(table, label);
    if (wait != nullptr && !wait->foundNoRoom) {
        *wait = {.queued = wait->queued, .foundNoRoom = true, .passes = 0, .since = now};
    }
}

void noteNotPassed(AdmissionTable &table, const TaskLabel &label)
{
    if (TeamWait *wait = findWait(table, label)) {
        wait->foundNoRoom = false;
        wait->passes = 0;
    }
}

void notePasses(AdmissionTable &table, const AdmissionTable::Key &team, TaskKind kind, MonotonicTime now)
{
    for (auto &[key, use] : table.teams) {
        TeamWait &wait = use.waits[static_cast<std::size_t>(kind)];
        if (key == team || !wait.foundNoRoom) {
            continue;
        }
        // A pass beyond the limit means that the hold has ended without a start; the count begins again.
        wait.passes = wait.passes >= maxPasses ? 1 : wait.passes + 1;
        if (wait.passes == 1 || wait.passes == maxPasses) {
            wait.since = now;
        }
    }
}

} // namespace wigeonkeel
