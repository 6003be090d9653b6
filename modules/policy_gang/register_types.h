#pragma once

namespace wigeonkeel
{

struct Registry;

void registerPolicyGang(Registry &registry);

} // namespace wigeonkeel
