#include "core/config/config_record.h"

#include <algorithm>

namespace wigeonkeel
{

void addAuditEntry(OperatorRecord &record, AuditEntry entry)
{
    entry.difference.resize(std::min(entry.difference.size(), maxAuditTextBytes));
    entry.refusal.resize(std::min(entry.refusal.size(), maxAuditTextBytes));
    record.audit.push_back(std::move(entry));
    const auto isRefused = [](const AuditEntry &each) { return !each.refusal.empty(); };
    const auto refused = static_cast<std::size_t>(std::ranges::count_if(record.audit, isRefused));
    if (refused > maxRefusedEntries) {
        record.audit.erase(std::ranges::find_if(record.audit, isRefused));
    }
    if (record.audit.size() > maxAuditEntries) {
        record.audit.erase(record.audit.begin());
    }
}

const AuditEntry *findWrite(const OperatorRecord &record, std::string_view writeId)
{
    const auto found = std::ranges::find(record.audit, writeId, &AuditEntry::writeId);
    return found == record.audit.end() ? nullptr : &*found;
}

std::vector<AuditEntry> changesSince(const OperatorRecord &record, std::uint64_t generation)
{
    std::vector<AuditEntry> changes;
    std::ranges::copy_if(record.audit, std::back_inserter(changes),
        [generation](const AuditEntry &entry) { return entry.refusal.empty() && entry.generationAfter > generation; });
    return changes;
}

} // namespace wigeonkeel
