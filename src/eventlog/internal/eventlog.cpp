#include "eventlog/eventlog.h"

#include <fmt/format.h>
#include <poll.h>
#include <spdlog/sinks/base_sink.h>
#include <spdlog/spdlog.h>
#include <unistd.h>

#include <algorithm>
#include <mutex>
#include <utility>

namespace cardamomlift::eventlog {

namespace {

/// Lines of one kind a second, and at once. A VM serves some tens of requests a second, each with two or three lines; a
/// line costs some 20 microseconds of a processor.
constexpr double LinesPerSecond = 200;
constexpr double LinesAtOnce = 400;
constexpr double MicrosecondsPerSecond = 1e6;
constexpr std::size_t LongestText = 200;
constexpr std::size_t LongestLine = 2000;
/// A pipe with any room takes this much in one piece (POSIX: PIPE_BUF is at least 512; 4096 on Linux).
constexpr std::size_t MostAtOnce = 4096;
static_assert(LongestLine <= MostAtOnce);

void appendEscaped(std::string &out, std::string_view text)
{
    for (const char c : text.substr(0, LongestText)) {
        if (c == '"' || c == '\\') {
            out += '\\';
            out += c;
        } else if (static_cast<unsigned char>(c) < ' ') {
            out += ' ';
        } else {
            out += c;
        }
    }
}

void appendValue(std::string &out, const Value &value)
{
    fmt::format_to(std::back_inserter(out), ",\"{}\":", attributeName(value.attribute));
    if (const auto *number = std::get_if<std::int64_t>(&value.value)) {
        fmt::format_to(std::back_inserter(out), "{}", *number);
        return;
    }
    out += '"';
    appendEscaped(out, std::get<std::string_view>(value.value));
    out += '"';
}

/// Writes to standard output only what its reader has room for.
class NonBlockingSink : public spdlog::sinks::base_sink<std::mutex>
{
public:
    bool lastWritten() const
    {
        return lastWritten_;
    }

protected:
    void sink_it_(const spdlog::details::log_msg &message) override
    {
        pollfd output{STDOUT_FILENO, POLLOUT, 0};
        lastWritten_ = ::poll(&output, 1, 0) == 1 && (output.revents & POLLOUT) != 0;
        if (lastWritten_) {
            lastWritten_ = ::write(STDOUT_FILENO, message.payload.data(), message.payload.size()) == static_cast<ssize_t>(message.payload.size());
        }
    }

    void flush_() override
    {
    }

private:
    bool lastWritten_ = false;
};

} // namespace

LineSink standardOutputSink()
{
    const auto sink = std::make_shared<NonBlockingSink>();
    const auto logger = std::make_shared<spdlog::logger>("events", sink);
    return [sink, logger](std::string_view line) {
        logger->info(spdlog::string_view_t(line.data(), line.size()));
        return sink->lastWritten();
    };
}

EventLog::EventLog(const Clock &clock, std::string instance, LineSink sink)
    : clock_(clock)
    , instance_(std::move(instance))
    , sink_(std::move(sink))
{
    for (Bound &bound : bounds_) {
        bound.level = LinesAtOnce;
        bound.filledAt = clock.now();
    }
}

std::shared_ptr<EventLog> EventLog::create(const Clock &clock, std::string instance, LineSink sink)
{
    return std::shared_ptr<EventLog>(new EventLog(clock, std::move(instance), std::move(sink)));
}

bool EventLog::take(Bound &bound)
{
    const TimePoint now = clock_.now();
    const double seconds = static_cast<double>((now - bound.filledAt).count()) / MicrosecondsPerSecond;
    bound.level = std::min(LinesAtOnce, bound.level + std::max(0.0, seconds) * LinesPerSecond);
    bound.filledAt = now;
    if (bound.level < 1) {
        return false;
    }
    bound.level -= 1;
    return true;
}

void EventLog::formatLine(Event event, std::initializer_list<Value> values)
{
    line_.clear();
    const auto wall = clock_.wallNow().time_since_epoch().count();
    fmt::format_to(std::back_inserter(line_),
        "{{\"event\":\"{}\",\"vm\":\"{}\",\"at_us\":{},\"up_us\":{}",
        eventName(event),
        instance_,
        wall,
        clock_.now().time_since_epoch().count());
    for (const Value &value : values) {
        if (line_.size() < LongestLine - LongestText * 2) {
            appendValue(line_, value);
        }
    }
    const std::uint64_t dropped = bounds_[static_cast<std::size_t>(event)].dropped;
    if (dropped > 0) {
        appendValue(line_, {Attribute::Dropped, static_cast<std::int64_t>(dropped)});
    }
    line_ += "}\n";
}

void EventLog::write(Event event, std::initializer_list<Value> values)
{
    Bound &bound = bounds_[static_cast<std::size_t>(event)];
    if (!take(bound)) {
        bound.dropped++;
        dropped_++;
        return;
    }
    formatLine(event, values);
    if (gathered_.size() + line_.size() > MostAtOnce) {
        flush();
    }
    gathered_ += line_;
    gatheredLines_.push_back({event, std::exchange(bound.dropped, 0)});
    if (batches_ == 0) {
        flush();
    }
}

void EventLog::flush()
{
    if (gathered_.empty()) {
        return;
    }
    if (sink_(gathered_)) {
        written_ += gatheredLines_.size();
    } else {
        for (const Gathered &line : gatheredLines_) {
            bounds_[static_cast<std::size_t>(line.event)].dropped += line.toldDropped + 1;
        }
        dropped_ += gatheredLines_.size();
    }
    gathered_.clear();
    gatheredLines_.clear();
}

EventLog::Batch EventLog::beginBatch()
{
    return Batch(*this);
}

EventLog::Batch::Batch(EventLog &log)
    : log_(log)
{
    log_.batches_++;
}

EventLog::Batch::~Batch()
{
    if (--log_.batches_ == 0) {
        log_.flush();
    }
}

std::uint64_t EventLog::dropped() const
{
    return dropped_;
}

std::uint64_t EventLog::written() const
{
    return written_;
}

} // namespace cardamomlift::eventlog
