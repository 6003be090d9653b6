#include "core/worker_messages.h"

#include <array>

namespace wigeonkeel
{

namespace
{

constexpr std::array<std::string_view, 8> statusNames
    = {"started", "exists", "late", "refused", "renewed", "not_found", "not_holder", "done"};

} // namespace

std::string_view toString(CommandStatus status)
{
    return statusNames[static_cast<std::size_t>(status)];
}

std::optional<CommandStatus> parseCommandStatus(std::string_view text)
{
    for (std::size_t i = 0; i < statusNames.size(); ++i) {
        if (statusNames[i] == text) {
            return static_cast<CommandStatus>(i);
        }
    }
    return std::nullopt;
}

} // namespace wigeonkeel
