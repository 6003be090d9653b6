#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace wigeonkeel
{

/// Identity of a request or job: a 128-bit XXH3 hash of the operator's name and the caller's id.
/// 64 bits would make a collision, and so a wrong answer, likely within a year of peak load.
struct RequestKey
{
    std::uint64_t high = 0;
    std::uint64_t low = 0;

    // clang-tidy 14 takes the 0 inside a defaulted comparison for a null pointer.
    auto operator<=>(const RequestKey &) const = default; // NOLINT(modernize-use-nullptr)
};

/// One task of a request or job. A request has one task with index 0.
struct TaskId
{
    RequestKey job;
    std::uint32_t index = 0;

    auto operator<=>(const TaskId &) const = default; // NOLINT(modernize-use-nullptr)
};

/// The zero-size task whose lease on a worker names the daemon that may commit the worker's capacity.
inline constexpr TaskId ownerTaskId = {.job = {.high = 0, .low = 0}, .index = 0};

/// Number of partitions of the request journal and the job table in the store.
inline constexpr std::uint32_t partitionCount = 32;

RequestKey makeRequestKey(std::string_view operatorName, std::string_view callerId);
std::uint32_t partitionOf(const RequestKey &key);

/// 64-bit hash with a fixed seed, the same on every daemon.
std::uint64_t stableHash(std::string_view text, std::uint64_t seed = 0);

/// Text form: 32 hexadecimal digits.
std::string toString(const RequestKey &key);
/// Text form: the key, a dot and the index in decimal; "owner" for ownerTaskId.
std::string toString(const TaskId &id);
std::optional<RequestKey> parseRequestKey(std::string_view text);
std::optional<TaskId> parseTaskId(std::string_view text);

} // namespace wigeonkeel

template <>
struct std::hash<wigeonkeel::RequestKey>
{
    std::size_t operator()(const wigeonkeel::RequestKey &key) const noexcept
    {
        return key.low ^ (key.high * 0x9e3779b97f4a7c15ULL);
    }
};

template <>
struct std::hash<wigeonkeel::TaskId>
{
    std::size_t operator()(const wigeonkeel::TaskId &id) const noexcept
    {
        return std::hash<wigeonkeel::RequestKey>()(id.job) + id.index * 0xff51afd7ed558ccdULL;
    }
};
