#pragma once

#include "main/ctl/context.h"

#include <functional>
#include <string>
#include <string_view>

namespace wigeonkeel
{

enum class CtlInterface : std::uint8_t { Operators, Callers };

struct CtlRequest
{
    CtlInterface interface = CtlInterface::Operators;
    std::string_view method = "GET";
    std::string path;
    /// Body of the n-th attempt, counted from 1.
    std::function<std::string(std::uint32_t attempt)> body;
    /// What a progress line says that is being waited for.
    std::string_view waitingFor;
    /// Time for one attempt.
    milliseconds timeout{10000};
};

struct CtlResponse
{
    /// OutcomeUnknown if an attempt may have taken effect and no later one was answered.
    Error error;
    int status = 0;
    std::string body;
};

/// Sends a request to the daemons in turn until one answers. Answers of 503 and 429 lead to the next daemon too, the
/// last of them is returned. A request must be safe to repeat: changes carry a write id, submissions an attempt.
CtlResponse callDaemons(const CtlContext &context, const CtlRequest &request);

/// "a%20b" for "a b".
std::string percentEncoded(std::string_view text);

} // namespace wigeonkeel
