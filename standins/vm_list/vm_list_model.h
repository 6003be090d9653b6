#pragma once

#include "core/clock.h"
#include "core/worker_messages.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace wigeonkeel
{

struct VmListOptions
{
    /// A change is visible to a reader after a time in this range; it differs for each pair of change and reader.
    milliseconds minLag{0};
    milliseconds maxLag{0};
    std::uint64_t seed = 1;
};

/// A change to one VM.
struct VmChange
{
    MonotonicTime at{};
    std::uint64_t number = 0;
    /// Nothing if the VM was removed.
    std::optional<VmEntry> vm;
};

/// A VM list without I/O; the time is passed in.
struct VmListModel
{
    VmListOptions options;
    /// Changes by VM, the oldest first. Changes that every reader sees are dropped, except the last of them.
    std::map<std::string, std::vector<VmChange>, std::less<>> changes;
    std::uint64_t nextNumber = 1;
    /// Reads are not answered.
    bool outage = false;
};

void setVm(VmListModel &list, const VmEntry &vm, MonotonicTime now);
void removeVm(VmListModel &list, std::string_view name, MonotonicTime now);
/// False if the list has no VM of this name.
bool markLeaving(VmListModel &list, std::string_view name, MonotonicTime now);

/// The list as one reader sees it; nothing during an outage.
std::optional<VmListUpdate> readVms(const VmListModel &list, std::string_view reader, MonotonicTime now);

} // namespace wigeonkeel
