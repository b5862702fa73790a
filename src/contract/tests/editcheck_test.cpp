#include "contract/editcheck.h"

#include "http/tests/spoiltjson.h"

#include <gtest/gtest.h>

using namespace cardamomlift;
using namespace cardamomlift::contract;

namespace {

std::string contractText(const std::string &customer)
{
    return "{\"customer\": \"" + customer + R"(", "classes": [],
        "keys": [{"name": "desk", "sha256": "77cfb708cdcd1d984dbd52883ce90662fd3f0395f7b13ea489aaae44aa22ed23"}],
        "limits": {"requestsPerSecond": 1, "openRequests": 1, "tokensPerMinute": 1},
        "spending": {"perDayCents": 1, "centsPerMillionTokens": 1, "centsPerThousandCalls": 1}})";
}

} // namespace

TEST(EditCheck, RejectsAnApiKeyOfAnotherCustomer)
{
    const auto set = ContractSet::create();
    set->applyIfNewer({"shop", 1, 1, contractText("shop"), "ann", "edit"});
    const auto others = set->all();
    EXPECT_TRUE(checkEdit({"shop.json", "shop", contractText("shop")}, nullptr, others).empty()) << "the customer's own key";
    const Findings findings = checkEdit({"desk.json", "desk", contractText("desk")}, nullptr, others);
    ASSERT_EQ(findings.size(), 1U) << formatFindings(findings);
    EXPECT_EQ(findings[0].line, 2);
    EXPECT_GT(findings[0].column, 0);
    EXPECT_TRUE(hasErrors(findings)) << "an error, which can't be confirmed";
}

TEST(EditCheck, ReportsDangersAgainstTheReplacedVersionUnlessConfirmed)
{
    const ContractVersion replaced{"shop", 1, 1, contractText("shop"), "ann", "edit"};
    std::string text = contractText("shop");
    text.replace(text.find("\"perDayCents\": 1"), 16, "\"perDayCents\": 0");
    EXPECT_EQ(checkEdit({"f", "shop", text, false}, &replaced, {}).size(), 1U);
    EXPECT_TRUE(checkEdit({"f", "shop", text, true}, &replaced, {}).empty());
    EXPECT_TRUE(checkEdit({"f", "shop", text, false}, nullptr, {}).empty());
}

// Guards against a value of an unexpected type in an operator's contract that ends the process.
TEST(EditCheck, OddValuesAreSurvived)
{
    const std::string text = R"({"customer":"shop","name":"n",
        "keys":[{"name":"desk","sha256":"77cfb708cdcd1d984dbd52883ce90662fd3f0395f7b13ea489aaae44aa22ed23"}],
        "classes":[{"name":"c","priority":"urgent","firstTokenMs":760,"betweenTokensMs":76,"waitUpToMs":500}],
        "models":[{"model":"m","class":"c","maxOutputTokens":4000}],
        "services":[{"service":"s","path":"/s","class":"c","idempotent":false,"timeoutMs":10000}],
        "limits":{"requestsPerSecond":1,"openRequests":1,"tokensPerMinute":1},
        "spending":{"perDayCents":1,"centsPerMillionTokens":1,"centsPerThousandCalls":1}})";
    const ContractVersion replaced{"shop", 1, 1, text, "ann", "edit"};
    ASSERT_TRUE(checkEdit({"f", "shop", text}, &replaced, {}).empty());
    http::forEachSpoiltText(text, [&replaced](const std::string &spoilt) { checkEdit({"f", "shop", spoilt}, &replaced, {}); });
}
