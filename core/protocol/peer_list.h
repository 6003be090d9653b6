#pragma once

#include "core/peer_messages.h"

#include <string>
#include <string_view>
#include <vector>

namespace wigeonkeel
{

/// Reads a list "name@ip:port" or "ip:port", separated by commas. Entries that can't be read are added to `problems`.
std::vector<PeerInfo> parsePeerList(std::string_view text, std::vector<std::string> &problems);

} // namespace wigeonkeel
