#pragma once

namespace wigeonkeel
{

struct Registry;

void registerPeerLink(Registry &registry);

} // namespace wigeonkeel
