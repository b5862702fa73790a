#include "relay/relaypool.h"

#include "http1/tests/looptest.h"
#include "relay/relayrules.h"

#include <gtest/gtest.h>

#include <map>

namespace cardamomlift::relay {

namespace {

using std::chrono::milliseconds;

RelayCandidate candidate(const std::string &instance, const std::string &zone, double open = 0)
{
    return {{instance, zone, {"127.0.0.1", 9}}, open, 0, milliseconds(100)};
}

TEST(RelayRules, PrefersTheSameFailureDomainWhileItIsNotMuchBusier)
{
    const std::vector<RelayCandidate> near{candidate("a", "here", 1), candidate("b", "there", 0)};
    EXPECT_EQ(chooseRelay(near, "here", 0), 0U);
    const std::vector<RelayCandidate> busy{candidate("a", "here", 5), candidate("b", "there", 0)};
    EXPECT_EQ(chooseRelay(busy, "here", 0), 1U);
    EXPECT_EQ(chooseRelay({}, "here", 0), std::nullopt);
}

TEST(RelayRules, AVmThatHasNotHeardFromServersComesLast)
{
    std::vector<RelayCandidate> candidates{candidate("a", "here"), candidate("b", "there", 20)};
    candidates[0].sinceServerContact = std::nullopt;
    EXPECT_EQ(chooseRelay(candidates, "here", 0), 1U);
    candidates[0].sinceServerContact = std::chrono::seconds(10);
    EXPECT_EQ(chooseRelay(candidates, "here", 0), 1U);
}

TEST(RelayRules, EqualVmsGetEqualShares)
{
    std::vector<RelayCandidate> candidates;
    for (const char *name : {"a", "b", "c", "d"}) {
        candidates.push_back(candidate(name, "here"));
    }
    std::map<std::size_t, int> chosen;
    constexpr int Requests = 4000;
    for (std::uint64_t salt = 0; salt < Requests; salt++) {
        chosen[*chooseRelay(candidates, "here", salt * 0x9E3779B97F4A7C15ULL)]++;
    }
    for (std::size_t i = 0; i < candidates.size(); i++) {
        EXPECT_NEAR(chosen[i], Requests / 4, Requests / 20) << i;
    }
}

class RelayPoolTest : public http1::LoopTest
{
protected:
    RelayPoolTest()
    {
        clock_.pause();
        pool_ = RelayPool::create(*loop_, "here", [this](std::uint64_t version) {
            askedVersion_ = version;
            return candidates_;
        });
    }

    std::string choose(const std::set<std::string> &except = {})
    {
        const auto peer = pool_->choose(7, except, 0, {});
        return peer ? peer->instance : std::string();
    }

    std::vector<RelayCandidate> candidates_{candidate("a", "here"), candidate("b", "there")};
    std::uint64_t askedVersion_ = 0;
    std::shared_ptr<RelayPool> pool_;
};

TEST_F(RelayPoolTest, PassesOnTheManifestVersionThatIsNeeded)
{
    EXPECT_EQ(choose(), "a");
    EXPECT_EQ(askedVersion_, 7U);
}

TEST_F(RelayPoolTest, AVmThatFailedIsLeftAloneForATime)
{
    pool_->noteFailed("a");
    EXPECT_EQ(choose(), "b");
    EXPECT_EQ(choose({"b"}), "");
    clock_.advance(std::chrono::seconds(1));
    pool_->tick();
    EXPECT_EQ(choose(), "a");
}

TEST_F(RelayPoolTest, OwnRequestsCountBeforeTheNextStatusTellsThem)
{
    constexpr int Relays = 3;
    std::vector<std::shared_ptr<http1::BackendChannel>> channels;
    channels.reserve(Relays);
    for (int i = 0; i < Relays; i++) {
        channels.push_back(pool_->acquire(candidates_[0].peer));
    }
    EXPECT_EQ(pool_->openRelays(), Relays);
    EXPECT_EQ(choose(), "b");
    for (auto &channel : channels) {
        pool_->release("a", std::move(channel), false);
    }
    EXPECT_EQ(pool_->openRelays(), 0);
    EXPECT_EQ(choose(), "a");
}

// Guards against requests that go from one VM without room to the next.
TEST_F(RelayPoolTest, AVmWithoutRoomGetsNoRequestThatNeedsIt)
{
    const auto chooseForRoom = [this] {
        const auto peer = pool_->choose(7, {}, 0, {.serverRoom = true});
        return peer ? peer->instance : std::string();
    };
    EXPECT_EQ(chooseForRoom(), "a");
    candidates_[0].lacksRoom = true;
    EXPECT_EQ(chooseForRoom(), "b");
    EXPECT_EQ(choose(), "a") << "it reaches servers";
    pool_->noteLacksRoom("b");
    EXPECT_EQ(chooseForRoom(), "");
    clock_.advance(milliseconds(250));
    EXPECT_EQ(chooseForRoom(), "b");
}

// VMs of a fifth of the speed beside others: their loops run late with few open requests.
TEST(RelayRules, AVmWhoseLoopRunsLateCountsAsBusier)
{
    std::vector<RelayCandidate> candidates{candidate("a", "here", 2), candidate("b", "here", 4)};
    EXPECT_EQ(chooseRelay(candidates, "here", 0), 0U);
    candidates[0].loopLag = milliseconds(100);
    candidates[1].loopLag = milliseconds(2);
    EXPECT_EQ(chooseRelay(candidates, "here", 0), 1U);
    candidates[0].loopLag = std::chrono::hours(1);
    candidates[1].openRequests = 1000;
    EXPECT_EQ(chooseRelay(candidates, "here", 0), 0U) << "a lag that can't be true is bounded";
}

// A VM that can't keep up asks only those that can.
TEST_F(RelayPoolTest, AVmWithoutHeadroomGetsNoRequestThatNeedsIt)
{
    const auto chooseHeadroom = [this] {
        const auto peer = pool_->choose(7, {}, 0, {.maxLag = milliseconds(20)});
        return peer ? peer->instance : std::string();
    };
    EXPECT_EQ(chooseHeadroom(), "") << "their lags are not known";
    candidates_[0].loopLag = milliseconds(50);
    candidates_[1].loopLag = milliseconds(10);
    EXPECT_EQ(chooseHeadroom(), "b");
    candidates_[1].loopLag = milliseconds(21);
    EXPECT_EQ(chooseHeadroom(), "");
    EXPECT_NE(choose(), "") << "it reaches servers";
}

} // namespace

} // namespace cardamomlift::relay
