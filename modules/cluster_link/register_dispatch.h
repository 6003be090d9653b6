#pragma once

namespace wigeonkeel::dispatch
{

struct DispatchRegistry;

void registerClusterLink(DispatchRegistry &registry);

} // namespace wigeonkeel::dispatch
