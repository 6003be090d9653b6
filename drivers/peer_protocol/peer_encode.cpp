#include "drivers/peer_protocol/peer_codec.h"

#include "drivers/peer_protocol/frame_bytes.h"
#include "drivers/peer_protocol/peer_generated.h"

namespace wigeonkeel
{

namespace
{

using Builder = flatbuffers::FlatBufferBuilder;
template <typename T>
using Offset = flatbuffers::Offset<T>;

wire::JobKey toWire(const RequestKey &key)
{
    return {key.high, key.low};
}

wire::TaskKey toWire(const TaskId &id)
{
    return {id.job.high, id.job.low, id.index};
}

wire::Amounts toWire(const Resources &amount)
{
    return {amount.cpuMilli, amount.memoryMib, amount.accelerators, amount.slots};
}

Offset<flatbuffers::String> text(Builder &builder, std::string_view value)
{
    return value.empty() ? 0 : builder.CreateString(value.data(), value.size());
}

/// Payloads and results are bytes: they need not be valid text.
Offset<flatbuffers::Vector<std::uint8_t>> bytes(Builder &builder, std::string_view value)
{
    return value.empty() ? 0 : builder.CreateVector(reinterpret_cast<const std::uint8_t *>(value.data()), value.size());
}

Offset<flatbuffers::Vector<Offset<flatbuffers::String>>> texts(Builder &builder, std::span<const std::string> values)
{
    std::vector<Offset<flatbuffers::String>> offsets;
    for (const std::string &value : values) {
        offsets.push_back(builder.CreateString(value));
    }
    return offsets.empty() ? 0 : builder.CreateVector(offsets);
}

Offset<wire::Peer> toWire(Builder &builder, const PeerInfo &peer)
{
    return wire::CreatePeer(builder, text(builder, peer.name), text(builder, peer.address), peer.port,
        text(builder, peer.zone), peer.incarnation);
}

Offset<wire::Outcome> toWire(Builder &builder, const Answer &answer)
{
    return wire::CreateOutcome(builder, static_cast<std::uint8_t>(answer.outcome), text(builder, answer.reason),
        bytes(builder, answer.result), answer.digest, answer.retryAfter.count(), text(builder, answer.worker));
}

Offset<wire::Task> toWire(Builder &builder, const TaskSpec &task)
{
    const auto id = toWire(task.id);
    const auto size = toWire(task.size);
    const TaskLabel &label = task.label;
    const auto wireLabel = wire::CreateLabel(builder, text(builder, label.operatorName), text(builder, label.team),
        text(builder, label.workload), text(builder, label.home), static_cast<std::uint8_t>(label.kind), label.urgency,
        label.idempotent);
    return wire::CreateTask(
        builder, &id, wireLabel, &size, bytes(builder, task.payload), task.declaredRunTime.count(), task.startCount);
}

/// Writes the body of each message type. Returns its union type and offset.
struct BodyWriter
{
    Builder &builder;

    template <typename T>
    std::pair<wire::Body, Offset<void>> body(Offset<T> offset) const
    {
        // A copy: the generated constant has no definition that a reference could bind to.
        constexpr wire::Body type = wire::BodyTraits<T>::enum_value;
        return {type, offset.Union()};
    }

    auto operator()(const HelloMessage &message) const
    {
        return body(wire::CreateHello(builder, toWire(builder, message.from), message.protocolVersion));
    }

    auto operator()(const HeartbeatMessage &message) const
    {
        const auto capacity = toWire(message.capacity);
        const auto free = toWire(message.free);
        std::vector<Offset<wire::Death>> deaths;
        for (const PeerDeath &death : message.deadPeers) {
            deaths.push_back(wire::CreateDeath(builder, text(builder, death.name), death.incarnation));
        }
        return body(wire::CreateHeartbeat(builder, toWire(builder, message.from), message.sequence, &capacity, &free,
            message.ownedWorkers, message.queuedTasks, message.configRevision, message.draining, message.storeReachable,
            texts(builder, message.leavingWorkers), texts(builder, message.alivePeers),
            deaths.empty() ? 0 : builder.CreateVector(deaths)));
    }

    auto operator()(const ForwardMessage &message) const
    {
        const Submission &from = message.submission;
        const auto size = toWire(from.size);
        const auto submission = wire::CreateSubmission(builder, text(builder, from.operatorName),
            text(builder, from.id), from.created.time_since_epoch().count(), from.attempt, from.idempotent,
            static_cast<std::uint8_t>(from.kind), from.urgency, text(builder, from.team), text(builder, from.workload),
            from.taskCount, &size, bytes(builder, from.payload), from.declaredRunTime.count(),
            from.startWithin.count());
        return body(wire::CreateForward(builder, message.exchange, submission, message.wait, message.hops));
    }

    auto operator()(const ForwardQueryMessage &message) const
    {
        return body(wire::CreateForwardQuery(builder, message.exchange, text(builder, message.operatorName),
            text(builder, message.id), message.wait, message.cancel));
    }

    auto operator()(const AnswerMessage &message) const
    {
        return body(wire::CreateAnswer(
            builder, message.exchange, toWire(builder, message.answer), message.offset, message.totalSize));
    }

    auto operator()(const OfferMessage &message) const
    {
        return body(
            wire::CreateOffer(builder, message.exchange, toWire(builder, message.task), message.startWithin.count()));
    }

