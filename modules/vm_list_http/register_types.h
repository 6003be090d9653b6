#pragma once

namespace wigeonkeel
{

struct Registry;

void registerVmListHttp(Registry &registry);

} // namespace wigeonkeel
