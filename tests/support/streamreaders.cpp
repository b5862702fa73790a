#include "support/streamreaders.h"

#include <fmt/format.h>
#include <gtest/gtest.h>

#include <algorithm>
#include <set>
#include <sstream>

namespace cardamomlift::test {

namespace {

constexpr int StatusOk = 200;
/// A caller whose try has ended comes again this much later.
constexpr milliseconds ReturnsAfter(100);

std::vector<std::pair<int, std::string>> eventsOf(const std::string &body)
{
    std::vector<std::pair<int, std::string>> events;
    std::istringstream lines(body);
    for (std::string line; std::getline(lines, line);) {
        std::istringstream words(line);
        std::string field;
        std::string id;
        int number = 0;
        std::string worker;
        words >> field >> id >> number >> worker;
        if (field == "data:") {
            events.emplace_back(number, worker);
        }
    }
    return events;
}

std::string versionOf(const std::string &worker)
{
    return worker.substr(0, worker.find('-'));
}

} // namespace

StreamReaders::StreamReaders(RouteFleet &fleet, int entries, int events, int eventGapMs)
    : fleet_(fleet)
    , entries_(entries)
    , events_(events)
    , eventGapMs_(eventGapMs)
{
}

void StreamReaders::addWorker(const std::string &instance)
{
    fleet_.addWorker(instance, versionOf(instance));
    Json::Value control;
    control["events"] = events_;
    control["eventGapMs"] = eventGapMs_;
    control["namesServer"] = true;
    fleet_.controlWorker(instance, control);
}

TimePoint StreamReaders::now()
{
    return fleet_.caller.loop().now();
}

std::size_t StreamReaders::size() const
{
    return readers_.size();
}

void StreamReaders::start(int entry)
{
    StreamReader reader;
    reader.name = fmt::format("reader-{}", readers_.size());
    reader.entry = entry;
    reader.startedAt = now();
    readers_.push_back(reader);
    startTry(readers_.back());
}

void StreamReaders::startTry(StreamReader &reader)
{
    const std::string id = fmt::format("{}-{}", reader.name, reader.tries++);
    http::ClientRequest request = fleet_.request(reader.entry, "/stream/1", id);
    if (reader.events.empty()) {
        reader.firstTry = id;
    } else {
        request.headers["Last-Event-Id"] = std::to_string(reader.events.back().first);
        request.headers["Resumes"] = reader.firstTry;
    }
    reader.call = fleet_.caller.start(request);
}

// Takes in what the last try has brought. The next one goes to another VM.
void StreamReaders::endTry(StreamReader &reader)
{
    const auto events = eventsOf(reader.call->body);
    const bool isResumption = !reader.events.empty();
    reader.events.insert(reader.events.end(), events.begin(), events.end());
    reader.isWhole = reader.call->result.transport == http::Transport::Completed && reader.call->status == StatusOk;
    reader.isOver = reader.isWhole;
    resumed_ += isResumption ? 1 : 0;
    resumedWithEvents_ += isResumption && (!events.empty() || reader.isWhole) ? 1 : 0;
    reader.call = nullptr;
    reader.entry = reader.entry % entries_ + 1;
    reader.returnsAt = now() + ReturnsAfter;
}

void StreamReaders::leaveAndReturn()
{
    for (StreamReader &reader : readers_) {
        if (reader.call) {
            fleet_.caller.hangUp(reader.call);
            endTry(reader);
            reader.returnsAt = now();
        }
    }
}

void StreamReaders::step(milliseconds patience)
{
    for (StreamReader &reader : readers_) {
        if (reader.isOver) {
            continue;
        }
        if (reader.call && reader.call->ended) {
            endTry(reader);
        }
        const bool mayCome = !reader.call && !reader.isOver;
        if (mayCome && now() >= reader.startedAt + patience) {
            reader.isOver = true;
        } else if (mayCome && now() >= reader.returnsAt) {
            startTry(reader);
        }
    }
}

void StreamReaders::finish(milliseconds patience)
{
    fleet_.caller.waitUntil(
        [&] {
            step(patience);
            return std::all_of(readers_.begin(), readers_.end(), [](const StreamReader &reader) { return reader.isOver; });
        },
        "all callers are served or give up");
}

int StreamReaders::countMixed() const
{
    int mixed = 0;
    for (const StreamReader &reader : readers_) {
        std::set<std::string> versions;
        for (std::size_t i = 0; i < reader.events.size(); i++) {
            EXPECT_EQ(reader.events[i].first, static_cast<int>(i) + 1) << reader.name << ": an event is missing, or came twice";
            versions.insert(versionOf(reader.events[i].second));
        }
        mixed += versions.size() > 1 ? 1 : 0;
        EXPECT_TRUE(!reader.isWhole || static_cast<int>(reader.events.size()) == events_) << reader.name;
    }
    return mixed;
}

int StreamReaders::countWhole() const
{
    return static_cast<int>(std::count_if(readers_.begin(), readers_.end(), [](const StreamReader &reader) { return reader.isWhole; }));
}

std::pair<int, int> StreamReaders::countResumed() const
{
    return {resumed_, resumedWithEvents_};
}

} // namespace cardamomlift::test
