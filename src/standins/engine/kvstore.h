#pragma once

#include "standins/engine/enginetypes.h"

#include <map>
#include <optional>
#include <string>

namespace cardamomlift::standins {

/// KV caches given to other engines and taken from them, at a bounded rate.
class KvStore
{
public:
    explicit KvStore(const EngineOptions &options);
    /// The cache of @p stream as an opaque body; it grows with the tokens.
    std::string exportOf(const EngineStream &stream) const;
    /// Keeps an exported cache under @p id. False if the body is none.
    bool import(const std::string &id, std::string_view body);
    /// Tokens of @p stream that the imported cache it names covers; the cache is dropped.
    std::int64_t take(const EngineStream &stream);
    /// When a transfer of so many bytes ends that starts now, after those before it.
    TimePoint transferEnd(TimePoint now, std::size_t bytes);

private:
    struct Imported {
        std::uint64_t messagesHash = 0;
        std::int64_t tokens = 0;
    };
    std::int64_t bytesPerToken_;
    std::int64_t bytesPerMs_;
    TimePoint busyUntil_{};
    std::map<std::string, Imported> imported_;
};

} // namespace cardamomlift::standins
