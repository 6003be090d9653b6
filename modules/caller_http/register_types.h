#pragma once

namespace wigeonkeel
{

struct Registry;

void registerCallerHttp(Registry &registry);

} // namespace wigeonkeel
