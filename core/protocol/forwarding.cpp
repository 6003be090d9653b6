#include "core/protocol/forwarding.h"

#include <algorithm>

namespace wigeonkeel
{

namespace
{

constexpr std::size_t entryBytes = sizeof(ForwardEntry) + 128;
constexpr std::string_view logPart = "requests";

std::size_t bytesOf(const ForwardEntry &entry)
{
    std::size_t bytes = entryBytes + submittedBytes(entry.submission);
    for (const auto &[offset, chunk] : entry.assembly.chunks) {
        bytes += chunk.size();
    }
    return bytes;
}

bool isFinal(const ForwardEntry &entry, const Answer &answer)
{
    // A home acknowledges a request that is waited for with `running`.
    return answer.outcome != Outcome::Running || !entry.waiter.wait || entry.kind == ForwardKind::Cancel;
}

bool isCovered(const AnswerAssembly &assembly)
{
    std::uint64_t end = 0;
    for (const auto &[offset, bytes] : assembly.chunks) {
        if (offset > end) {
            return false;
        }
        end = std::max(end, offset + bytes.size());
    }
    return end == assembly.totalSize;
}

std::string join(const AnswerAssembly &assembly)
{
    std::string whole(assembly.totalSize, '\0');
    for (const auto &[offset, bytes] : assembly.chunks) {
        std::ranges::copy(bytes, whole.begin() + static_cast<std::ptrdiff_t>(offset));
    }
    return whole;
}

void send(const ForwardEntry &entry, Actions &actions)
{
    if (entry.kind == ForwardKind::Submission) {
        actions.push_back(SendToPeer{.peer = entry.peer,
            .message = ForwardMessage{.exchange = entry.exchange,
                .submission = entry.submission,
                .wait = entry.waiter.wait,
                .hops = entry.hops}});
        return;
    }
    actions.push_back(SendToPeer{.peer = entry.peer,
        .message = ForwardQueryMessage{.exchange = entry.exchange,
            .operatorName = entry.submission.operatorName,
            .id = entry.submission.id,
            .wait = entry.waiter.wait,
            .cancel = entry.kind == ForwardKind::Cancel}});
}

} // namespace

bool startForward(ForwardTable &table, ForwardEntry entry, std::string_view peer, const Now &now, Actions &actions)
{
    if (table.entries.size() >= table.options.maxEntries) {
        return false;
    }
    const std::size_t bytes = bytesOf(entry);
    if (!hasRoom(table.memory, bytes)) {
        noteRefused(table.memory, logPart, "Requests that are passed on", now.monotonic, actions);
        return false;
    }
    charge(table.memory, entry.bytes, bytes);
    if (entry.exchange == 0 || entry.peer != peer) {
        entry.exchange = table.nextExchange++;
        entry.assembly = {};
    }
    entry.peer = peer;
    ++entry.sends;
    entry.nextSend = now.monotonic + table.options.retryAfter;
    send(entry, actions);
    const std::uint64_t exchange = entry.exchange;
    table.entries.emplace(exchange, std::move(entry));
    return true;
}

std::optional<std::string> addChunk(AnswerAssembly &assembly, const AnswerMessage &message, std::uint64_t maxBytes)
{
    const std::string &bytes = message.answer.result;
    const bool first = assembly.chunks.empty();
    if (message.totalSize > maxBytes || (!first && message.totalSize != assembly.totalSize)
        || message.offset > message.totalSize || bytes.size() > message.totalSize - message.offset) {
        return std::nullopt;
    }
    assembly.totalSize = message.totalSize;
    std::string &chunk = assembly.chunks[message.offset];
    if (chunk.size() < bytes.size()) {
        chunk = bytes;
    }
    if (!isCovered(assembly)) {
        return std::nullopt;
    }
    std::string whole = join(assembly);
    if (!whole.empty() && digestOf(whole) != message.answer.digest) {
        // Some chunk was damaged or belongs to another answer; all are collected anew.
        assembly = {};
        return std::nullopt;
    }
    return whole;
}

void onAnswer(ForwardTable &table, const AnswerMessage &message, const Now &now, Actions &actions)
{
    const auto found = table.entries.find(message.exchange);
    if (found == table.entries.end()) {
        return;
    }
    ForwardEntry &entry = found->second;
    if (!isFinal(entry, message.answer)) {
        entry.sends = 0;
        entry.nextSend = now.monotonic + table.options.pollInterval;
        return;
    }
    auto result = addChunk(entry.assembly, message, table.options.maxResultBytes);
    charge(table.memory, entry.bytes, bytesOf(entry));
    if (!result) {
        entry.nextSend = std::max(entry.nextSend, now.monotonic + table.options.retryAfter);
        return;
    }
    Answer answer = message.answer;
    answer.result = std::move(*result);
    sendAnswer(entry.waiter, answer, actions);
    charge(table.memory, entry.bytes, 0);
    table.entries.erase(found);
}

std::vector<ForwardEntry> takeOverdue(ForwardTable &table, const Now &now,
    bool (*isPeerAlive)(const void *state, std::string_view peer), const void *state)
{
    std::vector<ForwardEntry> overdue;
    for (auto item = table.entries.begin(); item != table.entries.end();) {
        if (now.monotonic < item->second.nextSend && isPeerAlive(state, item->second.peer)) {
            ++item;
            continue;
        }
        charge(table.memory, item->second.bytes, 0);
        overdue.push_back(std::move(item->second));
        item = table.entries.erase(item);
    }
    return overdue;
}

void dropCaller(ForwardTable &table, CallerToken caller)
{
    for (auto item = table.entries.begin(); item != table.entries.end();) {
        const Waiter &waiter = item->second.waiter;
        if (!waiter.peer.empty() || waiter.caller != caller) {
            ++item;
            continue;
        }
        charge(table.memory, item->second.bytes, 0);
        item = table.entries.erase(item);
    }
}

} // namespace wigeonkeel
