#pragma once

#include "core/clock.h"

namespace wigeonkeel
{

/// Exponentially weighted moving average of round trips, in microseconds.
struct LatencyAverage
{
    double micros = 0;
    bool known = false;
};

/// Weight of a new sample above and below the average.
struct LatencyWeights
{
    double rise = 0.3;
    double fall = 0.1;
};

/// Takes in one round trip. By default a rise counts more than a fall, so that a peer that turns slow is noticed within
/// a few exchanges and has to stay fast for longer to be trusted again.
void noteLatency(LatencyAverage &average, std::chrono::microseconds sample, const LatencyWeights &weights = {});

} // namespace wigeonkeel
