#include "core/routing/latency.h"

namespace wigeonkeel
{

void noteLatency(LatencyAverage &average, std::chrono::microseconds sample, const LatencyWeights &weights)
{
    const auto value = static_cast<double>(sample.count());
    if (!average.known) {
        average = {.micros = value, .known = true};
        return;
    }
    const double weight = value > average.micros ? weights.rise : weights.fall;
    average.micros += weight * (value - average.micros);
}

} // namespace wigeonkeel
