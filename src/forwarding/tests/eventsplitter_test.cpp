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

// Guards against an event that is passed on in parts and whose parts are taken for whole events.
TEST(EventSplitter, KnowsThatAPartOfALongEventWasPassedOn)
{
    const std::string half(EventSplitter::MaxEventBytes, 'x');
    for (const std::string end : {"\n", "\r\n", "id: 2\n\n"}) {
        EventSplitter splitter;
        splitter.feed("id: 1\ndata: a\n\n");
        EXPECT_TRUE(splitter.canResume());
        EXPECT_FALSE(splitter.feed("data: " + half).empty());
        EXPECT_TRUE(splitter.isInsideEvent());
        EXPECT_FALSE(splitter.canResume());
        EXPECT_EQ(splitter.feed(half + "\n"), half + "\n") << "the buffer is full again";
        EXPECT_TRUE(splitter.isInsideEvent());
        EXPECT_EQ(splitter.eventCount(), 1U);
        splitter.feed(end);
        EXPECT_FALSE(splitter.isInsideEvent());
        EXPECT_EQ(splitter.eventCount(), 2U);
        EXPECT_EQ(splitter.canResume(), splitter.lastId() == "2") << "an event without an id can't be resumed after";
    }
}

// Guards against an empty rest of a line that is taken for the empty line after an event.
TEST(EventSplitter, ALineThatWasPassedOnInPartsIsNotEmpty)
{
    EventSplitter splitter;
    splitter.feed("data: " + std::string(EventSplitter::MaxEventBytes, 'x'));
    splitter.feed("\n");
    EXPECT_TRUE(splitter.isInsideEvent());
    EXPECT_EQ(splitter.eventCount(), 0U);
    splitter.feed("\n");
    EXPECT_EQ(splitter.eventCount(), 1U);
}

} // namespace

} // namespace cardamomlift::forwarding
