#pragma once

#include "eventlog/eventtypes.h"
#include "kernel/clock.h"

#include <array>
#include <functional>
#include <initializer_list>
#include <memory>
#include <string>

namespace cardamomlift::eventlog {

/// Writes whole lines; false if one could not be written without waiting.
using LineSink = std::function<bool(std::string_view line)>;

/// Standard output, through spdlog. Never waits for its reader: a line that does not fit now is dropped.
LineSink standardOutputSink();

/// Structured log lines: one JSON object each, with bounds for each kind of event. What is dropped is counted, and the next
/// line of that kind says how many.
class EventLog
{
public:
    static std::shared_ptr<EventLog> create(const Clock &clock, std::string instance, LineSink sink);
    void write(Event event, std::initializer_list<Value> values);
    std::uint64_t dropped() const;
    std::uint64_t written() const;

private:
    struct Bound {
        double level = 0;
        TimePoint filledAt;
        std::uint64_t dropped = 0; ///< Since the last line.
    };
    EventLog(const Clock &clock, std::string instance, LineSink sink);
    bool take(Bound &bound);
    const Clock &clock_;
    std::string instance_;
    LineSink sink_;
    std::array<Bound, static_cast<std::size_t>(Event::Count)> bounds_;
    std::uint64_t dropped_ = 0;
    std::uint64_t written_ = 0;
    std::string line_; ///< Kept for its memory.
};

} // namespace cardamomlift::eventlog
