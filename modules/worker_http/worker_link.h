#pragma once

#include "core/action.h"
#include "core/clock.h"
#include "core/event.h"
#include "core/event_loop.h"
#include "drivers/http/http_client.h"

#include <functional>
#include <map>
#include <memory>
#include <string>

#include <sigc++/sigc++.h>

namespace wigeonkeel
{

/// Connections to one worker: one for exchanges, one on which the worker reports changes as they happen.
struct WorkerLink
{
    std::string name;
    std::unique_ptr<HttpConnection> exchanges;
    std::unique_ptr<HttpConnection> changes;
    /// Boot id of the last report; the sequence counts from the worker's start.
    std::uint64_t boot = 0;
    std::uint64_t sequence = 0;
    bool watching = false;
    /// The worker offers the short call for renewals.
    bool renewCall = false;
};

/// State of the adapter.
struct WorkerLinks
{
    EventLoop &loop;
    Clock clock;
    /// Takes WorkerReport and WorkerExchangeFailed.
    std::function<void(const Event &)> emit;
    std::map<std::string, WorkerLink, std::less<>> links;
    HttpByteCounts byteCounts;
    milliseconds exchangeTimeout{1000};
    milliseconds changeWait{10000};
    sigc::connection sendConnection;
    sigc::connection forgetConnection;
};

void sendExchange(WorkerLinks &links, const SendToWorker &action);
void forgetWorker(WorkerLinks &links, std::string_view worker);

} // namespace wigeonkeel
