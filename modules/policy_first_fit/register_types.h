#pragma once

namespace wigeonkeel
{

struct Registry;

void registerPolicyFirstFit(Registry &registry);

} // namespace wigeonkeel
