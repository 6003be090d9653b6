#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace wigeonkeel
{

/// RFC 4648 base64 with padding.
std::string encodeBase64(std::string_view bytes);
/// Nothing if the text is not padded base64.
std::optional<std::string> decodeBase64(std::string_view text);

} // namespace wigeonkeel
