#pragma once

#include "drivers/worker_protocol/worker_json.h"

#include <functional>
#include <map>
#include <optional>
#include <string>

namespace wigeonkeel
{

/// Path and query of POST /v1/renew, the short form of an exchange whose only command renews `owner`; nothing for any
/// other exchange. An idle worker gets no other messages, and most of their bytes were the same each time.
std::optional<std::string> renewCallPath(const WorkerExchange &exchange);

/// The exchange that a call with these query fields stands for. Fields that are missing or no numbers are 0 or empty.
WorkerExchange exchangeOfRenewCall(const std::map<std::string, std::string, std::less<>> &query);

} // namespace wigeonkeel
