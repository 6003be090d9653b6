#pragma once

namespace wigeonkeel
{

struct Registry;

void registerStoreHttp(Registry &registry);

} // namespace wigeonkeel
