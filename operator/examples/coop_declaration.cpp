#include "operator/examples/coop.h"

namespace wigeonkeel
{

OperatorDeclaration coopDeclaration()
{
    using std::chrono::minutes;
    return {.name = "coop",
        .description = "School crossing patrols",
        .teams = {{.name = "patrols", .quota = {.slots = 320}, .weight = 10},
            {.name = "planning", .quota = {.cpuMilli = 800'000, .memoryMib = 3'200'000}, .weight = 2}},
        .requests = {{.name = "gap-fill",
                         .team = "patrols",
                         .urgency = 7,
                         .idempotent = true,
                         .size = {.cpuMilli = 500, .memoryMib = 256, .accelerators = 0, .slots = 1},
                         .runTime = milliseconds(400),
                         .startWithin = milliseconds(1900)},
            // A notice that is sent twice does harm. At bell time nothing is more urgent.
            {.name = "notice",
                .team = "patrols",
                .urgency = 9,
                .idempotent = false,
                .size = {.cpuMilli = 100, .memoryMib = 64, .accelerators = 0, .slots = 1},
                .runTime = milliseconds(80),
                .startWithin = milliseconds(1900)}},
        .gangs = {{.name = "term-roster",
            .team = "planning",
            .urgency = 3,
            .size = {.cpuMilli = 8000, .memoryMib = 16'384},
            .tasks = 12,
            .runTime = minutes(30)}}};
}

} // namespace wigeonkeel
