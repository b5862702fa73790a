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

/// Rate limit of the lines of one event, and its burst. A VM serves some tens of requests a second, each with two or three
/// lines, and a line costs about 20 microseconds of CPU time.
constexpr double LinesPerSecond = 200;
constexpr double LineBurst = 400;
constexpr double MicrosecondsPerSecond = 1e6;
constexpr std::size_t MaxTextLength = 200;
constexpr std::size_t MaxLineLength = 2000;
/// PIPE_BUF on Linux (POSIX guarantees 512): a pipe that is ready for writing takes this many bytes in one write.
constexpr std::size_t MaxWriteSize = 4096;
static_assert(MaxLineLength <= MaxWriteSize);

void appendEscaped(std::string &out, std::string_view text)
{
    for (const char c : text.substr(0, MaxTextLength)) {
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

/// Writes to standard output only if that does not block.
class NonBlockingStdoutSink : public spdlog::sinks::base_sink<std::mutex>
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
    const auto sink = std::make_shared<NonBlockingStdoutSink>();
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
    for (RateLimit &limit : limits_) {
        limit.tokens = LineBurst;
        limit.refilledAt = clock.now();
    }
}

std::shared_ptr<EventLog> EventLog::create(const Clock &clock, std::string instance, LineSink sink)
{
    return std::shared_ptr<EventLog>(new EventLog(clock, std::move(instance), std::move(sink)));
}

bool EventLog::tryTake(RateLimit &limit)
{
    const TimePoint now = clock_.now();
    const double seconds = static_cast<double>((now - limit.refilledAt).count()) / MicrosecondsPerSecond;
    limit.tokens = std::min(LineBurst, limit.tokens + std::max(0.0, seconds) * LinesPerSecond);
    limit.refilledAt = now;
    if (limit.tokens < 1) {
        return false;
    }
    limit.tokens -= 1;
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
        if (line_.size() < MaxLineLength - MaxTextLength * 2) {
            appendValue(line_, value);
        }
    }
    const std::uint64_t dropped = limits_[static_cast<std::size_t>(event)].dropped;
    if (dropped > 0) {
        appendValue(line_, {Attribute::Dropped, static_cast<std::int64_t>(dropped)});
    }
    line_ += "}\n";
}

void EventLog::write(Event event, std::initializer_list<Value> values)
{
    RateLimit &limit = limits_[static_cast<std::size_t>(event)];
    if (!tryTake(limit)) {
        limit.dropped++;
        dropped_++;
        return;
    }
    formatLine(event, values);
    if (buffer_.size() + line_.size() > MaxWriteSize) {
        flush();
    }
    buffer_ += line_;
    bufferedLines_.push_back({event, std::exchange(limit.dropped, 0)});
    if (openBatches_ == 0) {
        flush();
    }
}

void EventLog::flush()
{
    if (buffer_.empty()) {
        return;
    }
    if (sink_(buffer_)) {
        written_ += bufferedLines_.size();
    } else {
        for (const BufferedLine &line : bufferedLines_) {
            limits_[static_cast<std::size_t>(line.event)].dropped += line.reportedDropped + 1;
        }
        dropped_ += bufferedLines_.size();
    }
    buffer_.clear();
    bufferedLines_.clear();
}

EventLog::Batch EventLog::beginBatch()
{
    return Batch(*this);
}

EventLog::Batch::Batch(EventLog &log)
    : log_(log)
{
    log_.openBatches_++;
}

EventLog::Batch::~Batch()
{
    if (--log_.openBatches_ == 0) {
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
