#pragma once

#include <span>
#include <string_view>

namespace wigeonkeel
{

struct Scheduler;

/// A present amount in a daemon's state. Rows of the same name are one metric with several labels.
struct GaugeSpec
{
    std::string_view name;
    std::string_view help;
    /// Both empty if the metric has no label.
    std::string_view labelName;
    std::string_view labelValue;
    double (*value)(const Scheduler &scheduler) = nullptr;
};

/// All gauges of the metrics page; rows of the same name follow each other.
std::span<const GaugeSpec> gaugeSpecs();

} // namespace wigeonkeel
