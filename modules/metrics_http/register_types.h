#pragma once

namespace wigeonkeel
{

struct Registry;

void registerMetricsHttp(Registry &registry);

} // namespace wigeonkeel
