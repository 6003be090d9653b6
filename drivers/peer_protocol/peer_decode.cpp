#include "drivers/peer_protocol/peer_codec.h"

#include "drivers/peer_protocol/frame_bytes.h"
#include "drivers/peer_protocol/peer_generated.h"

#include <cstring>

namespace wigeonkeel
{

namespace
{

constexpr std::array<std::string_view, frameProblemCount> problemNames
    = {"none", "empty", "too_large", "not_verified", "bad_value"};

std::string text(const flatbuffers::String *value)
{
    return value == nullptr ? std::string() : value->str();
}

std::string bytes(const flatbuffers::Vector<std::uint8_t> *value)
{
    return value == nullptr ? std::string() : std::string(reinterpret_cast<const char *>(value->data()), value->size());
}

std::vector<std::string> texts(const flatbuffers::Vector<flatbuffers::Offset<flatbuffers::String>> *values)
{
    std::vector<std::string> result;
    for (std::uint32_t i = 0; values != nullptr && i < values->size(); ++i) {
        result.push_back(values->Get(i)->str());
    }
    return result;
}

std::vector<std::uint32_t> indices(const flatbuffers::Vector<std::uint32_t> *values)
{
    return values == nullptr ? std::vector<std::uint32_t>()
                             : std::vector<std::uint32_t>(values->begin(), values->end());
}

Resources amounts(const wire::Amounts *value)
{
    if (value == nullptr) {
        return {};
    }
    return {.cpuMilli = value->cpu_milli(),
        .memoryMib = value->memory_mib(),
        .accelerators = value->accelerators(),
        .slots = value->slots()};
}

RequestKey key(const wire::JobKey *value)
{
    return {.high = value->high(), .low = value->low()};
}

TaskId taskId(const wire::TaskKey *value)
{
    return {.job = {.high = value->high(), .low = value->low()}, .index = value->index()};
}

PeerInfo peerInfo(const wire::Peer &value)
{
    return {.name = text(value.name()),
        .address = text(value.address()),
        .port = value.port(),
        .zone = text(value.zone()),
        .incarnation = value.incarnation()};
}

/// Reads bodies and remembers whether an enumeration was out of range.
struct BodyReader
{
    bool bad = false;

    template <typename Enum>
    Enum enumeration(std::uint8_t value, Enum last)
    {
        if (value > static_cast<std::uint8_t>(last)) {
            bad = true;
            return last;
        }
        return static_cast<Enum>(value);
    }

    /// A size or duration below zero would free capacity that nobody holds.
    Resources size(const wire::Amounts *value)
    {
        const Resources result = amounts(value);
        bad = bad || isNegative(result);
        return result;
    }

    Answer answer(const wire::Outcome &value)
    {
        return {.outcome = enumeration(value.outcome(), Outcome::Unknown),
            .reason = text(value.reason()),
            .result = bytes(value.result()),
            .digest = value.digest(),
            .retryAfter = milliseconds(value.retry_after_ms()),
            .worker = text(value.worker())};
    }

    TaskSpec task(const wire::Task &value)
    {
        const wire::Label &label = *value.label();
        return {.id = taskId(value.id()),
            .label = {.operatorName = text(label.operator_name()),
                .team = text(label.team()),
                .workload = text(label.workload()),
                .home = text(label.home()),
                .kind = enumeration(label.kind(), TaskKind::Batch),
                .urgency = label.urgency(),
                .idempotent = label.idempotent()},
            .size = size(value.size()),
            .payload = bytes(value.payload()),
            .declaredRunTime = milliseconds(value.declared_run_time_ms()),
            .startCount = value.start_count()};
    }

    PeerMessage read(const wire::Hello &body)
    {
        return HelloMessage{.from = peerInfo(*body.from()), .protocolVersion = body.protocol_version()};
    }

    PeerMessage read(const wire::Heartbeat &body)
    {
        HeartbeatMessage message{.from = peerInfo(*body.from()),
            .sequence = body.sequence(),
            .capacity = size(body.capacity()),
            .free = amounts(body.free()),
            .ownedWorkers = body.owned_workers(),
            .queuedTasks = body.queued_tasks(),
            .configRevision = body.config_revision(),
            .draining = body.draining(),
            .storeReachable = body.store_reachable(),
            .leavingWorkers = texts(body.leaving_workers()),
            .alivePeers = texts(body.alive_peers()),
            .deadPeers = {}};
        for (std::uint32_t i = 0; body.dead_peers() != nullptr && i < body.dead_peers()->size(); ++i) {
            const wire::Death *death = body.dead_peers()->Get(i);
            message.deadPeers.push_back({.name = text(death->name()), .incarnation = death->incarnation()});
        }
        return message;
    }

