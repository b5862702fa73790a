#include "contract/contractreader.h"

#include <gtest/gtest.h>

using namespace cardamomlift;
using namespace cardamomlift::contract;

namespace {

constexpr char Good[] = R"({
    "customer": "shop",
    "keys": [],
    "classes": [{"name": "quick", "priority": "urgent", "firstTokenMs": 500}],
    "models": [{"model": "m", "class": "quick", "maxOutputTokens": 100}],
    "limits": {"requestsPerSecond": 10, "openRequests": 20, "tokensPerMinute": 30000},
    "spending": {"perDayCents": 500, "centsPerMillionTokens": 10, "centsPerThousandCalls": 1}
})";

std::string replaced(std::string text, const std::string &from, const std::string &to)
{
    text.replace(text.find(from), from.size(), to);
    return text;
}

} // namespace

TEST(ContractReader, ReadsAGoodContract)
{
    Findings findings;
    const Contract contract = readContract("shop.json", Good, findings);
    EXPECT_TRUE(findings.empty()) << formatFindings(findings);
    EXPECT_EQ(contract.customer, "shop");
    EXPECT_EQ(contract.limits.tokensPerMinute, 30000);
}

TEST(ContractReader, ReportsAllFindingsWithTheirPlaces)
{
    std::string text = replaced(Good, "\"quick\", \"maxOutputTokens\": 100", "\"slow\", \"maxOutputTokens\": \"many\"");
    text = replaced(text, "\"openRequests\": 20", "\"openRequest\": 20");
    Findings findings;
    readContract("shop.json", text, findings);
    ASSERT_EQ(findings.size(), 4U) << formatFindings(findings);
    for (const Finding &finding : findings) {
        EXPECT_EQ(finding.file, "shop.json");
        EXPECT_GT(finding.line, 0);
        EXPECT_GT(finding.column, 0);
        EXPECT_FALSE(finding.remedy.empty());
    }
}

TEST(ContractReader, ShowsSlipsAsDangerous)
{
    Findings findings;
    const Contract before = readContract("a", Good, findings);
    const Contract zero = readContract("a", replaced(Good, "\"perDayCents\": 500", "\"perDayCents\": 0"), findings);
    const Contract slip = readContract("a", replaced(Good, "\"tokensPerMinute\": 30000", "\"tokensPerMinute\": 30"), findings);
    const Contract small = readContract("a", replaced(Good, "\"tokensPerMinute\": 30000", "\"tokensPerMinute\": 40000"), findings);
    EXPECT_EQ(dangerousChanges("a", before, zero).size(), 1U);
    EXPECT_EQ(dangerousChanges("a", before, slip).size(), 1U);
    EXPECT_TRUE(dangerousChanges("a", before, small).empty());
}

TEST(ContractReader, DangersStandAtTheirPlaces)
{
    Findings findings;
    const Contract before = readContract("a", Good, findings);
    std::string text = replaced(Good, "\"perDayCents\": 500", "\"perDayCents\": 0");
    text = replaced(text, R"({"model": "m", "class": "quick", "maxOutputTokens": 100})", "");
    const Contract after = readContract("a", text, findings);
    const Findings dangers = dangerousChanges("a", before, after, ContractLocations::read("a", text));
    ASSERT_EQ(dangers.size(), 2U) << formatFindings(dangers);
    EXPECT_EQ(dangers[0].line, 7) << "perDayCents";
    EXPECT_EQ(dangers[1].line, 5) << "the list the model is gone from";
}

TEST(ContractReader, AConflictIsShownThreeWays)
{
    Findings findings;
    const Contract base = readContract("a", Good, findings);
    const std::string theirText = replaced(Good, "\"openRequests\": 20", "\"openRequests\": 30");
    const Contract theirs = readContract("a", replaced(theirText, "\"perDayCents\": 500", "\"perDayCents\": 600"), findings);
    const std::string myText = replaced(Good, "\"openRequests\": 20", "\"openRequests\": 40");
    const Contract mine = readContract("a", replaced(myText, "\"tokensPerMinute\": 30000", "\"tokensPerMinute\": 40000"), findings);
    EXPECT_EQ(describeConflict(base, theirs, mine),
        "Only the other edit changes:\n  spending.perDayCents: 500 -> 600\n"
        "Only your edit changes:\n  limits.tokensPerMinute: 30000 -> 40000\n"
        "Both change, differently:\n  limits.openRequests: theirs 20 -> 30, yours 20 -> 40\n");
}
