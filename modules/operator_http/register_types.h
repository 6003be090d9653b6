#pragma once

namespace wigeonkeel
{

struct Registry;

/// Registers the operators' front end: HTTP with JSON bodies.
void registerOperatorHttp(Registry &registry);

} // namespace wigeonkeel
