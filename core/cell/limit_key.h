#pragma once

#include <cstdint>
#include <string>
#include <tuple>

namespace wigeonkeel
{

enum class LimitKind : std::uint8_t { None, Workload, Team, Share };

/// Names the limit of a workload or the quota of a team, or the shares of all teams.
struct LimitKey
{
    LimitKind kind = LimitKind::None;
    std::string operatorName;
    /// Of the workload or team.
    std::string name;

    bool operator<(const LimitKey &other) const
    {
        return std::tie(kind, operatorName, name) < std::tie(other.kind, other.operatorName, other.name);
    }
};

} // namespace wigeonkeel
