#include "claims/claimdecision.h"
#include "claims/claimrow.h"

#include <gtest/gtest.h>

using namespace cardamomlift;
using namespace cardamomlift::claims;

namespace {

ClaimRow foreignRow(RowState state)
{
    ClaimRow row;
    row.state = state;
    row.nonce = "other";
    row.bodyHash = "hash";
    return row;
}

AttemptView ownView()
{
    AttemptView view;
    view.nonce = "own";
    view.bodyHash = "hash";
    return view;
}

} // namespace

TEST(ClaimDecision, OnlyAConfirmedWriteOrTheOwnNoncePermitsDispatch)
{
    const AttemptView view = ownView();
    EXPECT_EQ(afterClaimWrite(table::WriteOutcome::Written, view).outcome, BeginOutcome::Run);
    EXPECT_EQ(afterClaimWrite(table::WriteOutcome::Unknown, view).step, Step::Read);
    EXPECT_EQ(afterClaimWrite(table::WriteOutcome::NotWritten, view).step, Step::WriteClaim);
    EXPECT_EQ(afterClaimWrite(table::WriteOutcome::ConditionFailed, view).step, Step::Read);
    EXPECT_EQ(afterRead(std::nullopt, view).step, Step::WriteClaim);
    ClaimRow own = foreignRow(RowState::Claimed);
    own.nonce = view.nonce;
    EXPECT_EQ(afterRead(own, view).outcome, BeginOutcome::Run);
}

TEST(ClaimDecision, NoDispatchAfterTheDeadline)
{
    AttemptView view = ownView();
    view.beforeDeadline = false;
    EXPECT_EQ(afterClaimWrite(table::WriteOutcome::Written, view).outcome, BeginOutcome::NotRun);
    EXPECT_EQ(afterRead(std::nullopt, view).outcome, BeginOutcome::NotRun);
    view.otherClaimSeen = true;
    EXPECT_EQ(afterFailedRead(view).outcome, BeginOutcome::OutcomeUnknown);
}

TEST(ClaimDecision, ForeignClaimIsReplacedOnlyWhenItsHolderReleasedIt)
{
    AttemptView view = ownView();
    EXPECT_EQ(afterRead(foreignRow(RowState::Claimed), view).step, Step::AskHolder);
    view.unresponsiveNonce = "other";
    EXPECT_EQ(afterRead(foreignRow(RowState::Claimed), view).outcome, BeginOutcome::OutcomeUnknown);
    view.unresponsiveNonce.clear();
    view.releasedNonce = "other";
    EXPECT_EQ(afterRead(foreignRow(RowState::Claimed), view).step, Step::ReplaceClaim);
    EXPECT_EQ(afterRead(foreignRow(RowState::Answered), view).outcome, BeginOutcome::Replay);
    EXPECT_EQ(afterRead(foreignRow(RowState::Unknown), view).outcome, BeginOutcome::OutcomeUnknown);
    view.bodyHash = "another";
    EXPECT_EQ(afterRead(foreignRow(RowState::Answered), view).outcome, BeginOutcome::KeyReused);
}

TEST(ClaimDecision, LeaseCountsOnBothClocks)
{
    Claim claim;
    const Duration lease = std::chrono::seconds(3);
    const TimePoint now = claim.leaseStart;
    const WallTime wall = claim.leaseStartWall;
    EXPECT_TRUE(mayDispatch(claim, now, wall, lease));
    EXPECT_FALSE(mayDispatch(claim, now + lease, wall, lease));
    EXPECT_FALSE(mayDispatch(claim, now, wall + lease, lease));
}

TEST(ClaimDecision, OutcomeOfEachEndOfADispatch)
{
    EXPECT_EQ(afterDispatch(http::Transport::NotSent, false), Outcome::NotRun);
    EXPECT_EQ(afterDispatch(http::Transport::Completed, false), Outcome::Answered);
    EXPECT_EQ(afterDispatch(http::Transport::Completed, true), Outcome::NotRun);
    EXPECT_EQ(afterDispatch(http::Transport::Broken, false), Outcome::Unknown);
    EXPECT_EQ(afterDispatch(http::Transport::Broken, true), Outcome::Unknown);
    EXPECT_EQ(afterDispatch(http::Transport::Cancelled, false), Outcome::Unknown);
}

TEST(ClaimRow, StoresArbitraryBytesOfAResponse)
{
    std::string bytes;
    for (int i = 0; i < 256; i++) {
        bytes.push_back(static_cast<char>(i));
    }
    for (std::size_t size : {0U, 1U, 2U, 3U, 256U}) {
        Claim claim;
        claim.request = {"shop", "key", "hash"};
        claim.expiresAt = 123;
        const StoredResponse response{201, "text/plain", bytes.substr(256 - size)};
        const table::Item item = finishedItem(claim, {"entry-1", "boot"}, Outcome::Answered, response);
        EXPECT_EQ(table::attribute(item, "expiresAt"), "123");
        EXPECT_EQ(parseRow(item).response.body, response.body);
        EXPECT_EQ(parseRow(item).response.contentType, "text/plain");
    }
}
