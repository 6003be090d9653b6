#pragma once

#include <string>
#include <string_view>
#include <system_error>

namespace wigeonkeel
{

enum class Errc {
    Ok = 0,
    InvalidArgument,
    TooLarge,
    Unreachable,
    TimedOut,
    Refused,
    Conflict,
    NotFound,
    Overloaded,
    Unavailable,
    Unauthorized,
    Malformed,
    OutcomeUnknown,
};

const std::error_category &errorCategory();

// The name is prescribed by std::error_code.
inline std::error_code make_error_code(Errc code) // NOLINT(readability-identifier-naming)
{
    return {static_cast<int>(code), errorCategory()};
}

/// An error with the step that failed and the peer that the step dealt with.
struct Error
{
    std::error_code code;
    /// What was being done, for example "renew owner lease".
    std::string step;
    /// The other side: a worker, daemon or address; empty for local steps.
    std::string peer;
    /// The value or reason that a reader needs to mend it.
    std::string detail;

    explicit operator bool() const { return static_cast<bool>(code); }
};

/// "renew owner lease (worker w-03): timed out: no answer in 1000 ms".
std::string describe(const Error &error);

} // namespace wigeonkeel

template <>
struct std::is_error_code_enum<wigeonkeel::Errc> : std::true_type
{
};
