#pragma once

#include <cstdint>
#include <exception>
#include <string_view>
#include <utility>

namespace wigeonkeel
{

/// Number of exceptions that callGuarded() has caught in this process.
std::uint64_t unexpectedErrors();

/// Logs and counts an exception that nothing expected.
void reportUnexpectedError(std::string_view where, std::string_view what);

/// Calls a function of the program from a callback of the event loop. Returns false if an exception left the function;
/// it is logged and counted. Without this, one unexpected error would reach the C code of the loop and end the process.
template <typename Function>
bool callGuarded(std::string_view where, Function &&function)
{
    try {
        std::forward<Function>(function)();
        return true;
    } catch (const std::exception &error) {
        reportUnexpectedError(where, error.what());
    } catch (...) {
        reportUnexpectedError(where, "an exception that is not derived from std::exception");
    }
    return false;
}

} // namespace wigeonkeel