    auto operator()(const OfferReplyMessage &message) const
    {
        const auto task = toWire(message.task);
        return body(wire::CreateOfferReply(builder, message.exchange, &task, static_cast<std::uint8_t>(message.status),
            text(builder, message.worker), text(builder, message.reason)));
    }

    auto operator()(const TaskUpdateMessage &message) const
    {
        const auto task = toWire(message.task);
        return body(wire::CreateTaskUpdate(builder, &task, text(builder, message.home),
            static_cast<std::uint8_t>(message.progress), text(builder, message.worker), bytes(builder, message.result),
            message.digest, text(builder, message.detail), message.startCount));
    }

    auto operator()(const TaskUpdateAckMessage &message) const
    {
        const auto task = toWire(message.task);
        return body(wire::CreateTaskUpdateAck(builder, &task, static_cast<std::uint8_t>(message.progress)));
    }

    auto operator()(const LookupMessage &message) const
    {
        const auto key = toWire(message.key);
        return body(wire::CreateLookup(builder, message.exchange, &key, message.created.time_since_epoch().count()));
    }

    auto operator()(const LookupReplyMessage &message) const
    {
        const auto key = toWire(message.key);
        return body(wire::CreateLookupReply(builder, message.exchange, &key, static_cast<std::uint8_t>(message.status),
            toWire(builder, message.answer), message.heldWorkers, message.unlisted));
    }

    auto operator()(const ReserveMessage &message) const
    {
        const auto gang = toWire(message.gang);
        std::vector<Offset<wire::Task>> tasks;
        for (const TaskSpec &task : message.tasks) {
            tasks.push_back(toWire(builder, task));
        }
        return body(wire::CreateReserve(
            builder, message.exchange, &gang, builder.CreateVector(tasks), message.holdFor.count()));
    }

    auto operator()(const ReserveReplyMessage &message) const
    {
        const auto gang = toWire(message.gang);
        return body(wire::CreateReserveReply(builder, message.exchange, &gang, builder.CreateVector(message.held)));
    }

    auto operator()(const CommitMessage &message) const
    {
        const auto gang = toWire(message.gang);
        return body(wire::CreateCommit(builder, message.exchange, &gang, builder.CreateVector(message.tasks)));
    }

    auto operator()(const CommitReplyMessage &message) const
    {
        const auto gang = toWire(message.gang);
        return body(wire::CreateCommitReply(builder, message.exchange, &gang, message.started));
    }

    auto operator()(const AbortMessage &message) const
    {
        const auto gang = toWire(message.gang);
        return body(wire::CreateAbort(builder, &gang, message.exchange));
    }

    auto operator()(const StopTasksMessage &message) const
    {
        const auto job = toWire(message.job);
        return body(
            wire::CreateStopTasks(builder, &job, builder.CreateVector(message.tasks), text(builder, message.reason)));
    }

    auto operator()(const ConfigPullMessage &message) const
    {
        return body(wire::CreateConfigPull(builder, message.revision));
    }

    auto operator()(const ConfigPushMessage &message) const
    {
        std::vector<Offset<wire::ConfigRecord>> records;
        for (const ConfigRecord &record : message.records) {
            records.push_back(wire::CreateConfigRecord(
                builder, text(builder, record.key), bytes(builder, record.value), record.version));
        }
        return body(wire::CreateConfigPush(builder, message.revision, builder.CreateVector(records), message.more));
    }

    auto operator()(const ProbeMessage &message) const
    {
        return body(wire::CreateProbe(builder, message.exchange, text(builder, message.target)));
    }

    auto operator()(const ProbeReplyMessage &message) const
    {
        return body(wire::CreateProbeReply(builder, message.exchange, text(builder, message.target), message.heard));
    }

    auto operator()(const HeartbeatChangeMessage &message) const
    {
        const auto capacity = toWire(message.capacity.value_or(Resources{}));
        const auto free = toWire(message.free.value_or(Resources{}));
        return body(
            wire::CreateHeartbeatChange(builder, message.capacity ? &capacity : nullptr, message.free ? &free : nullptr,
                message.ownedWorkers, message.queuedTasks, message.configRevision, message.storeReachable));
    }
};

} // namespace

std::string_view shortFrame(ShortFrame kind)
{
    static constexpr std::string_view frames("\0\0\0\0\1\0\0\0\1\1\0\0\0\2", 3 * frameHeaderSize + 2);
    switch (kind) {
    case ShortFrame::KeepAlive:
        return frames.substr(0, frameHeaderSize);
    case ShortFrame::Repeat:
        return frames.substr(frameHeaderSize, frameHeaderSize + 1);
    case ShortFrame::Idle:
        break;
    }
    return frames.substr(2 * frameHeaderSize + 1);
}

std::optional<ShortFrame> parseShortFrame(std::span<const std::byte> bytes)
{
    if (bytes.empty()) {
        return ShortFrame::KeepAlive;
    }
    if (bytes.size() > 1) {
        return std::nullopt;
    }
    const auto kind = static_cast<ShortFrame>(bytes.front());
    return kind == ShortFrame::Repeat || kind == ShortFrame::Idle ? std::optional(kind) : std::nullopt;
}

std::optional<std::string> encodeFrame(const PeerMessage &message)
{
    Builder builder;
    const auto [type, offset] = std::visit(BodyWriter{builder}, message);
    builder.Finish(wire::CreateEnvelope(builder, type, offset));
    const std::size_t size = builder.GetSize();
    if (size > maxFrameSize) {
        return std::nullopt;
    }
    return withFrameHeader({builder.GetBufferPointer(), size});
}

} // namespace wigeonkeel
