#pragma once

namespace wigeonkeel
{

struct Registry;

void registerPolicyRequest(Registry &registry);

} // namespace wigeonkeel
