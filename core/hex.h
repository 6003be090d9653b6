#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace wigeonkeel
{

/// Appends two hexadecimal digits for each byte. Results and payloads need not be valid UTF-8, so that a JSON string
/// could change them.
void appendHex(std::string &text, std::string_view bytes);

/// Nothing if the text is not a row of pairs of hexadecimal digits.
std::optional<std::string> bytesFromHex(std::string_view text);

} // namespace wigeonkeel
