#pragma once

#include "core/worker_messages.h"

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace wigeonkeel
{

/// Body of POST /v1/exchange.
struct WorkerExchange
{
    std::vector<WorkerCommand> commands;
    /// Ask only for changes after this sequence.
    std::uint64_t since = 0;
    bool full = false;
};

/// JSON text of an exchange and of a report, as docs/platform-contract.md describes them.
std::string encodeExchange(const WorkerExchange &exchange);
std::string encodeReport(const WorkerReport &report);

/// Nothing if the text is not a valid message; `problem` then says what and where.
std::optional<WorkerExchange> decodeExchange(std::string_view text, std::string &problem);
std::optional<WorkerReport> decodeReport(std::string_view text, std::string &problem);

} // namespace wigeonkeel
