#include "forwarding/eventsplitter.h"

#include <gtest/gtest.h>

namespace cardamomlift::forwarding {

namespace {

const std::string Stream = "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid:3\r\ndata: c\n\n";

TEST(EventSplitter, OutputsWholeEventsOnlyAndUnchanged)
{
    for (std::size_t step = 1; step < Stream.size(); step++) {
        EventSplitter splitter;
        std::string passed;
        for (std::size_t i = 0; i < Stream.size(); i += step) {
            passed += splitter.feed(std::string_view(Stream).substr(i, step));
            EXPECT_TRUE(passed.empty() || passed.ends_with("\n\n"));
        }
        EXPECT_EQ(passed, Stream);
        EXPECT_EQ(splitter.lastId(), "3");
        EXPECT_EQ(splitter.eventCount(), 3U);
    }
}

// Guards against a stream that is held back because its lines end in another way than with LF.
TEST(EventSplitter, ReadsAllLineEndsThatTheFormatAllows)
{
    for (const std::string lineEnd : {"\n", "\r\n", "\r"}) {
        const std::string first = "id: 1" + lineEnd + "data: a" + lineEnd + lineEnd;
        const std::string second = "id: 2" + lineEnd + "data: b" + lineEnd + lineEnd;
        const std::string stream = first + second;
        for (std::size_t step = 1; step <= stream.size(); step++) {
            EventSplitter splitter;
            std::string passed;
            for (std::size_t i = 0; i < stream.size(); i += step) {
                passed += splitter.feed(std::string_view(stream).substr(i, step));
                EXPECT_LE(passed.size(), i + step);
                EXPECT_GE(passed.size(), i + step < first.size() ? 0 : first.size());
            }
            EXPECT_EQ(passed, stream);
            EXPECT_EQ(splitter.eventCount(), 2U);
            EXPECT_EQ(splitter.lastId(), "2");
            EXPECT_FALSE(splitter.isInsideEvent());
        }
    }
}

TEST(EventSplitter, KnowsWhetherItIsInsideAnEvent)
{
    const auto isInsideAfter = [](std::string_view bytes) {
        EventSplitter splitter;
        splitter.feed(bytes);
        return splitter.isInsideEvent();
    };
    EXPECT_FALSE(isInsideAfter(""));
    EXPECT_FALSE(isInsideAfter("data: a\n\n"));
    EXPECT_FALSE(isInsideAfter("data: a\r\n\r"));
    EXPECT_FALSE(isInsideAfter("data: a\n\n: a comment\n"));
    EXPECT_TRUE(isInsideAfter("data: a\n\n: a comm"));
    EXPECT_TRUE(isInsideAfter("data: a\n\nd"));
    EXPECT_TRUE(isInsideAfter("data: a\n"));
    EXPECT_TRUE(isInsideAfter("data: a\r\n"));
    EXPECT_TRUE(isInsideAfter("data: a\n: a comment\n"));
}

TEST(EventSplitter, KeepsTheIdOfTheLastWholeEvent)
{
    EventSplitter splitter;
    splitter.feed("id: 1\ndata: a\n\nid: 2\ndata: b\n");
    EXPECT_EQ(splitter.lastId(), "1");
    splitter.dropIncompleteEvent();
    splitter.feed("data: c\n\n");
    EXPECT_EQ(splitter.lastId(), "1");
}

TEST(EventSplitter, DiscardsAnIncompleteEventBeforeResuming)
{
    EventSplitter splitter;
    EXPECT_EQ(splitter.feed("id: 1\ndata: a\n\nid: 2\nda"), "id: 1\ndata: a\n\n");
    EXPECT_EQ(splitter.incompleteEvent(), "id: 2\nda");
    splitter.dropIncompleteEvent();
    EXPECT_EQ(splitter.lastId(), "1");
    EXPECT_EQ(splitter.feed("id: 2\ndata: b\n\n"), "id: 2\ndata: b\n\n");
}

TEST(EventSplitter, BuffersABoundedAmount)
{
    EventSplitter splitter;
    const std::string huge(EventSplitter::MaxEventBytes + 1, 'x');
    EXPECT_EQ(splitter.feed(huge).size(), huge.size());
}

} // namespace

} // namespace cardamomlift::forwarding
