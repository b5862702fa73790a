#include "prefixindex/prefixindex.h"
#include "prefixindex/prefixrules.h"

#include <gtest/gtest.h>

namespace cardamomlift::prefixindex {

namespace {

using forwarding::PromptPart;

const std::vector<PromptPart> Prompt{{"shared", 2500}, {"dossier", 3800}, {"own", 2900}};

TEST(PrefixRules, TheLastPartIsNotShared)
{
    const auto prefixes = prefixesOf(Prompt);
    ASSERT_EQ(prefixes.size(), 2U);
    EXPECT_EQ(prefixes[0].tokens, 2500);
    EXPECT_EQ(prefixes[1].tokens, 6300);
    EXPECT_TRUE(prefixesOf(std::vector<PromptPart>{{"own", 100}}).empty());
    EXPECT_TRUE(prefixesOf({}).empty());
}

TEST(PrefixRules, APartMatchesOnlyAfterTheSameParts)
{
    const auto one = prefixesOf(Prompt);
    const auto other = prefixesOf(std::vector<PromptPart>{{"else", 2500}, {"dossier", 3800}, {"own", 2900}});
    EXPECT_NE(one[0].hash, other[0].hash);
    EXPECT_NE(one[1].hash, other[1].hash) << "a cache can reuse it only after the same parts";
}

class PrefixIndexTest : public testing::Test
{
protected:
    PrefixIndexTest()
        : prefixes_(prefixesOf(Prompt))
        , loop_(std::move(EventLoop::create(clock_).value()))
        , index_(PrefixIndex::create(*loop_))
    {
    }

    std::int64_t cachedTokens(std::string_view instance) const
    {
        return matchedTokens(index_->matches(prefixes_), presence::nameHash(instance));
    }

    std::vector<Prefix> prefixes_;
    ManualClock clock_;
    std::unique_ptr<EventLoop> loop_;
    std::shared_ptr<PrefixIndex> index_;
};

TEST_F(PrefixIndexTest, KnowsTheLongestPrefixOfEachServer)
{
    index_->noteSent(std::span(prefixes_).first(1), "a");
    index_->noteSent(prefixes_, "b");
    EXPECT_EQ(cachedTokens("a"), 2500);
    EXPECT_EQ(cachedTokens("b"), 6300);
    EXPECT_EQ(cachedTokens("c"), 0);
}

// The choice of a server finds matches by binary search over the hashes.
TEST_F(PrefixIndexTest, ListsEachServerOnceSortedByHash)
{
    for (const char *instance : {"c", "a", "d", "b"}) {
        index_->noteSent(prefixes_, instance);
    }
    const auto matches = index_->matches(prefixes_);
    ASSERT_EQ(matches.size(), 4U);
    for (std::size_t i = 1; i < matches.size(); i++) {
        EXPECT_LT(matches[i - 1].server, matches[i].server);
    }
    EXPECT_TRUE(index_->matches({}).empty());
    EXPECT_EQ(matchedTokens({}, 7), 0);
}

TEST_F(PrefixIndexTest, LearnsFromOtherVms)
{
    const auto other = PrefixIndex::create(*loop_);
    other->noteSent(prefixes_, "a");
    index_->applyPeerUses(other->usesToShare());
    EXPECT_EQ(cachedTokens("a"), 6300);
    EXPECT_TRUE(index_->usesToShare().empty()) << "uses received from a peer are not sent on";
}

// The load: prompts that share a part are sent to the same server many times a second, by all VMs.
TEST_F(PrefixIndexTest, TellsAHotPrefixAgainOnlyBeforeOthersForgetIt)
{
    const auto other = PrefixIndex::create(*loop_);
    std::size_t told = 0;
    for (int second = 0; second < 32; second++) {
        index_->noteSent(prefixes_, "a");
        told += index_->usesToShare().empty() ? 0 : 1;
        other->applyPeerUses(index_->usesToShare());
        clock_.advance(std::chrono::seconds(1));
        other->tick();
        EXPECT_GT(other->size(), 0U) << second;
    }
    EXPECT_EQ(told, 8U) << "four times, each for two statuses of this test";
    other->noteSent(prefixes_, "a");
    EXPECT_TRUE(other->usesToShare().empty()) << "the first VM has told it";
}

TEST_F(PrefixIndexTest, ForgetsUnusedPrefixes)
{
    index_->noteSent(prefixes_, "a");
    clock_.advance(std::chrono::seconds(29));
    index_->tick();
    EXPECT_EQ(cachedTokens("a"), 6300);
    EXPECT_TRUE(index_->usesToShare().empty()) << "too old to repeat";
    clock_.advance(std::chrono::seconds(2));
    index_->tick();
    EXPECT_EQ(index_->size(), 0U);
}

// Guards against unbounded memory and datagrams when a caller sends a new prompt with each request.
TEST_F(PrefixIndexTest, StaysBoundedWhenPromptsNeverRepeat)
{
    for (int i = 0; i < 30'000; i++) {
        const auto prefixes = prefixesOf(std::vector<PromptPart>{{std::to_string(i), 10}, {"own", 1}});
        index_->noteSent(prefixes, "a");
    }
    EXPECT_LE(index_->size(), 20'000U);
    EXPECT_LE(index_->usesToShare().size(), 32U);
    for (int i = 0; i < 100; i++) {
        index_->noteSent(prefixes_, "server-" + std::to_string(i));
    }
    EXPECT_LE(index_->usesToShare().size(), 32U);
}

} // namespace

} // namespace cardamomlift::prefixindex
