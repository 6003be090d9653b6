#pragma once

#include "core/worker_messages.h"

#include <optional>
#include <string>
#include <string_view>

namespace wigeonkeel
{

/// Text of `{"vms":[{"name","address","port","zone","rack","state":"live"|"leaving"}]}`.
std::string encodeVmList(const VmListUpdate &update);

/// Nothing if the text is not a valid list; `problem` then says what and where.
std::optional<VmListUpdate> decodeVmList(std::string_view text, std::string &problem);

} // namespace wigeonkeel
