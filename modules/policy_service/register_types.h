#pragma once

namespace wigeonkeel
{

struct Registry;

void registerPolicyService(Registry &registry);

} // namespace wigeonkeel
