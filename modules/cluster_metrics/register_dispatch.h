#pragma once

namespace wigeonkeel::dispatch
{

struct DispatchRegistry;

void registerClusterMetrics(DispatchRegistry &registry);

} // namespace wigeonkeel::dispatch
