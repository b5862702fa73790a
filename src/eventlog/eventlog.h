#pragma once

#include "eventlog/eventtypes.h"
#include "kernel/clock.h"

#include <array>
#include <functional>
#include <initializer_list>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace cardamomlift::eventlog {

/// Writes whole lines, 4 KB at most; false if they could not be written without waiting.
using LineSink = std::function<bool(std::string_view lines)>;

/// Standard output, through spdlog. Never waits for its reader: a line that does not fit now is dropped.
LineSink standardOutputSink();

/// Structured log lines: one JSON object each, with bounds for each kind of event. What is dropped is counted, and the next
/// line of that kind says how many.
class EventLog
{
public:
    /// While one lives lines are gathered and written together: hundreds of lines with a call to the system each are dear.
    class Batch
    {
    public:
        Batch(const Batch &) = delete;
        Batch &operator=(const Batch &) = delete;
        ~Batch();

    private:
        friend class EventLog;
        explicit Batch(EventLog &log);
        EventLog &log_;
    };

    static std::shared_ptr<EventLog> create(const Clock &clock, std::string instance, LineSink sink);
    void write(Event event, std::initializer_list<Value> values);
    Batch beginBatch();
    std::uint64_t dropped() const;
    std::uint64_t written() const;

private:
    struct Bound {
        double level = 0;
        TimePoint filledAt;
        std::uint64_t dropped = 0; ///< Since the last line.
    };
    EventLog(const Clock &clock, std::string instance, LineSink sink);
    /// A line that was gathered.
    struct Gathered {
        Event event = Event::Count;
        std::uint64_t toldDropped = 0; ///< Dropped lines of its kind that it tells of.
    };
    bool take(Bound &bound);
    void formatLine(Event event, std::initializer_list<Value> values);
    void flush();
    const Clock &clock_;
    std::string instance_;
    LineSink sink_;
    std::array<Bound, static_cast<std::size_t>(Event::Count)> bounds_;
    std::uint64_t dropped_ = 0;
    std::uint64_t written_ = 0;
    std::string line_; ///< Kept for its memory.
    int batches_ = 0; ///< Batches that live.
    std::string gathered_;
    std::vector<Gathered> gatheredLines_;
};

} // namespace cardamomlift::eventlog
