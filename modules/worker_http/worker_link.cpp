#include "modules/worker_http/worker_link.h"

#include "core/log.h"
#include "drivers/worker_protocol/renew_call.h"

namespace wigeonkeel
{

namespace
{

constexpr std::string_view logPart = "worker";
constexpr int statusOk = 200;

std::optional<WorkerReport> readReport(
    const WorkerLinks &links, const HttpResponse &response, MonotonicTime sentAt, std::string &problem)
{
    if (response.error) {
        problem = describe(response.error);
        return std::nullopt;
    }
    if (response.status != statusOk) {
        problem = fmt::format("HTTP status {}", response.status);
        return std::nullopt;
    }
    auto report = decodeReport(response.body, problem);
    if (report) {
        report->sentAt = sentAt;
        report->receivedAt = links.clock.now();
    }
    return report;
}

/// Starts counting changes anew after a restart of the worker.
void noteBoot(WorkerLink &link, const WorkerReport &report)
{
    if (report.boot != link.boot) {
        link.boot = report.boot;
        link.sequence = 0;
    }
}

/// Asks the worker to answer when something on it changes, so that results don't wait for the next exchange.
void watchChanges(WorkerLinks &links, WorkerLink &link)
{
    if (link.watching) {
        return;
    }
    link.watching = true;
    const std::string path = fmt::format("/v1/changes?since={}&wait_ms={}", link.sequence, links.changeWait.count());
    const MonotonicTime sentAt = links.clock.now();
    link.changes->request("GET", path, {}, links.changeWait + links.exchangeTimeout,
        [&links, &link, sentAt](const HttpResponse &response) {
            link.watching = false;
            std::string problem;
            const auto report = readReport(links, response, sentAt, problem);
            if (!report) {
                // The next exchange that is answered starts the watch again.
                return;
            }
            // After a restart this report was selected by a sequence of the former run; the next one asks for
            // everything.
            if (report->boot == link.boot) {
                link.sequence = report->sequence;
            }
            noteBoot(link, *report);
            watchChanges(links, link);
            links.emit(*report);
        });
}

WorkerLink &findLink(WorkerLinks &links, const SendToWorker &action)
{
    const auto [found, added] = links.links.try_emplace(action.worker);
    WorkerLink &link = found->second;
    if (added) {
        link.name = action.worker;
        link.exchanges = std::make_unique<HttpConnection>(links.loop, action.address, action.port);
        link.changes = std::make_unique<HttpConnection>(links.loop, action.address, action.port);
        link.exchanges->countBytes(links.byteCounts);
        link.changes->countBytes(links.byteCounts);
    }
    return link;
}

} // namespace

void sendExchange(WorkerLinks &links, const SendToWorker &action)
{
    WorkerLink &link = findLink(links, action);
    const WorkerExchange exchange{.commands = action.commands, .since = link.sequence, .full = action.fullReport};
    const auto renewal = link.renewCall ? renewCallPath(exchange) : std::nullopt;
    const MonotonicTime sentAt = links.clock.now();
    link.exchanges->request("POST", renewal.value_or("/v1/exchange"),
        renewal ? std::string() : encodeExchange(exchange), links.exchangeTimeout,
        [&links, &link, sentAt, commands = action.commands](const HttpResponse &response) {
            std::string problem;
            const auto report = readReport(links, response, sentAt, problem);
            // After a failure the worker is asked in the form that all understand; its report offers the call again.
            link.renewCall = report && report->abilities.renewCall;
            if (!report) {
                logLine(LogLevel::Debug, logPart, "exchange with worker {} failed: {}", link.name, problem);
                links.emit(WorkerExchangeFailed{.worker = link.name, .commands = commands, .detail = problem});
                return;
            }
            noteBoot(link, *report);
            watchChanges(links, link);
            links.emit(*report);
        });
}

void forgetWorker(WorkerLinks &links, std::string_view worker)
{
    const auto found = links.links.find(worker);
    if (found != links.links.end()) {
        links.links.erase(found);
    }
}

} // namespace wigeonkeel
