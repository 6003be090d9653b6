#pragma once

#include "drivers/http/connection_limit.h"

#include <functional>
#include <string_view>

#include <prometheus/registry.h>

namespace wigeonkeel
{

/// Returns a function for HttpServerOptions::limitReached that counts in wigeonkeel_http_limits_total, by the name of
/// the listening address and by limit. The registry must outlive the function.
std::function<void(HttpLimit)> limitCounter(prometheus::Registry &registry, std::string_view listener);

} // namespace wigeonkeel
