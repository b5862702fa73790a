#include "rows/tabledigest.h"

#include <gtest/gtest.h>

namespace cardamomlift::rows {

namespace {

Row row(const std::string &key, std::uint64_t number, bool isDeleted = false)
{
    return {key, "value", {1, number}, isDeleted};
}

const StoreVersion Now{1, 9};

TEST(TableDigest, DoesNotDependOnHowTheRowsBecameKnown)
{
    TableDigest read;
    read.replaceAll(std::vector<Row>{row("a", 7), row("c", 5)}, Now);
    TableDigest followed;
    followed.replaceAll(std::vector<Row>{row("c", 2), row("b", 3)}, {1, 3});
    followed.update(std::vector<Row>{row("a", 4), row("c", 5), row("b", 6, true), row("a", 7)});
    ASSERT_TRUE(read.at(Now));
    EXPECT_EQ(read.at(Now), followed.at(Now));
    followed.update(std::vector<Row>{row("d", 8, true)});
    EXPECT_EQ(read.at(Now), followed.at(Now)) << "the removal of an unknown row changes nothing";
}

TEST(TableDigest, DiffersForAMissingAnAdditionalOrAnOlderRow)
{
    TableDigest whole;
    whole.replaceAll(std::vector<Row>{row("a", 7), row("b", 8)}, Now);
    for (const std::vector<Row> &rows : {std::vector<Row>{row("a", 7)}, {row("a", 7), row("b", 8), row("c", 1)}, {row("a", 6), row("b", 8)}}) {
        TableDigest other;
        other.replaceAll(rows, Now);
        EXPECT_NE(whole.at(Now), other.at(Now));
    }
}

TEST(TableDigest, IsEmptyForAVersionBeforeTheNewestRow)
{
    TableDigest digest;
    digest.replaceAll(std::vector<Row>{row("a", 7)}, {1, 8});
    EXPECT_FALSE(digest.at({1, 7}));
    EXPECT_TRUE(digest.at({1, 8}));
    digest.update(std::vector<Row>{row("b", 12)});
    EXPECT_FALSE(digest.at({1, 11}));
    EXPECT_TRUE(digest.at({2, 1})) << "a later era";
}

} // namespace

} // namespace cardamomlift::rows
