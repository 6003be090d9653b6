#pragma once

namespace wigeonkeel
{

struct Registry;

void registerPolicyBatch(Registry &registry);

} // namespace wigeonkeel
