#include "contract/contractset.h"

#include <gtest/gtest.h>

using namespace cardamomlift;
using namespace cardamomlift::contract;

namespace {

constexpr char KeyHash[] = "77cfb708cdcd1d984dbd52883ce90662fd3f0395f7b13ea489aaae44aa22ed23";

ContractVersion makeVersion(const std::string &customer, std::uint64_t version, std::uint64_t revision, bool withKey = true)
{
    const std::string keys = withKey ? std::string(R"({"name": "desk", "sha256": ")") + KeyHash + "\"}" : "";
    return {customer,
        version,
        revision,
        "{\"customer\": \"" + customer + "\", \"keys\": [" + keys + R"(], "classes": [],
            "limits": {"requestsPerSecond": 1, "openRequests": 1, "tokensPerMinute": 1},
            "spending": {"perDayCents": 1, "centsPerMillionTokens": 1, "centsPerThousandCalls": 1}})",
        "ann",
        "edit"};
}

} // namespace

TEST(ContractSet, NeverDecreasesVersionsOrRevisions)
{
    const auto set = ContractSet::create();
    int changes = 0;
    set->onChange([&](const ContractInForce &) { changes++; });
    EXPECT_TRUE(set->applyIfNewer(makeVersion("shop", 2, 7)));
    EXPECT_FALSE(set->applyIfNewer(makeVersion("shop", 1, 9)));
    EXPECT_FALSE(set->applyIfNewer(makeVersion("shop", 2, 7)));
    EXPECT_EQ(set->find("shop")->version.version, 2U);
    EXPECT_EQ(changes, 1);
    set->setRevision(7);
    set->setRevision(3);
    EXPECT_EQ(set->revision(), 7U);
    EXPECT_EQ(set->newerThan(6).size(), 1U);
    EXPECT_TRUE(set->newerThan(7).empty());
}

TEST(ContractSet, EveryVmResolvesASharedKeyToTheSameCustomer)
{
    const auto one = ContractSet::create();
    const auto other = ContractSet::create();
    one->applyIfNewer(makeVersion("desk", 1, 1));
    one->applyIfNewer(makeVersion("shop", 1, 2));
    other->applyIfNewer(makeVersion("shop", 1, 2));
    other->applyIfNewer(makeVersion("desk", 1, 1));
    EXPECT_EQ(one->findByKeyHash(KeyHash)->contract.customer, "desk");
    EXPECT_EQ(other->findByKeyHash(KeyHash)->contract.customer, "desk");
    one->applyIfNewer(makeVersion("desk", 2, 3, false));
    EXPECT_EQ(one->findByKeyHash(KeyHash)->contract.customer, "shop");
}
