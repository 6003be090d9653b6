#include "drivers/vm_list_protocol/vm_list_json.h"

#include "core/json_text.h"

#include <nlohmann/json.hpp>

namespace wigeonkeel
{

std::string encodeVmList(const VmListUpdate &update)
{
    nlohmann::json json = {{"vms", nlohmann::json::array()}};
    for (const VmEntry &vm : update.vms) {
        json["vms"].push_back({{"name", vm.name}, {"address", vm.address}, {"port", vm.port}, {"zone", vm.zone},
            {"rack", vm.rack}, {"state", vm.state == VmState::Leaving ? "leaving" : "live"}});
    }
    return dumpJson(json);
}

std::optional<VmListUpdate> decodeVmList(std::string_view text, std::string &problem)
{
    try {
        const nlohmann::json json = nlohmann::json::parse(text);
        VmListUpdate update;
        for (const nlohmann::json &vm : json.at("vms")) {
            update.vms.push_back({.name = vm.at("name").get<std::string>(),
                .address = vm.at("address").get<std::string>(),
                .port = vm.at("port").get<std::uint16_t>(),
                .zone = vm.value("zone", ""),
                .rack = vm.value("rack", ""),
                .state = vm.value("state", "live") == "leaving" ? VmState::Leaving : VmState::Live});
        }
        return update;
    } catch (const nlohmann::json::exception &error) {
        problem = error.what();
        return std::nullopt;
    }
}

} // namespace wigeonkeel
