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

/// Cuts a byte stream into server-sent events. Memory is bounded by the longest event allowed.
class SseParser
{
public:
    static constexpr std::size_t LongestEvent = 1 << 20;

    /// Calls @p handler for each whole event. False when an event is longer than LongestEvent.
    bool feed(std::string_view bytes, const std::function<void(const SseEvent &event)> &handler);

private:
    void takeLine(std::string_view line, const std::function<void(const SseEvent &event)> &handler);
    std::string rest_;
    SseEvent event_;
};

} // namespace cardamomlift::engine
