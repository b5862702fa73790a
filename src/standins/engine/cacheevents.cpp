#include "standins/engine/cacheevents.h"

#include "text/digest.h"

namespace cardamomlift::standins {

namespace {

constexpr std::size_t MostEvents = 4096;
constexpr std::uint64_t Percent = 100;

} // namespace

CacheEvents::CacheEvents(Duration lag, int lossPercent, std::string instance)
    : lag_(lag)
    , lossPercent_(lossPercent)
    , instance_(std::move(instance))
{
}

void CacheEvents::add(TimePoint now, const char *kind, std::uint64_t prefix, std::int64_t tokens)
{
    events_.push_back({++lastSeq_, now, kind, prefix, tokens});
    if (events_.size() > MostEvents) {
        events_.pop_front();
    }
}

Json::Value CacheEvents::after(TimePoint now, std::uint64_t after) const
{
    Json::Value json;
    json["events"] = Json::Value(Json::arrayValue);
    json["last"] = static_cast<Json::UInt64>(after);
    for (const Event &event : events_) {
        if (event.seq <= after || event.at + lag_ > now) {
            continue;
        }
        json["last"] = static_cast<Json::UInt64>(event.seq);
        if (isLost(event.seq)) {
            continue;
        }
        Json::Value entry;
        entry["seq"] = static_cast<Json::UInt64>(event.seq);
        entry["kind"] = event.kind;
        entry["prefix"] = static_cast<Json::UInt64>(event.prefix);
        entry["tokens"] = static_cast<Json::Int64>(event.tokens);
        json["events"].append(entry);
    }
    return json;
}

bool CacheEvents::isLost(std::uint64_t seq) const
{
    return text::stableHash(instance_, seq) % Percent < static_cast<std::uint64_t>(lossPercent_);
}

} // namespace cardamomlift::standins
