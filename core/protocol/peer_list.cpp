#include "core/protocol/peer_list.h"

#include <optional>

#include <fmt/format.h>

namespace wigeonkeel
{

namespace
{

std::optional<PeerInfo> parsePeer(std::string_view text)
{
    PeerInfo peer;
    const auto at = text.find('@');
    if (at != std::string_view::npos) {
        peer.name = std::string(text.substr(0, at));
        text.remove_prefix(at + 1);
        if (peer.name.empty()) {
            return std::nullopt;
        }
    }
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos || colon == 0) {
        return std::nullopt;
    }
    peer.address = std::string(text.substr(0, colon));
    std::uint32_t port = 0;
    for (const char digit : text.substr(colon + 1)) {
        if (digit < '0' || digit > '9' || port > UINT16_MAX) {
            return std::nullopt;
        }
        port = port * 10 + static_cast<std::uint32_t>(digit - '0');
    }
    if (port == 0 || port > UINT16_MAX) {
        return std::nullopt;
    }
    peer.port = static_cast<std::uint16_t>(port);
    return peer;
}

} // namespace

std::vector<PeerInfo> parsePeerList(std::string_view text, std::vector<std::string> &problems)
{
    std::vector<PeerInfo> peers;
    while (!text.empty()) {
        const auto comma = text.find(',');
        std::string_view entry = text.substr(0, comma);
        text.remove_prefix(comma == std::string_view::npos ? text.size() : comma + 1);
        const auto first = entry.find_first_not_of(" \t");
        if (first == std::string_view::npos) {
            continue;
        }
        entry = entry.substr(first, entry.find_last_not_of(" \t") - first + 1);
        const auto peer = parsePeer(entry);
        if (peer) {
            peers.push_back(*peer);
        } else {
            problems.push_back(fmt::format("expected name@ip:port or ip:port, found '{}'", entry));
        }
    }
    return peers;
}

} // namespace wigeonkeel
