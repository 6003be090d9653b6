#pragma once

#include "core/store_messages.h"

#include <optional>
#include <string>
#include <string_view>

namespace wigeonkeel
{

/// Query of GET /v1/watch.
struct StoreWatchRequest
{
    std::string prefix;
    /// Changes after this revision are wanted; 0 asks for the full listing.
    std::uint64_t after = 0;
    milliseconds wait{0};
};

/// JSON texts of the store's protocol, as docs/platform-contract.md describes them. Values that are not UTF-8 are sent
/// in base64, so that every value comes back byte for byte.
std::string encodeStoreCall(const StoreCall &call);
std::string encodeStoreReply(const StoreReply &reply);
std::string encodeStoreWatchUpdate(const StoreWatchUpdate &update);
/// Path and query of a watch.
std::string storeWatchPath(const StoreWatchRequest &request);

/// Nothing if the text is not a valid message; `problem` then says what and where.
std::optional<StoreCall> decodeStoreCall(std::string_view text, std::string &problem);
std::optional<StoreReply> decodeStoreReply(std::string_view text, std::string &problem);
std::optional<StoreWatchUpdate> decodeStoreWatchUpdate(std::string_view text, std::string &problem);

} // namespace wigeonkeel
