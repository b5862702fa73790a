#pragma once

#include <functional>
#include <string>
#include <string_view>

namespace cardamomlift::engine {

/// One server-sent event.
struct SseEvent {
    std::string id;
    std::string data;
};

/// Incremental parser for a stream of server-sent events. Memory use is bounded by the maximum event size.
class SseParser
{
public:
    static constexpr std::size_t MaxEventBytes = 1 << 20;

    /// Calls @p handler for each complete event. Returns false if an event is larger than MaxEventBytes.
    bool feed(std::string_view bytes, const std::function<void(const SseEvent &event)> &handler);

private:
    void parseLine(std::string_view line, const std::function<void(const SseEvent &event)> &handler);
    std::string buffer_;
    SseEvent event_;
};

} // namespace cardamomlift::engine
