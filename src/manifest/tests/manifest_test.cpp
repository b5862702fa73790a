#include "manifest/manifestcache.h"

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

TEST(ManifestIndex, PrefersTheLongestPrefixOfTheHost)
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

TEST(ManifestIndex, FindsTheCustomerOfAKey)
{
    Manifest manifest;
    manifest.customers.resize(2);
    manifest.customers[0].name = "first";
    manifest.customers[0].keys = {"k1", "k2"};
    manifest.customers[1].name = "second";
    manifest.customers[1].keys = {"k3"};
    const auto index = ManifestIndex::create(std::move(manifest));
    EXPECT_EQ(index->customerByKey("k2")->name, "first");
    EXPECT_EQ(index->customerByKey("k3")->name, "second");
    EXPECT_EQ(index->customerByKey("k"), nullptr);
}

Manifest twoRoutes(int firstPriority, int secondPriority)
{
    Manifest manifest;
    manifest.routes = {route("first", "a", "/x/"), route("second", "a", "/y/")};
    manifest.routes[0].priority = firstPriority;
    manifest.routes[1].priority = secondPriority;
    manifest.services.resize(2);
    manifest.services[0].name = "service";
    manifest.services[1].name = "unused";
    return manifest;
}

TEST(ManifestIndex, KnowsWhereRequestsDifferInPriority)
{
    EXPECT_FALSE(ManifestIndex::create(twoRoutes(1, 1))->hasPriorities("service"));
    EXPECT_TRUE(ManifestIndex::create(twoRoutes(0, 2))->hasPriorities("service"));
    EXPECT_FALSE(ManifestIndex::create(twoRoutes(0, 2))->hasPriorities("unused"));
    Manifest manifest = twoRoutes(1, 1);
    manifest.customers.resize(1);
    manifest.customers[0].priority = 0;
    EXPECT_TRUE(ManifestIndex::create(std::move(manifest))->hasPriorities("service")) << "a customer's priority goes before its routes'";
}

TEST(ManifestCache, NeverGoesBackToAnOlderVersion)
{
    const auto cache = ManifestCache::create();
    EXPECT_EQ(cache->current(), nullptr);
    EXPECT_EQ(cache->update(version(5)), UpdateOutcome::Activated);
    EXPECT_EQ(cache->update(version(4)), UpdateOutcome::Outdated);
    EXPECT_EQ(cache->update(version(5)), UpdateOutcome::AlreadyActive);
    EXPECT_EQ(cache->current()->manifest().version, 5U);
    EXPECT_EQ(cache->update(version(9)), UpdateOutcome::Activated);
}

TEST(ManifestCache, ARequestKeepsTheVersionItBeganWith)
{
    const auto cache = ManifestCache::create();
    cache->update(version(1));
    const ManifestPtr held = cache->current();
    cache->update(version(2));
    EXPECT_EQ(held->manifest().version, 1U);
}

TEST(ManifestCache, IsFreshOnlyWithinTheBoundOfItsLastConfirmation)
{
    const auto cache = ManifestCache::create();
    const TimePoint start(std::chrono::hours(1));
    EXPECT_FALSE(cache->isFresh(start, milliseconds(5000)));
    cache->confirm(start);
    EXPECT_TRUE(cache->isFresh(start + milliseconds(5000), milliseconds(5000)));
    EXPECT_FALSE(cache->isFresh(start + milliseconds(5001), milliseconds(5000)));
    cache->confirm(start - milliseconds(100));
    EXPECT_EQ(*cache->age(start), Duration(0)) << "a late confirmation of an earlier time changes nothing";
}

// Guards against a store that was restored from a copy without the latest manifest: it would confirm the one before as the
// latest, and with it keys that the latest one revoked.
TEST(ManifestCache, IsNotConfirmedWhileAnotherVmHasANewerOne)
{
    const auto cache = ManifestCache::create();
    const TimePoint start(std::chrono::hours(1));
    cache->update(version(5));
    cache->confirm(start);
    cache->notePeerVersion(6);
    cache->confirm(start + milliseconds(3000));
    EXPECT_EQ(*cache->age(start + milliseconds(3000)), milliseconds(3000));
    cache->update(version(6));
    cache->confirm(start + milliseconds(4000));
    EXPECT_EQ(*cache->age(start + milliseconds(4000)), Duration(0));
    cache->notePeerVersion(5);
    cache->confirm(start + milliseconds(5000));
    EXPECT_EQ(*cache->age(start + milliseconds(5000)), Duration(0)) << "a VM with an older version does not prevent it";
}

// Guards against keys being accepted by an old manifest that a newer but unreadable one may have revoked.
TEST(ManifestCache, IsNotConfirmedWhileTheNewestCanNotBeRead)
{
    const auto cache = ManifestCache::create();
    const TimePoint start(std::chrono::hours(1));
    cache->update(version(5));
    cache->confirm(start);
    cache->noteUnreadable();
    cache->confirm(start + milliseconds(3000));
    EXPECT_EQ(*cache->age(start + milliseconds(3000)), milliseconds(3000));
    cache->update(version(7));
    cache->confirm(start + milliseconds(4000));
    EXPECT_EQ(*cache->age(start + milliseconds(4000)), Duration(0));
}

} // namespace

} // namespace cardamomlift::manifest
