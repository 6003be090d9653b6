#pragma once

namespace wigeonkeel
{

struct Registry;

void registerWorkerHttp(Registry &registry);

} // namespace wigeonkeel
