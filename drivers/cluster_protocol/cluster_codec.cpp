#include "drivers/cluster_protocol/cluster_codec.h"

#include "core/json_text.h"
#include "drivers/cluster_protocol/cluster_generated.h"
#include "drivers/peer_protocol/frame_bytes.h"

#include <algorithm>
#include <vector>

namespace wigeonkeel::dispatch
{

namespace
{

namespace wire = cluster_wire;
using Builder = flatbuffers::FlatBufferBuilder;

constexpr std::size_t firstBufferBytes = 512;

std::string textOf(const flatbuffers::String *text)
{
    return text == nullptr ? std::string() : text->str();
}

/// Clamps an enumerator of another version to the last one known, which is the most careful.
template <typename Enum>
Enum enumOf(std::uint8_t value, Enum last)
{
    return value > static_cast<std::uint8_t>(last) ? last : static_cast<Enum>(value);
}

std::int64_t valueIn(std::int64_t value, IntegerRange range)
{
    return std::clamp(value, range.least, range.most);
}

/// Clamps a duration, so that adding it to a time does not overflow.
milliseconds durationOf(std::int64_t value)
{
    return milliseconds(valueIn(value, durationRange));
}

std::chrono::microseconds microsOf(std::int64_t value)
{
    return std::chrono::microseconds(valueIn(value, durationRange));
}

std::pair<wire::Body, flatbuffers::Offset<void>> build(Builder &builder, const Presence &presence)
{
    const auto offset = wire::CreatePresence(builder, builder.CreateString(presence.node), presence.leader.token,
        builder.CreateString(presence.leader.node), builder.CreateString(presence.leader.endpoint.ip),
        presence.leader.endpoint.port, presence.configVersion, presence.storeFailing, presence.cpuMilli,
        presence.number, presence.echo, presence.leader.identity);
    return {wire::Body::Presence, offset.Union()};
}

std::pair<wire::Body, flatbuffers::Offset<void>> build(Builder &builder, const ForwardedCall &forwarded)
{
    const ClientCall &call = forwarded.call;
    const auto offset = wire::CreateCall(builder, call.call, static_cast<std::uint8_t>(call.kind),
        builder.CreateString(call.queue), call.job,
        builder.CreateVector(reinterpret_cast<const std::uint8_t *>(call.record.data()), call.record.size()),
        call.wait.count(), builder.CreateString(call.tenant), call.isRestricted);
    return {wire::Body::Call, offset.Union()};
}

std::pair<wire::Body, flatbuffers::Offset<void>> build(Builder &builder, const ForwardedAnswer &forwarded)
{
    const ClientAnswer &answer = forwarded.answer;
    const auto offset = wire::CreateAnswer(builder, answer.call, static_cast<std::uint8_t>(answer.outcome),
        static_cast<std::uint8_t>(answer.state), answer.count, answer.retryAfter.count(),
        builder.CreateString(answer.detail));
    return {wire::Body::Answer, offset.Union()};
}

std::pair<wire::Body, flatbuffers::Offset<void>> build(Builder &builder, const AdviceOrder &order)
{
    const RequestAdvice &ask = order.request;
    const auto offset = wire::CreateAdviceOrder(builder, ask.call, ask.step.job, ask.step.occurrence, ask.step.step,
        builder.CreateVectorOfStrings(ask.workers), ask.timeout.count());
    return {wire::Body::AdviceOrder, offset.Union()};
}

std::pair<wire::Body, flatbuffers::Offset<void>> build(Builder &builder, const AdviceResult &result)
{
    std::vector<flatbuffers::Offset<wire::Ticket>> rows;
    for (const Ticket &row : result.reply.allowed) {
        rows.push_back(wire::CreateTicket(builder, builder.CreateString(row.worker), builder.CreateString(row.ticket)));
    }
    const auto offset = wire::CreateAdviceResult(builder, result.reply.call,
        static_cast<std::uint8_t>(result.reply.status), builder.CreateVector(rows), result.reply.validity.count());
    return {wire::Body::AdviceResult, offset.Union()};
}

std::pair<wire::Body, flatbuffers::Offset<void>> build(Builder &builder, const ConfigurationRequest &request)
{
    return {wire::Body::ConfigurationRequest, wire::CreateConfigurationRequest(builder, request.newerThan).Union()};
}

flatbuffers::Offset<wire::Queue> buildQueue(Builder &builder, const QueueConfig &queue)
{
    flatbuffers::Offset<wire::Advice> advice;
    if (queue.advice) {
        advice = wire::CreateAdvice(
            builder, queue.advice->base.count(), queue.advice->perWorker.count(), queue.advice->ticketValidity.count());
    }
    // Many queues share a host and a pool.
    const auto host = builder.CreateSharedString(queue.host);
    const auto pool = builder.CreateSharedString(queue.pool);
    return wire::CreateQueue(builder, builder.CreateString(queue.name), host, builder.CreateString(queue.pathPrefix),
        pool, queue.priority, queue.maxAttempts, queue.stretch, queue.target.count(), advice, queue.isPublic);
}

flatbuffers::Offset<wire::Tenant> buildTenant(Builder &builder, const TenantConfig &tenant)
{
    return wire::CreateTenant(builder, builder.CreateString(tenant.name), builder.CreateVectorOfStrings(tenant.keys),
        tenant.weight, tenant.cap.cpuMilli, tenant.cap.memoryMib, tenant.cap.accelerators);
}

std::pair<wire::Body, flatbuffers::Offset<void>> build(Builder &builder, const ConfigurationTransfer &transfer)
{
    const Configuration &configuration = transfer.configuration;
    std::vector<flatbuffers::Offset<wire::Queue>> queues;
    for (const QueueConfig &queue : configuration.queues) {
        queues.push_back(buildQueue(builder, queue));
    }
    std::vector<flatbuffers::Offset<wire::Pool>> pools;
    for (const PoolConfig &pool : configuration.pools) {
        pools.push_back(
            wire::CreatePool(builder, builder.CreateString(pool.name), pool.workersEnforceCapacity, pool.standby));
    }
    std::vector<flatbuffers::Offset<wire::Tenant>> tenants;
    for (const TenantConfig &tenant : tenantsOf(configuration)) {
        tenants.push_back(buildTenant(builder, tenant));
    }
    const ClientLimits &limits = configuration.limits;
    const auto offset = wire::CreateConfigurationTransfer(builder, configuration.version, builder.CreateVector(queues),
        builder.CreateVector(pools), limits.maxHeaderBytes, limits.maxBodyBytes, limits.headerTimeout.count(),
        limits.idleTimeout.count(), configuration.tenants.has_value(), builder.CreateVector(tenants));
    return {wire::Body::ConfigurationTransfer, offset.Union()};
}

PeerBody read(const wire::Presence &presence)
{
    return Presence{.node = textOf(presence.node()),
        .leader = {.token = presence.token(),
            .node = textOf(presence.leader()),
            .endpoint = {.ip = textOf(presence.leader_ip()), .port = presence.leader_port()},
            .identity = presence.leader_identity()},
        .configVersion = presence.config_version(),
        .cpuMilli = valueIn(presence.cpu_milli(), amountRange),
        .storeFailing = presence.store_failing(),
        .number = presence.number(),
        .echo = presence.echo()};
}

PeerBody read(const wire::Call &call)
{
    ClientCall result{.call = call.exchange(),
        .kind = enumOf(call.kind(), ClientCallKind::CountPending),
        .queue = textOf(call.queue()),
        .job = call.job(),
        .record = {},
        .tenant = textOf(call.tenant()),
        .isRestricted = call.restricted(),
        .wait = durationOf(call.wait_ms())};
    if (call.record() != nullptr) {
        result.record.assign(reinterpret_cast<const char *>(call.record()->data()), call.record()->size());
    }
    return ForwardedCall{.call = std::move(result)};
}

PeerBody read(const wire::Answer &answer)
{
    return ForwardedAnswer{.answer = {.call = answer.exchange(),
                               .outcome = enumOf(answer.outcome(), ClientOutcome::Forbidden),
                               .state = enumOf(answer.state(), JobState::Cancelled),
                               .count = answer.count(),
                               .retryAfter = durationOf(answer.retry_after_ms()),
                               .detail = textOf(answer.detail())}};
}

PeerBody read(const wire::AdviceOrder &order)
{
    RequestAdvice ask{.call = order.exchange(),
        .step = {.job = order.job(), .occurrence = order.occurrence(), .step = order.step()},
        .workers = {},
        .timeout = durationOf(order.timeout_ms())};
    if (order.workers() != nullptr) {
        for (const auto *worker : *order.workers()) {
            ask.workers.push_back(textOf(worker));
        }
    }
    return AdviceOrder{.request = std::move(ask)};
}

PeerBody read(const wire::AdviceResult &result)
{
    AdviceReply reply{.call = result.exchange(),
        .status = enumOf(result.status(), CallStatus::Unknown),
        .allowed = {},
        .validity = durationOf(result.validity_ms())};
    if (result.allowed() != nullptr) {
        for (const auto *row : *result.allowed()) {
            reply.allowed.push_back({.worker = textOf(row->worker()), .ticket = textOf(row->ticket())});
        }
    }
    return AdviceResult{.reply = std::move(reply)};
}

PeerBody read(const wire::ConfigurationRequest &request)
{
    return ConfigurationRequest{.newerThan = request.newer_than()};
}

QueueConfig readQueue(const wire::Queue &queue)
{
    QueueConfig result{.name = textOf(queue.name()),
        .host = textOf(queue.host()),
        .pathPrefix = textOf(queue.prefix()),
        .pool = textOf(queue.pool()),
        .priority = queue.priority(),
        .maxAttempts = queue.max_attempts(),
        .stretch = queue.stretch(),
        .target = durationOf(queue.target_ms()),
        .advice = {},
        .isPublic = queue.public_()};
    if (queue.advice() != nullptr) {
        result.advice = {.base = microsOf(queue.advice()->base_us()),
            .perWorker = microsOf(queue.advice()->per_worker_us()),
            .ticketValidity = durationOf(queue.advice()->validity_ms())};
    }
    return result;
}

TenantConfig readTenant(const wire::Tenant &tenant)
{
    TenantConfig result{.name = textOf(tenant.name()),
        .keys = {},
        .weight = tenant.weight(),
        .cap = {.cpuMilli = valueIn(tenant.cap_cpu(), tenantCapRange),
            .memoryMib = valueIn(tenant.cap_memory(), tenantCapRange),
            .accelerators = valueIn(tenant.cap_accelerators(), tenantCapRange)}};
    if (tenant.keys() != nullptr) {
        for (const auto *key : *tenant.keys()) {
            result.keys.push_back(textOf(key));
        }
    }
    return result;
}

PeerBody read(const wire::ConfigurationTransfer &transfer)
{
    Configuration configuration{.version = transfer.version(),
        .queues = {},
        .pools = {},
        .limits = {.maxHeaderBytes = transfer.max_header_bytes(),
            .maxBodyBytes = transfer.max_body_bytes(),
            .headerTimeout = durationOf(transfer.header_timeout_ms()),
            .idleTimeout = durationOf(transfer.idle_timeout_ms())},
        .byName = {},
        .byHost = {}};
    if (transfer.queues() != nullptr) {
        for (const auto *queue : *transfer.queues()) {
            configuration.queues.push_back(readQueue(*queue));
        }
    }
    if (transfer.pools() != nullptr) {
        for (const auto *pool : *transfer.pools()) {
            configuration.pools.push_back({.name = textOf(pool->name()),
                .workersEnforceCapacity = pool->guards_capacity(),
                .standby = pool->standby()});
        }
    }
    if (transfer.has_tenants()) {
        configuration.tenants.emplace();
        if (transfer.tenants() != nullptr) {
            for (const auto *tenant : *transfer.tenants()) {
                configuration.tenants->push_back(readTenant(*tenant));
            }
        }
    }
    return ConfigurationTransfer{.configuration = std::move(configuration)};
}

} // namespace

std::string encodePeerBody(const PeerBody &body)
{
    Builder builder(firstBufferBytes);
    const auto [type, offset] = std::visit([&builder](const auto &message) { return build(builder, message); }, body);
    builder.Finish(wire::CreateEnvelope(builder, type, offset));
    return withFrameHeader({builder.GetBufferPointer(), builder.GetSize()});
}

std::optional<PeerBody> decodePeerBody(std::span<const std::byte> bytes)
{
    if (bytes.empty()) {
        return std::nullopt;
    }
    const AlignedMessage message(bytes);
    flatbuffers::Verifier verifier(message.data(), message.size());
    if (!wire::VerifyEnvelopeBuffer(verifier)) {
        return std::nullopt;
    }
    const wire::Envelope *envelope = wire::GetEnvelope(message.data());
    switch (envelope->body_type()) {
    case wire::Body::Presence:
        return read(*envelope->body_as_Presence());
    case wire::Body::Call:
        return read(*envelope->body_as_Call());
    case wire::Body::Answer:
        return read(*envelope->body_as_Answer());
    case wire::Body::AdviceOrder:
        return read(*envelope->body_as_AdviceOrder());
    case wire::Body::AdviceResult:
        return read(*envelope->body_as_AdviceResult());
    case wire::Body::ConfigurationRequest:
        return read(*envelope->body_as_ConfigurationRequest());
    case wire::Body::ConfigurationTransfer:
        return read(*envelope->body_as_ConfigurationTransfer());
    default:
        return std::nullopt;
    }
}

} // namespace wigeonkeel::dispatch
