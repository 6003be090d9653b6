#pragma once

#include "core/answer.h"
#include "core/task.h"

#include <cstdint>
#include <string>

namespace wigeonkeel
{

/// Names a caller's open connection at the front end that took it; 0 if nobody waits.
using CallerToken = std::uint64_t;

/// A request or job as a caller submits it.
struct Submission
{
    std::string operatorName;
    std::string id;
    /// When the caller made the id; the same in every attempt.
    WallTime created{};
    /// 1 for the first send, larger for retries, 0 when the caller doesn't say.
    std::uint32_t attempt = 0;
    bool idempotent = false;
    TaskKind kind = TaskKind::Request;
    std::uint8_t urgency = 0;
    std::string team;
    std::string workload;
    std::uint32_t taskCount = 1;
    /// Size of one task.
    Resources size;
    std::string payload;
    milliseconds declaredRunTime{0};
    /// The caller has no use for a start later than this after the submission; 0 for none.
    milliseconds startWithin{0};
};

/// Fields of a submission that the caller named. The settings of its workload supply the others.
struct GivenFields
{
    bool kind = false;
    bool urgency = false;
    bool idempotent = false;
    bool size = false;
    bool runTime = false;
    bool startWithin = false;
    bool tasks = false;
    bool team = false;
};

struct SubmitEvent
{
    CallerToken caller = 0;
    /// Fields that are not given hold the defaults for operators without settings.
    Submission submission;
    GivenFields given;
    /// True if the caller waits for the end; otherwise the first answer may be Running.
    bool wait = true;
};

struct QueryEvent
{
    CallerToken caller = 0;
    std::string operatorName;
    std::string id;
    bool wait = false;
};

struct CancelEvent
{
    CallerToken caller = 0;
    std::string operatorName;
    std::string id;
};

/// The front end's connection to a caller closed; no reply is possible any more.
struct CallerGoneEvent
{
    CallerToken caller = 0;
};

} // namespace wigeonkeel
