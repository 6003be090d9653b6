#pragma once

#include "core/error.h"
#include "core/operator_messages.h"

#include <optional>
#include <string>
#include <string_view>

namespace wigeonkeel
{

/// Reads the body of a change. `problem` names the field and what is expected.
std::optional<OperatorEvent> decodeChange(OperatorCommandKind kind, std::string_view text, std::string &problem);

/// JSON text of a reply to an operator.
std::string encodeOperatorReply(const OperatorReply &reply);

/// JSON text of an error alone.
std::string encodeError(const Error &error);

/// Code of an error in answers: "conflict", "unavailable" and so on, see docs/interface.md.
std::string_view errorName(const Error &error);

/// HTTP status that goes with an error; 200 for none.
int statusOf(const Error &error);

} // namespace wigeonkeel
