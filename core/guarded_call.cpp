#include "core/guarded_call.h"

#include "core/log.h"

namespace wigeonkeel
{

namespace
{

std::uint64_t caught = 0;

} // namespace

std::uint64_t unexpectedErrors()
{
    return caught;
}

void reportUnexpectedError(std::string_view where, std::string_view what)
{
    ++caught;
    logLine(LogLevel::Error, where, "Unexpected error; the event is dropped. error={} errors={}", what, caught);
}

} // namespace wigeonkeel
