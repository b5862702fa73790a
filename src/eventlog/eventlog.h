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

/// Writes complete lines of at most 4 KB in total; false if they could not be written without blocking.
using LineSink = std::function<bool(std::string_view lines)>;

/// Writes to standard output through spdlog. Never blocks: lines for which the pipe has no room are dropped.
LineSink standardOutputSink();

/// Structured log with one JSON object per line and a rate limit per event. Dropped lines are counted, and the next line of
/// the same event reports how many were dropped.
class EventLog
{
public:
    /// While a batch exists, lines are buffered and written together, as one system call per line is expensive for hundreds
    /// of lines.
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
    /// Token bucket that limits the lines of one event.
    struct RateLimit {
        double tokens = 0;
        TimePoint refilledAt;
        std::uint64_t dropped = 0; ///< Lines dropped since the last written one.
    };
    EventLog(const Clock &clock, std::string instance, LineSink sink);
    /// A line in the buffer.
    struct BufferedLine {
        Event event = Event::Count;
        std::uint64_t reportedDropped = 0; ///< Dropped lines of its event that it reports.
    };
    bool tryTake(RateLimit &limit);
    void formatLine(Event event, std::initializer_list<Value> values);
    void flush();
    const Clock &clock_;
    std::string instance_;
    LineSink sink_;
    std::array<RateLimit, static_cast<std::size_t>(Event::Count)> limits_;
    std::uint64_t dropped_ = 0;
    std::uint64_t written_ = 0;
    std::string line_; ///< A member so that its memory is reused.
    int openBatches_ = 0; ///< Number of existing batches.
    std::string buffer_;
    std::vector<BufferedLine> bufferedLines_;
};

} // namespace cardamomlift::eventlog
