#include "relay/relayformat.h"

#include <gtest/gtest.h>

namespace cardamomlift::relay {

namespace {

constexpr std::string_view Header = "Cardamomlift-Relay";

TEST(RelayFormat, FieldsComeBackAsTheyWere)
{
    http1::RequestHead head;
    writeRelayFields({"entry;1", 17, true, false}, head);
    const auto fields = readRelayFields(head);
    ASSERT_TRUE(fields);
    EXPECT_EQ(fields->from, "entry;1");
    EXPECT_EQ(fields->manifestVersion, 17U);
    EXPECT_TRUE(fields->isAdmitted);
    EXPECT_FALSE(fields->isUsageNoted);
}

// Guards against a caller who sets the field: it would be taken for the word of an entry VM.
TEST(RelayFormat, ReplacesWhatACallerHasSet)
{
    http1::RequestHead head;
    head.fields.add("cardamomlift-RELAY", "9;1;1;caller");
    head.fields.add(Header, "8;1;1;caller");
    writeRelayFields({"entry-1", 1, false, false}, head);
    EXPECT_EQ(head.fields.count(Header), 1U);
    EXPECT_EQ(readRelayFields(head)->from, "entry-1");
}

TEST(RelayFormat, WhatCantBeParsedIsNotTaken)
{
    for (const char *value : {"", "1", "1;1;0", "1;1;0;", "x;1;0;entry", "1;-1;0;entry", "1;;0;entry"}) {
        http1::RequestHead head;
        head.fields.add(Header, value);
        EXPECT_FALSE(readRelayFields(head)) << value;
    }
    http1::RequestHead twice;
    twice.fields.add(Header, "1;1;0;entry");
    twice.fields.add(Header, "1;1;0;entry");
    EXPECT_FALSE(readRelayFields(twice));
}

TEST(RelayFormat, TheMarkOfAnAnswerIsRemovedWithNothingElse)
{
    http1::ResponseHead head;
    head.fields.add("Retry-After", "1");
    EXPECT_FALSE(isUnavailable(head));
    markUnavailable(head);
    EXPECT_TRUE(isUnavailable(head));
    removeMark(head);
    EXPECT_FALSE(isUnavailable(head));
    EXPECT_EQ(head.fields.get("Retry-After"), "1");
}

} // namespace

} // namespace cardamomlift::relay
