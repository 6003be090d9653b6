#pragma once

#include "core/answer.h"
#include "core/caller_messages.h"

#include <optional>
#include <string>
#include <string_view>

namespace wigeonkeel
{

/// Reads the body of POST /v1/requests. `problem` names the field and what is expected.
std::optional<SubmitEvent> decodeSubmission(std::string_view text, std::string &problem);

/// JSON text of an answer.
std::string encodeAnswer(const Answer &answer);

/// HTTP status that goes with an answer.
int statusOf(const Answer &answer);

} // namespace wigeonkeel
