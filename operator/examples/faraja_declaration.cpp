#include "operator/examples/faraja.h"

namespace wigeonkeel
{

OperatorDeclaration farajaDeclaration()
{
    using std::chrono::minutes;
    return {.name = "faraja",
        .description = "Lending desk",
        .teams = {{.name = "desk", .quota = {.slots = 320}, .weight = 10},
            {.name = "back-office", .quota = {.cpuMilli = 400'000, .memoryMib = 800'000}, .weight = 1}},
        // Two loans of the same item do harm, so a reservation runs at most once; a late one is of no use at the desk.
        .requests = {{.name = "reservation",
            .team = "desk",
            .urgency = 9,
            .idempotent = false,
            .size = {.cpuMilli = 200, .memoryMib = 128, .accelerators = 0, .slots = 1},
            .runTime = milliseconds(150),
            .startWithin = milliseconds(1900)}},
        .batches = {{.name = "laundry-batch",
                        .team = "back-office",
                        .urgency = 2,
                        .size = {.cpuMilli = 1000, .memoryMib = 2048},
                        .tasks = 20,
                        .runTime = minutes(10),
                        .maxAttempts = 5},
            {.name = "overnight-reconciliation",
                .team = "back-office",
                .urgency = 0,
                .size = {.cpuMilli = 4000, .memoryMib = 8192},
                .tasks = 8,
                .runTime = minutes(90),
                .maxAttempts = 5,
                .limits = {.maxRunning = 40}}}};
}

} // namespace wigeonkeel
