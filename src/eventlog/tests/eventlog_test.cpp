#include "eventlog/eventlog.h"

#include "http/json.h"

#include <gtest/gtest.h>

#include <fcntl.h>
#include <set>
#include <thread>
#include <unistd.h>

namespace cardamomlift::eventlog {

namespace {

class EventLogTest : public testing::Test
{
protected:
    EventLogTest()
        : log_(EventLog::create(clock_, "vm", [this](std::string_view line) {
            if (isFull_) {
                return false;
            }
            lines_.emplace_back(line);
            return true;
        }))
    {
    }

    Json::Value last() const
    {
        return http::parseJson(lines_.back()).value_or(Json::Value());
    }

    ManualClock clock_;
    bool isFull_ = false;
    std::vector<std::string> lines_;
    std::shared_ptr<EventLog> log_;
};

TEST_F(EventLogTest, EachLineIsOneJsonObject)
{
    log_->write(Event::RequestRefused, {{Attribute::Request, "a\"b\\c\n"}, {Attribute::AgeMs, std::int64_t(5)}});
    const Json::Value line = last();
    EXPECT_EQ(line["event"].asString(), "request_refused");
    EXPECT_EQ(line["vm"].asString(), "vm");
    EXPECT_EQ(line["request"].asString(), "a\"b\\c ");
    EXPECT_EQ(line["age_ms"].asInt(), 5);
    EXPECT_EQ(std::count(lines_.back().begin(), lines_.back().end(), '\n'), 1);
}

TEST_F(EventLogTest, TheRateLimitOfAnEventDoesNotAffectOthers)
{
    for (int i = 0; i < 10'000; i++) {
        log_->write(Event::RequestRefused, {});
    }
    EXPECT_LT(lines_.size(), 1000U);
    log_->write(Event::StoreLost, {});
    EXPECT_EQ(last()["event"].asString(), "store_lost");
    clock_.advance(std::chrono::seconds(1));
    log_->write(Event::RequestRefused, {});
    EXPECT_GT(last()["dropped"].asInt(), 9000) << "dropped lines are reported";
    log_->write(Event::RequestRefused, {});
    EXPECT_FALSE(last().isMember("dropped"));
}

TEST_F(EventLogTest, ABatchIsWrittenInFewPieces)
{
    {
        const auto batch = log_->beginBatch();
        for (int i = 0; i < 100; i++) {
            log_->write(Event::ServerKnown, {{Attribute::Count, std::int64_t(i)}});
        }
    }
    EXPECT_LT(lines_.size(), 5U);
    std::string all;
    for (const std::string &piece : lines_) {
        EXPECT_LE(piece.size(), 4096U) << "a larger write may not fit into the pipe at once";
        EXPECT_EQ(piece.back(), '\n') << "ends with a complete line";
        all += piece;
    }
    EXPECT_EQ(std::count(all.begin(), all.end(), '\n'), 100);
    EXPECT_LT(all.find("\"count\":98}"), all.find("\"count\":99}"));
    EXPECT_EQ(log_->written(), 100U);
}

TEST_F(EventLogTest, DroppedLinesOfABatchAreReportedPerEvent)
{
    isFull_ = true;
    log_->write(Event::ServerKnown, {});
    {
        const auto batch = log_->beginBatch();
        log_->write(Event::ServerKnown, {});
        log_->write(Event::ServerKnown, {});
        log_->write(Event::ServerLeaving, {});
    }
    isFull_ = false;
    EXPECT_EQ(log_->dropped(), 4U);
    log_->write(Event::ServerKnown, {});
    EXPECT_EQ(last()["dropped"].asInt(), 3);
    log_->write(Event::ServerLeaving, {});
    EXPECT_EQ(last()["dropped"].asInt(), 1);
}

TEST_F(EventLogTest, LinesAreDroppedWhileTheSinkIsFull)
{
    isFull_ = true;
    log_->write(Event::Started, {});
    isFull_ = false;
    log_->write(Event::Started, {});
    EXPECT_EQ(last()["dropped"].asInt(), 1);
    EXPECT_EQ(log_->dropped(), 1U);
}

TEST_F(EventLogTest, LongTextsAreTruncated)
{
    const std::string text(100'000, 'x');
    log_->write(Event::RequestRefused, {{Attribute::Request, text}, {Attribute::Reason, text}});
    EXPECT_LT(lines_.back().size(), 2000U);
}

TEST(EventNames, EachEventAndAttributeHasAName)
{
    std::set<std::string_view> names;
    for (int i = 0; i < static_cast<int>(Event::Count); i++) {
        EXPECT_FALSE(eventName(static_cast<Event>(i)).empty());
        EXPECT_TRUE(names.insert(eventName(static_cast<Event>(i))).second);
    }
    names.clear();
    for (int i = 0; i < static_cast<int>(Attribute::Last); i++) {
        EXPECT_FALSE(attributeName(static_cast<Attribute>(i)).empty());
        EXPECT_TRUE(names.insert(attributeName(static_cast<Attribute>(i))).second);
    }
}

TEST(StandardOutputSink, AFullPipeDoesNotBlock)
{
    int pipeEnds[2];
    ASSERT_EQ(::pipe(pipeEnds), 0);
    const int standardOutput = ::dup(STDOUT_FILENO);
    std::fflush(stdout);
    ::dup2(pipeEnds[1], STDOUT_FILENO);
    const LineSink sink = standardOutputSink();
    const std::string line(1000, 'x');
    bool sawFull = false;
    // The pipe has no reader and holds about 64 KB, so a blocking write would never return.
    for (int i = 0; i < 1000 && !sawFull; i++) {
        sawFull = !sink(line);
    }
    ::dup2(standardOutput, STDOUT_FILENO);
    ::close(standardOutput);
    ::close(pipeEnds[0]);
    ::close(pipeEnds[1]);
    EXPECT_TRUE(sawFull);
}

} // namespace

} // namespace cardamomlift::eventlog
