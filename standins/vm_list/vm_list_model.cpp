#include "standins/vm_list/vm_list_model.h"

#include "core/ids.h"

#include <algorithm>

#include <fmt/format.h>

namespace wigeonkeel
{

namespace
{

milliseconds lagOf(const VmListOptions &options, std::uint64_t change, std::string_view reader)
{
    const auto range = static_cast<std::uint64_t>(std::max<std::int64_t>(0, (options.maxLag - options.minLag).count()));
    const std::uint64_t draw = stableHash(fmt::format("{}/{}", change, reader), options.seed);
    return options.minLag + milliseconds(draw % (range + 1));
}

void addChange(VmListModel &list, std::string_view name, std::optional<VmEntry> vm, MonotonicTime now)
{
    std::vector<VmChange> &changes = list.changes[std::string(name)];
    // The last change that every reader sees already is the oldest that is still needed.
    while (changes.size() > 1 && changes[1].at + list.options.maxLag <= now) {
        changes.erase(changes.begin());
    }
    changes.push_back({.at = now, .number = list.nextNumber++, .vm = std::move(vm)});
}

} // namespace

void setVm(VmListModel &list, const VmEntry &vm, MonotonicTime now)
{
    addChange(list, vm.name, vm, now);
}

void removeVm(VmListModel &list, std::string_view name, MonotonicTime now)
{
    if (list.changes.contains(name)) {
        addChange(list, name, std::nullopt, now);
    }
}

bool markLeaving(VmListModel &list, std::string_view name, MonotonicTime now)
{
    const auto found = list.changes.find(name);
    if (found == list.changes.end() || !found->second.back().vm) {
        return false;
    }
    VmEntry vm = *found->second.back().vm;
    vm.state = VmState::Leaving;
    addChange(list, name, std::move(vm), now);
    return true;
}

std::optional<VmListUpdate> readVms(const VmListModel &list, std::string_view reader, MonotonicTime now)
{
    if (list.outage) {
        return std::nullopt;
    }
    VmListUpdate update;
    for (const auto &[name, changes] : list.changes) {
        const auto seen = std::find_if(changes.rbegin(), changes.rend(), [&list, reader, now](const VmChange &change) {
            return change.at + lagOf(list.options, change.number, reader) <= now;
        });
        if (seen != changes.rend() && seen->vm) {
            update.vms.push_back(*seen->vm);
        }
    }
    return update;
}

} // namespace wigeonkeel
