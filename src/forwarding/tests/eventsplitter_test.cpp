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