    PeerMessage read(const wire::Forward &body)
    {
        const wire::Submission &from = *body.submission();
        return ForwardMessage{.exchange = body.exchange(),
            .submission = {.operatorName = text(from.operator_name()),
                .id = text(from.id()),
                .created = WallTime(milliseconds(from.created_ms())),
                .attempt = from.attempt(),
                .idempotent = from.idempotent(),
                .kind = enumeration(from.kind(), TaskKind::Batch),
                .urgency = from.urgency(),
                .team = text(from.team()),
                .workload = text(from.workload()),
                .taskCount = from.task_count(),
                .size = size(from.size()),
                .payload = bytes(from.payload()),
                .declaredRunTime = milliseconds(from.declared_run_time_ms()),
                .startWithin = milliseconds(from.start_within_ms())},
            .wait = body.wait(),
            .hops = body.hops()};
    }

    PeerMessage read(const wire::ForwardQuery &body)
    {
        return ForwardQueryMessage{.exchange = body.exchange(),
            .operatorName = text(body.operator_name()),
            .id = text(body.id()),
            .wait = body.wait(),
            .cancel = body.cancel()};
    }

    PeerMessage read(const wire::Answer &body)
    {
        return AnswerMessage{.exchange = body.exchange(),
            .answer = answer(*body.answer()),
            .offset = body.offset(),
            .totalSize = body.total_size()};
    }

    PeerMessage read(const wire::Offer &body)
    {
        return OfferMessage{.exchange = body.exchange(),
            .task = task(*body.task()),
            .startWithin = milliseconds(body.start_within_ms())};
    }

    PeerMessage read(const wire::OfferReply &body)
    {
        return OfferReplyMessage{.exchange = body.exchange(),
            .task = taskId(body.task()),
            .status = enumeration(body.status(), OfferStatus::Refused),
            .worker = text(body.worker()),
            .reason = text(body.reason())};
    }

    PeerMessage read(const wire::TaskUpdate &body)
    {
        return TaskUpdateMessage{.task = taskId(body.task()),
            .home = text(body.home()),
            .progress = enumeration(body.progress(), TaskProgress::Unresolved),
            .worker = text(body.worker()),
            .result = bytes(body.result()),
            .digest = body.digest(),
            .detail = text(body.detail()),
            .startCount = body.start_count()};
    }

    PeerMessage read(const wire::TaskUpdateAck &body)
    {
        return TaskUpdateAckMessage{
            .task = taskId(body.task()), .progress = enumeration(body.progress(), TaskProgress::Unresolved)};
    }

    PeerMessage read(const wire::Lookup &body)
    {
        return LookupMessage{
            .exchange = body.exchange(), .key = key(body.key()), .created = WallTime(milliseconds(body.created_ms()))};
    }

    PeerMessage read(const wire::LookupReply &body)
    {
        return LookupReplyMessage{.exchange = body.exchange(),
            .key = key(body.key()),
            .status = enumeration(body.status(), LookupStatus::NotReady),
            .answer = answer(*body.answer()),
            .heldWorkers = body.held_workers(),
            .unlisted = body.unlisted()};
    }

    PeerMessage read(const wire::Reserve &body)
    {
        ReserveMessage message{.exchange = body.exchange(),
            .gang = key(body.gang()),
            .tasks = {},
            .holdFor = milliseconds(body.hold_for_ms())};
        for (std::uint32_t i = 0; body.tasks() != nullptr && i < body.tasks()->size(); ++i) {
            message.tasks.push_back(task(*body.tasks()->Get(i)));
        }
        return message;
    }

    PeerMessage read(const wire::ReserveReply &body)
    {
        return ReserveReplyMessage{.exchange = body.exchange(), .gang = key(body.gang()), .held = indices(body.held())};
    }

    PeerMessage read(const wire::Commit &body)
    {
        return CommitMessage{.exchange = body.exchange(), .gang = key(body.gang()), .tasks = indices(body.tasks())};
    }

    PeerMessage read(const wire::CommitReply &body)
    {
        return CommitReplyMessage{.exchange = body.exchange(), .gang = key(body.gang()), .started = body.started()};
    }

    PeerMessage read(const wire::Abort &body)
    {
        return AbortMessage{.exchange = body.exchange(), .gang = key(body.gang())};
    }

