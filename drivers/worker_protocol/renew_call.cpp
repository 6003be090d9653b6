#include "drivers/worker_protocol/renew_call.h"

#include <charconv>
#include <cstdlib>
#include <memory>
#include <string_view>

#include <event2/http.h>
#include <fmt/format.h>

namespace wigeonkeel
{

namespace
{

struct FreeText
{
    void operator()(char *text) const { std::free(text); }
};

std::string escape(std::string_view text)
{
    const std::unique_ptr<char, FreeText> escaped(
        evhttp_uriencode(text.data(), static_cast<ev_ssize_t>(text.size()), 0));
    return escaped ? escaped.get() : std::string();
}

std::string_view field(const std::map<std::string, std::string, std::less<>> &query, std::string_view name)
{
    const auto found = query.find(name);
    return found == query.end() ? std::string_view() : std::string_view(found->second);
}

template <typename Number>
Number number(std::string_view text)
{
    Number value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    return error == std::errc() && end == text.data() + text.size() ? value : Number{0};
}

} // namespace

std::optional<std::string> renewCallPath(const WorkerExchange &exchange)
{
    if (exchange.full || exchange.commands.size() != 1) {
        return std::nullopt;
    }
    const WorkerCommand &command = exchange.commands.front();
    if (command.kind != CommandKind::Renew || command.task != ownerTaskId || command.epoch != 0) {
        return std::nullopt;
    }
    std::string path = fmt::format(
        "/v1/renew?holder={}&until_ms={}", escape(command.holder), command.leaseUntil.time_since_epoch().count());
    if (exchange.since != 0) {
        path += fmt::format("&since={}", exchange.since);
    }
    return path;
}

WorkerExchange exchangeOfRenewCall(const std::map<std::string, std::string, std::less<>> &query)
{
    return {.commands = {{.kind = CommandKind::Renew,
                .task = ownerTaskId,
                .leaseUntil = WorkerTime(milliseconds(number<std::int64_t>(field(query, "until_ms")))),
                .holder = std::string(field(query, "holder"))}},
        .since = number<std::uint64_t>(field(query, "since"))};
}

} // namespace wigeonkeel
