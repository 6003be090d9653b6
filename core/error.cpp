#include "core/error.h"

namespace wigeonkeel
{

namespace
{

class Category final : public std::error_category
{
public:
    const char *name() const noexcept override { return "wigeonkeel"; }

    std::string message(int value) const override
    {
        switch (static_cast<Errc>(value)) {
        case Errc::Ok:
            return "success";
        case Errc::InvalidArgument:
            return "invalid argument";
        case Errc::TooLarge:
            return "too large";
        case Errc::Unreachable:
            return "unreachable";
        case Errc::TimedOut:
            return "timed out";
        case Errc::Refused:
            return "refused";
        case Errc::Conflict:
            return "conflict";
        case Errc::NotFound:
            return "not found";
        case Errc::Overloaded:
            return "overloaded";
        case Errc::Unavailable:
            return "unavailable";
        case Errc::Unauthorized:
            return "unauthorized";
        case Errc::Malformed:
            return "malformed";
        case Errc::OutcomeUnknown:
            return "outcome unknown";
        }
        return "unknown error";
    }
};

} // namespace

const std::error_category &errorCategory()
{
    static const Category category;
    return category;
}

std::string describe(const Error &error)
{
    std::string text = error.step;
    if (!error.peer.empty()) {
        text += " (" + error.peer + ")";
    }
    text += ": " + error.code.message();
    if (!error.detail.empty()) {
        text += ": " + error.detail;
    }
    return text;
}

} // namespace wigeonkeel
