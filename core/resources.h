#pragma once

#include <cstdint>
#include <string>

namespace wigeonkeel
{

/// Amounts of each resource that a worker holds or a task asks for.
struct Resources
{
    /// Thousandths of a processor core.
    std::int64_t cpuMilli = 0;
    /// Mebibytes.
    std::int64_t memoryMib = 0;
    /// Whole accelerators.
    std::int64_t accelerators = 0;
    /// Request slots.
    std::int64_t slots = 0;

    bool operator==(const Resources &) const = default;

    Resources &operator+=(const Resources &other)
    {
        cpuMilli += other.cpuMilli;
        memoryMib += other.memoryMib;
        accelerators += other.accelerators;
        slots += other.slots;
        return *this;
    }

    Resources &operator-=(const Resources &other)
    {
        cpuMilli -= other.cpuMilli;
        memoryMib -= other.memoryMib;
        accelerators -= other.accelerators;
        slots -= other.slots;
        return *this;
    }

    friend Resources operator+(Resources left, const Resources &right) { return left += right; }
    friend Resources operator-(Resources left, const Resources &right) { return left -= right; }
};

/// True if every amount of the request is at most the amount that is free.
inline bool fits(const Resources &request, const Resources &free)
{
    return request.cpuMilli <= free.cpuMilli && request.memoryMib <= free.memoryMib
        && request.accelerators <= free.accelerators && request.slots <= free.slots;
}

inline bool isNegative(const Resources &amount)
{
    return amount.cpuMilli < 0 || amount.memoryMib < 0 || amount.accelerators < 0 || amount.slots < 0;
}

/// Largest share of any resource that the amount has of the capacity.
double dominantShare(const Resources &amount, const Resources &capacity);

/// For messages: "1500m cpu, 512 MiB, 0 accelerators, 1 slots".
std::string describe(const Resources &amount);

} // namespace wigeonkeel
