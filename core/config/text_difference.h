#pragma once

#include <string>
#include <string_view>

namespace wigeonkeel
{

/// Lines that were taken out (prefix '-') and put in ('+'), each with its INI section, so that a key that moved to
/// another section shows. Empty if only the order of lines differs.
std::string settingsDifference(std::string_view before, std::string_view after);

} // namespace wigeonkeel
