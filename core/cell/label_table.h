#pragma once

#include "core/task.h"

#include <cstdint>
#include <vector>

#include <absl/container/flat_hash_map.h>

namespace wigeonkeel
{

/// Place of a label in a LabelTable.
using LabelId = std::uint32_t;

/// Labels that many tasks share, stored once and counted. A place is reused when its last task has ended, so that
/// callers who name many workloads over time don't make the table grow.
struct LabelTable
{
    struct Entry
    {
        TaskLabel label;
        std::uint64_t hash = 0;
        std::uint32_t uses = 0;
    };

    std::vector<Entry> entries;
    std::vector<LabelId> unused;
    absl::flat_hash_map<std::uint64_t, LabelId> byHash;
};

/// Counts one more use of a label.
LabelId internLabel(LabelTable &table, const TaskLabel &label);

/// Counts one use less.
void releaseLabel(LabelTable &table, LabelId id);

} // namespace wigeonkeel
