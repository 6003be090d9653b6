#include "core/task.h"

#include <array>

namespace wigeonkeel
{

namespace
{

constexpr std::array<std::string_view, taskKindCount> kindNames = {"request", "service", "gang", "batch"};
constexpr std::array<std::string_view, 6> stateNames
    = {"running", "throttled", "checkpointed", "done", "failed", "stopped"};

template <typename Enum, std::size_t count>
std::optional<Enum> parseName(const std::array<std::string_view, count> &names, std::string_view text)
{
    for (std::size_t i = 0; i < count; ++i) {
        if (names[i] == text) {
            return static_cast<Enum>(i);
        }
    }
    return std::nullopt;
}

} // namespace

std::string_view toString(TaskKind kind)
{
    return kindNames[static_cast<std::size_t>(kind)];
}

std::optional<TaskKind> parseTaskKind(std::string_view text)
{
    return parseName<TaskKind>(kindNames, text);
}

std::string_view toString(TaskState state)
{
    return stateNames[static_cast<std::size_t>(state)];
}

std::optional<TaskState> parseTaskState(std::string_view text)
{
    return parseName<TaskState>(stateNames, text);
}

} // namespace wigeonkeel
