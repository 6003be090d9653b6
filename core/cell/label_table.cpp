#include "core/cell/label_table.h"

namespace wigeonkeel
{

namespace
{

std::uint64_t hashOf(const TaskLabel &label)
{
    std::uint64_t hash = stableHash(label.operatorName, static_cast<std::uint64_t>(label.kind));
    hash = stableHash(label.team, hash + label.urgency);
    hash = stableHash(label.workload, hash + (label.idempotent ? 1 : 0));
    return stableHash(label.home, hash);
}

} // namespace

LabelId internLabel(LabelTable &table, const TaskLabel &label)
{
    std::uint64_t hash = hashOf(label);
    // Two labels with the same hash take neighbouring keys. A removal may leave a gap, which at worst stores a label
    // twice.
    for (;; ++hash) {
        const auto found = table.byHash.find(hash);
        if (found == table.byHash.end()) {
            break;
        }
        LabelTable::Entry &entry = table.entries[found->second];
        if (entry.label == label) {
            ++entry.uses;
            return found->second;
        }
    }
    if (table.unused.empty()) {
        table.unused.push_back(static_cast<LabelId>(table.entries.size()));
        table.entries.emplace_back();
    }
    const LabelId id = table.unused.back();
    table.unused.pop_back();
    table.entries[id] = {.label = label, .hash = hash, .uses = 1};
    table.byHash.emplace(hash, id);
    return id;
}

void releaseLabel(LabelTable &table, LabelId id)
{
    LabelTable::Entry &entry = table.entries[id];
    if (--entry.uses > 0) {
        return;
    }
    table.byHash.erase(entry.hash);
    entry = {};
    table.unused.push_back(id);
}

} // namespace wigeonkeel
