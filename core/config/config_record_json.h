#pragma once

#include "core/config/config_record.h"

#include <optional>
#include <string>
#include <string_view>

namespace wigeonkeel
{

/// JSON text of a record, as the store keeps it.
std::string encodeOperatorRecord(const OperatorRecord &record);

/// Nothing if the text is not a record; `problem` says why.
std::optional<OperatorRecord> decodeOperatorRecord(std::string_view text, std::string &problem);

} // namespace wigeonkeel
