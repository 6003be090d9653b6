#pragma once

#include "core/clock.h"

namespace wigeonkeel
{

/// The machine's clocks behind the Clock interface.
Clock systemClock();

} // namespace wigeonkeel
