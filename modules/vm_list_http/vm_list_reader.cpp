#include "modules/vm_list_http/vm_list_reader.h"

#include "core/log.h"
#include "drivers/vm_list_protocol/vm_list_json.h"

namespace wigeonkeel
{

namespace
{

constexpr std::string_view logPart = "vm_list";
constexpr int statusOk = 200;

void onResponse(VmListReader &reader, const HttpResponse &response)
{
    reader.timer.startOnce(reader.interval);
    if (response.error) {
        logLine(LogLevel::Warning, logPart, "{}", describe(response.error));
        return;
    }
    std::string problem;
    const auto update = decodeVmList(response.body, problem);
    if (response.status != statusOk || !update) {
        logLine(LogLevel::Warning, logPart, "The VM list from {} is not usable: HTTP status {} {}",
            reader.connection.peer(), response.status, problem);
        return;
    }
    reader.emit(*update);
}

void readList(VmListReader &reader)
{
    if (reader.readsBegun != nullptr) {
        ++*reader.readsBegun;
    }
    reader.connection.request("GET", reader.path, {}, reader.interval * 2,
        [&reader](const HttpResponse &response) { onResponse(reader, response); });
}

} // namespace

VmListReader::VmListReader(
    EventLoop &loop, const VmListReaderOptions &options, std::function<void(const VmListUpdate &)> sink)
    : emit(std::move(sink))
    , connection(loop, options.address, options.port)
    , timer(loop, [this] { readList(*this); })
    , interval(options.interval)
    , path(fmt::format("/v1/vms?reader={}", options.reader))
    , readsBegun(options.readsBegun)
{
    connection.countBytes(options.byteCounts);
    timer.startOnce(milliseconds(0));
}

} // namespace wigeonkeel
