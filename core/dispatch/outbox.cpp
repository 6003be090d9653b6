#include "core/dispatch/outbox.h"

namespace wigeonkeel::dispatch
{

namespace
{

/// Head of an HTTP request or answer with those of its TCP and IP packets.
constexpr std::size_t httpHead = 250;
/// JSON fields of an order besides the payload, checkpoint and ticket.
constexpr std::size_t orderFields = 120;
/// JSON fields of a row in a store transaction besides key and value.
constexpr std::size_t storeFields = 40;
/// A frame between daemons without its texts, with the heads of TCP and IP.
constexpr std::size_t frame = 130;
/// A worker's id in a list.
constexpr std::size_t workerId = 20;
/// A queue in a transferred configuration.
constexpr std::size_t queueSize = 150;
/// A tenant in a transferred configuration, and each of its keys.
constexpr std::size_t tenantSize = 80;
constexpr std::size_t keySize = 32;

std::size_t base64Size(std::size_t bytes)
{
    return (bytes + 2) / 3 * 4;
}

std::size_t sizeOf(const StartRun &start)
{
    return httpHead + orderFields + start.payload.size() + start.checkpoint.size() + start.ticket.size();
}

std::size_t sizeOf(const StopRun &)
{
    return httpHead + orderFields;
}

std::size_t sizeOf(const RenewWorker &)
{
    return httpHead + orderFields;
}

std::size_t sizeOf(const StoreTransaction &transaction)
{
    std::size_t size = httpHead;
    for (const StoreCondition &condition : transaction.conditions) {
        size += storeFields + condition.key.size();
    }
    for (const StoreWrite &write : transaction.writes) {
        size += storeFields + write.key.size() + base64Size(write.value.size());
    }
    for (const std::string &key : transaction.deletes) {
        size += key.size();
    }
    return size;
}

std::size_t sizeOf(const RequestAdvice &request)
{
    return httpHead + request.workers.size() * workerId;
}

std::size_t sizeOf(const PeerBody &body)
{
    if (const auto *call = std::get_if<ForwardedCall>(&body)) {
        return frame + call->call.queue.size() + call->call.record.size();
    }
    if (const auto *order = std::get_if<AdviceOrder>(&body)) {
        return frame + order->request.workers.size() * workerId;
    }
    if (const auto *transfer = std::get_if<ConfigurationTransfer>(&body)) {
        std::size_t size = frame + transfer->configuration.queues.size() * queueSize;
        for (const TenantConfig &tenant : tenantsOf(transfer->configuration)) {
            size += tenantSize + tenant.keys.size() * keySize;
        }
        return size;
    }
    return frame;
}

std::size_t sizeOf(const SendToNode &message)
{
    return sizeOf(message.body);
}

std::size_t sizeOf(const LeaderAnswer &)
{
    return frame;
}

std::size_t sizeOf(const ObserveDuration &)
{
    return 0;
}

std::size_t sizeOf(const ReadinessChanged &)
{
    return 0;
}

/// Calls with short bodies or none.
template <typename Call>
std::size_t sizeOf(const Call &)
{
    return httpHead;
}

} // namespace

std::size_t estimatedSize(const Action &action)
{
    return std::visit([](const auto &each) { return sizeOf(each); }, action);
}

} // namespace wigeonkeel::dispatch
