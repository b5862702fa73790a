#include "contract/contractreader.h"

#include <gtest/gtest.h>

using namespace cardamomlift;
using namespace cardamomlift::contract;

namespace {

constexpr char ValidContract[] = R"({
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

TEST(ContractReader, ReadsAValidContract)
{
    Findings findings;
    const Contract contract = readContract("shop.json", ValidContract, findings);
    EXPECT_TRUE(findings.empty()) << formatFindings(findings);
    EXPECT_EQ(contract.customer, "shop");
    EXPECT_EQ(contract.limits.tokensPerMinute, 30000);
}

TEST(ContractReader, ReportsAllFindingsWithTheirLocations)
{
    std::string text = replaced(ValidContract, "\"quick\", \"maxOutputTokens\": 100", "\"slow\", \"maxOutputTokens\": \"many\"");
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

TEST(ContractReader, ReportsLikelyMistakesAsDangerous)
{
    Findings findings;
    const Contract before = readContract("a", ValidContract, findings);
    const Contract cutToZero = readContract("a", replaced(ValidContract, "\"perDayCents\": 500", "\"perDayCents\": 0"), findings);
    const Contract unitMistake = readContract("a", replaced(ValidContract, "\"tokensPerMinute\": 30000", "\"tokensPerMinute\": 30"), findings);
    const Contract smallChange = readContract("a", replaced(ValidContract, "\"tokensPerMinute\": 30000", "\"tokensPerMinute\": 40000"), findings);
    EXPECT_EQ(dangerousChanges("a", before, cutToZero).size(), 1U);
    EXPECT_EQ(dangerousChanges("a", before, unitMistake).size(), 1U);
    EXPECT_TRUE(dangerousChanges("a", before, smallChange).empty());
}

TEST(ContractReader, DangersHaveTheirLocations)
{
    Findings findings;
    const Contract before = readContract("a", ValidContract, findings);
    std::string text = replaced(ValidContract, "\"perDayCents\": 500", "\"perDayCents\": 0");
    text = replaced(text, R"({"model": "m", "class": "quick", "maxOutputTokens": 100})", "");
    const Contract after = readContract("a", text, findings);
    const Findings dangers = dangerousChanges("a", before, after, ContractLocations::read("a", text));
    ASSERT_EQ(dangers.size(), 2U) << formatFindings(dangers);
    EXPECT_EQ(dangers[0].line, 7) << "perDayCents";
    EXPECT_EQ(dangers[1].line, 5) << "the list that the model was removed from";
}

TEST(ContractReader, DescribesAConflictThreeWay)
{
    Findings findings;
    const Contract base = readContract("a", ValidContract, findings);
    const std::string theirText = replaced(ValidContract, "\"openRequests\": 20", "\"openRequests\": 30");
    const Contract theirs = readContract("a", replaced(theirText, "\"perDayCents\": 500", "\"perDayCents\": 600"), findings);
    const std::string myText = replaced(ValidContract, "\"openRequests\": 20", "\"openRequests\": 40");
    const Contract mine = readContract("a", replaced(myText, "\"tokensPerMinute\": 30000", "\"tokensPerMinute\": 40000"), findings);
    EXPECT_EQ(describeConflict(base, theirs, mine),
        "Only the other edit changes:\n  spending.perDayCents: 500 -> 600\n"
        "Only your edit changes:\n  limits.tokensPerMinute: 30000 -> 40000\n"
        "Both change, differently:\n  limits.openRequests: theirs 20 -> 30, yours 20 -> 40\n");
}
