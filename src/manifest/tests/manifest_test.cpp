#include "manifest/manifestkeeper.h"

#include <gtest/gtest.h>

namespace cardamomlift::manifest {

namespace {

using std::chrono::milliseconds;

Route route(const std::string &name, const std::string &host, const std::string &prefix)
{
    Route result;
    result.name = name;
    result.host = host;
    result.prefix = prefix;
    result.shares = {{"service", 1}};
    return result;
}

Manifest version(std::uint64_t number)
{
    Manifest manifest;
    manifest.version = number;
    return manifest;
}

std::string nameOf(const Route *route)
{
    return route ? route->name : "none";
}

TEST(ManifestIndex, TakesTheLongestPrefixOfTheHost)
{
    Manifest manifest;
    manifest.routes = {
        route("root", "a.example", "/"), route("short", "a.example", "/x/"), route("long", "a.example", "/x/y/"), route("other", "b.example", "/x/y/z/")};
    const auto index = ManifestIndex::create(std::move(manifest));
    EXPECT_EQ(nameOf(index->route("a.example", "/x/y/1")), "long");
    EXPECT_EQ(nameOf(index->route("a.example", "/x/y")), "short");
    EXPECT_EQ(nameOf(index->route("a.example", "/x/yy/1")), "short");
    EXPECT_EQ(nameOf(index->route("A.Example:8080", "/x/y/z/1?q=/x/")), "long");
    EXPECT_EQ(nameOf(index->route("a.example", "/")), "root");
    EXPECT_EQ(nameOf(index->route("b.example", "/x/")), "none");
    EXPECT_EQ(nameOf(index->route("c.example", "/x/")), "none");
    EXPECT_EQ(nameOf(index->route("a.example", "")), "none");
}

TEST(ManifestIndex, FindsTheHolderOfAKey)
{
    Manifest manifest;
    manifest.customers.resize(2);
    manifest.customers[0].name = "first";
    manifest.customers[0].keys = {"k1", "k2"};
    manifest.customers[1].name = "second";
    manifest.customers[1].keys = {"k3"};
    const auto index = ManifestIndex::create(std::move(manifest));
    EXPECT_EQ(index->customerOfKey("k2")->name, "first");
    EXPECT_EQ(index->customerOfKey("k3")->name, "second");
    EXPECT_EQ(index->customerOfKey("k"), nullptr);
}

TEST(ManifestKeeper, NeverGoesBackToAnOlderVersion)
{
    const auto keeper = ManifestKeeper::create();
    EXPECT_EQ(keeper->current(), nullptr);
    EXPECT_EQ(keeper->offer(version(5)), OfferOutcome::InForce);
    EXPECT_EQ(keeper->offer(version(4)), OfferOutcome::Older);
    EXPECT_EQ(keeper->offer(version(5)), OfferOutcome::Known);
    EXPECT_EQ(keeper->current()->manifest().version, 5U);
    EXPECT_EQ(keeper->offer(version(9)), OfferOutcome::InForce);
}

TEST(ManifestKeeper, ARequestKeepsTheVersionItBeganWith)
{
    const auto keeper = ManifestKeeper::create();
    keeper->offer(version(1));
    const ManifestPtr held = keeper->current();
    keeper->offer(version(2));
    EXPECT_EQ(held->manifest().version, 1U);
}

TEST(ManifestKeeper, IsFreshOnlyWithinTheBoundOfItsLastProof)
{
    const auto keeper = ManifestKeeper::create();
    const TimePoint start(std::chrono::hours(1));
    EXPECT_FALSE(keeper->isFresh(start, milliseconds(5000)));
    keeper->confirm(start);
    EXPECT_TRUE(keeper->isFresh(start + milliseconds(5000), milliseconds(5000)));
    EXPECT_FALSE(keeper->isFresh(start + milliseconds(5001), milliseconds(5000)));
    keeper->confirm(start - milliseconds(100));
    EXPECT_EQ(*keeper->age(start), Duration(0)) << "a late proof of an earlier time takes nothing back";
}

// A store that was restored from a copy without the newest manifest would prove that keys taken away by it are valid.
TEST(ManifestKeeper, IsNotConfirmedWhileAnotherVmHasANewerOne)
{
    const auto keeper = ManifestKeeper::create();
    const TimePoint start(std::chrono::hours(1));
    keeper->offer(version(5));
    keeper->confirm(start);
    keeper->noteElsewhere(6);
    keeper->confirm(start + milliseconds(3000));
    EXPECT_EQ(*keeper->age(start + milliseconds(3000)), milliseconds(3000));
    keeper->offer(version(6));
    keeper->confirm(start + milliseconds(4000));
    EXPECT_EQ(*keeper->age(start + milliseconds(4000)), Duration(0));
    keeper->noteElsewhere(5);
    keeper->confirm(start + milliseconds(5000));
    EXPECT_EQ(*keeper->age(start + milliseconds(5000)), Duration(0)) << "a VM that is behind says nothing";
}

// Guards against keys that a manifest took away being proved valid by the one before it.
TEST(ManifestKeeper, IsNotConfirmedWhileTheNewestCanNotBeRead)
{
    const auto keeper = ManifestKeeper::create();
    const TimePoint start(std::chrono::hours(1));
    keeper->offer(version(5));
    keeper->confirm(start);
    keeper->noteUnreadable();
    keeper->confirm(start + milliseconds(3000));
    EXPECT_EQ(*keeper->age(start + milliseconds(3000)), milliseconds(3000));
    keeper->offer(version(7));
    keeper->confirm(start + milliseconds(4000));
    EXPECT_EQ(*keeper->age(start + milliseconds(4000)), Duration(0));
}

} // namespace

} // namespace cardamomlift::manifest
