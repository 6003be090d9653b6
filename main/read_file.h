#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace wigeonkeel
{

/// The whole file; nothing if it can't be opened.
std::optional<std::string> readFile(std::string_view path);

} // namespace wigeonkeel
