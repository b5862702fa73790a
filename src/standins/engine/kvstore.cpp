#include "standins/engine/kvstore.h"

#include "http/json.h"
#include "text/digest.h"

#include <algorithm>

namespace cardamomlift::standins {

namespace {

constexpr std::size_t MostImported = 1024;

} // namespace

KvStore::KvStore(const EngineOptions &options)
    : bytesPerToken_(options.kvBytesPerToken)
    , bytesPerMs_(std::max<std::int64_t>(options.kvBytesPerMs, 1))
{
}

std::string KvStore::exportOf(const EngineStream &stream) const
{
    const std::int64_t tokens = stream.promptTokens + static_cast<std::int64_t>(stream.produced);
    Json::Value head;
    head["messagesHash"] = static_cast<Json::UInt64>(text::stableHash(stream.messagesJson));
    head["tokens"] = static_cast<Json::Int64>(tokens);
    std::string body = http::writeJson(head) + "\n";
    body.append(static_cast<std::size_t>(tokens * bytesPerToken_), 'k');
    return body;
}

bool KvStore::import(const std::string &id, std::string_view body)
{
    const auto head = http::parseJson(body.substr(0, body.find('\n')));
    if (!head || !head->isObject() || !(*head)["tokens"].isInt64()) {
        return false;
    }
    if (imported_.size() >= MostImported) {
        imported_.erase(imported_.begin());
    }
    imported_[id] = {(*head)["messagesHash"].asUInt64(), (*head)["tokens"].asInt64()};
    return true;
}

std::int64_t KvStore::take(const EngineStream &stream)
{
    const auto found = imported_.find(stream.kvFrom);
    if (found == imported_.end() || found->second.messagesHash != text::stableHash(stream.messagesJson)) {
        return 0;
    }
    const std::int64_t tokens = found->second.tokens;
    imported_.erase(found);
    return tokens;
}

TimePoint KvStore::transferEnd(TimePoint now, std::size_t bytes)
{
    const auto takes = std::chrono::milliseconds(static_cast<std::int64_t>(bytes) / bytesPerMs_);
    busyUntil_ = std::max(busyUntil_, now) + takes;
    return busyUntil_;
}

} // namespace cardamomlift::standins
