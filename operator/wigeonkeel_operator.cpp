#include "operator/wigeonkeel_operator.h"

#include "core/config/operator_parser.h"

#include <cstdio>
#include <set>

#include <fmt/format.h>

namespace wigeonkeel
{

namespace
{

/// What the options of all kinds have in common.
template <typename Options>
WorkloadSettings makeWorkload(const Options &options, TaskKind kind)
{
    return {.name = options.name,
        .team = options.team,
        .kind = kind,
        .urgency = options.urgency,
        .size = options.size,
        .maxRunning = options.limits.maxRunning,
        .maxQueued = options.limits.maxQueued,
        .maxPerSecond = options.limits.maxPerSecond};
}

WorkloadSettings toWorkload(const RequestDeclaration &options)
{
    WorkloadSettings workload = makeWorkload(options, TaskKind::Request);
    workload.idempotent = options.idempotent;
    workload.runTime = options.runTime;
    workload.startWithin = options.startWithin;
    return workload;
}

WorkloadSettings toWorkload(const BatchDeclaration &options)
{
    WorkloadSettings workload = makeWorkload(options, TaskKind::Batch);
    workload.tasks = options.tasks;
    workload.runTime = options.runTime;
    workload.maxAttempts = options.maxAttempts;
    return workload;
}

WorkloadSettings toWorkload(const GangDeclaration &options)
{
    WorkloadSettings workload = makeWorkload(options, TaskKind::Gang);
    workload.tasks = options.tasks;
    workload.runTime = options.runTime;
    workload.startWithin = options.startWithin;
    workload.maxAttempts = options.maxAttempts;
    return workload;
}

WorkloadSettings toWorkload(const ServiceDeclaration &options)
{
    WorkloadSettings workload = makeWorkload(options, TaskKind::Service);
    workload.tasks = options.tasks;
    workload.maxAttempts = options.maxAttempts;
    return workload;
}

/// Gathers settings by name and reports names that are declared twice; a map would drop one silently.
struct Builder
{
    OperatorSettings settings;
    std::vector<SettingProblem> problems;

    template <typename Options>
    void addWorkloads(const std::vector<Options> &all)
    {
        for (const Options &options : all) {
            if (!settings.workloads.emplace(options.name, toWorkload(options)).second) {
                problems.push_back({.line = 0, .text = fmt::format("workload '{}' is declared twice", options.name)});
            }
        }
    }
};

Builder build(const OperatorDeclaration &declaration)
{
    Builder builder;
    builder.settings.name = declaration.name;
    builder.settings.description = declaration.description;
    for (const TeamSettings &team : declaration.teams) {
        if (!builder.settings.teams.emplace(team.name, team).second) {
            builder.problems.push_back({.line = 0, .text = fmt::format("team '{}' is declared twice", team.name)});
        }
    }
    builder.addWorkloads(declaration.requests);
    builder.addWorkloads(declaration.batches);
    builder.addWorkloads(declaration.gangs);
    builder.addWorkloads(declaration.services);
    for (const PolicyOptions &policy : declaration.policies) {
        std::string &present = builder.settings.policies.at(static_cast<std::size_t>(policy.kind));
        if (!present.empty()) {
            builder.problems.push_back(
                {.line = 0, .text = fmt::format("policy {} is declared twice", toString(policy.kind))});
        }
        present = policy.name;
    }
    return builder;
}

} // namespace

std::vector<SettingProblem> check(const OperatorDeclaration &declaration)
{
    Builder builder = build(declaration);
    parseOperatorSettings(declaration.name, printOperatorSettings(builder.settings), builder.problems);
    return std::move(builder.problems);
}

std::string printIni(const OperatorDeclaration &declaration)
{
    return printOperatorSettings(build(declaration).settings);
}

int printOrExplain(const OperatorDeclaration &declaration)
{
    const std::vector<SettingProblem> problems = check(declaration);
    if (!problems.empty()) {
        fmt::print(stderr, "{}", describe(problems));
        return 1;
    }
    fmt::print("{}", printIni(declaration));
    return 0;
}

} // namespace wigeonkeel
