#include "drivers/http/limit_counter.h"

#include <array>
#include <string>

#include <prometheus/counter.h>

namespace wigeonkeel
{

std::function<void(HttpLimit)> limitCounter(prometheus::Registry &registry, std::string_view listener)
{
    auto &family = prometheus::BuildCounter()
                       .Name("wigeonkeel_http_limits_total")
                       .Help("Connections closed and requests refused by a limit for clients; see docs/OPERATIONS.md.")
                       .Register(registry);
    std::array<prometheus::Counter *, httpLimitCount> counters{};
    for (std::size_t i = 0; i < httpLimitCount; ++i) {
        counters.at(i) = &family.Add(
            {{"listener", std::string(listener)}, {"limit", std::string(httpLimitName(static_cast<HttpLimit>(i)))}});
    }
    return [counters](HttpLimit limit) { counters.at(static_cast<std::size_t>(limit))->Increment(); };
}

} // namespace wigeonkeel