    PeerMessage read(const wire::StopTasks &body)
    {
        return StopTasksMessage{.job = key(body.job()), .tasks = indices(body.tasks()), .reason = text(body.reason())};
    }

    PeerMessage read(const wire::ConfigPull &body) { return ConfigPullMessage{.revision = body.revision()}; }

    PeerMessage read(const wire::ConfigPush &body)
    {
        ConfigPushMessage message{.revision = body.revision(), .records = {}, .more = body.more()};
        for (std::uint32_t i = 0; body.records() != nullptr && i < body.records()->size(); ++i) {
            const wire::ConfigRecord *record = body.records()->Get(i);
            message.records.push_back(
                {.key = text(record->key()), .value = bytes(record->value()), .version = record->version()});
        }
        return message;
    }

    PeerMessage read(const wire::Probe &body)
    {
        return ProbeMessage{.exchange = body.exchange(), .target = text(body.target())};
    }

    PeerMessage read(const wire::ProbeReply &body)
    {
        return ProbeReplyMessage{.exchange = body.exchange(), .target = text(body.target()), .heard = body.heard()};
    }

    PeerMessage read(const wire::HeartbeatChange &body)
    {
        HeartbeatChangeMessage message{.capacity = {},
            .free = {},
            .ownedWorkers = body.owned_workers(),
            .queuedTasks = body.queued_tasks(),
            .configRevision = body.config_revision(),
            .storeReachable = body.store_reachable()};
        if (body.capacity() != nullptr) {
            message.capacity = size(body.capacity());
        }
        if (body.free() != nullptr) {
            message.free = amounts(body.free());
        }
        return message;
    }
};

std::optional<PeerMessage> readBody(BodyReader &reader, const wire::Envelope &envelope)
{
    switch (envelope.body_type()) {
    case wire::Body::NONE:
        return std::nullopt;
// One case for each message of the schema; the compiler warns when one is missing.
#define READ_CASE(type)                                                                                                \
    case wire::Body::type:                                                                                             \
        return reader.read(*envelope.body_as_##type());
        READ_CASE(Hello)
        READ_CASE(Heartbeat)
        READ_CASE(Forward)
        READ_CASE(ForwardQuery)
        READ_CASE(Answer)
        READ_CASE(Offer)
        READ_CASE(OfferReply)
        READ_CASE(TaskUpdate)
        READ_CASE(TaskUpdateAck)
        READ_CASE(Lookup)
        READ_CASE(LookupReply)
        READ_CASE(Reserve)
        READ_CASE(ReserveReply)
        READ_CASE(Commit)
        READ_CASE(CommitReply)
        READ_CASE(Abort)
        READ_CASE(StopTasks)
        READ_CASE(ConfigPull)
        READ_CASE(ConfigPush)
        READ_CASE(Probe)
        READ_CASE(ProbeReply)
        READ_CASE(HeartbeatChange)
#undef READ_CASE
    }
    return std::nullopt;
}

std::optional<PeerMessage> decodeAligned(const std::uint8_t *data, std::size_t size, FrameProblem &problem)
{
    flatbuffers::Verifier verifier(data, size);
    if (!wire::VerifyEnvelopeBuffer(verifier)) {
        problem = FrameProblem::NotVerified;
        return std::nullopt;
    }
    BodyReader reader;
    auto message = readBody(reader, *wire::GetEnvelope(data));
    if (!message || reader.bad) {
        problem = FrameProblem::BadValue;
        return std::nullopt;
    }
    return message;
}

} // namespace

std::string_view toString(FrameProblem problem)
{
    return problemNames[static_cast<std::size_t>(problem)];
}

std::size_t frameSize(std::span<const std::byte, frameHeaderSize> header)
{
    std::size_t size = 0;
    for (std::size_t i = 0; i < frameHeaderSize; ++i) {
        size |= std::to_integer<std::size_t>(header[i]) << (8 * i);
    }
    return size;
}

std::optional<PeerMessage> decodeMessage(std::span<const std::byte> bytes, FrameProblem &problem)
{
    problem = FrameProblem::None;
    if (bytes.empty() || bytes.size() > maxFrameSize) {
        problem = bytes.empty() ? FrameProblem::Empty : FrameProblem::TooLarge;
        return std::nullopt;
    }
    const AlignedMessage message(bytes);
    return decodeAligned(message.data(), message.size(), problem);
}

} // namespace wigeonkeel
