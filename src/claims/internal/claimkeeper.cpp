#include "claims/claimkeeper.h"

#include "text/digest.h"

namespace cardamomlift::claims {

namespace {

constexpr char KeyPrefix[] = "claim#";
constexpr char SortKey[] = "claim";
constexpr char StateClaimed[] = "claimed";
constexpr char StateAnswered[] = "answered";
constexpr std::size_t NonceBytes = 12;

table::Key keyOf(const ClaimRequest &request)
{
    return {KeyPrefix + request.customer + "#" + request.key, SortKey};
}

table::Item itemOf(const Claim &claim, const std::string &holder, const char *state)
{
    table::Item item;
    item.key = keyOf(claim.request);
    item.attributes["state"] = state;
    item.attributes["holder"] = holder;
    item.attributes["nonce"] = claim.nonce;
    item.attributes["bodyHash"] = claim.request.bodyHash;
    return item;
}

KeptAnswer answerOf(const table::Item &item)
{
    return {std::stoi(table::attribute(item, "status")), table::attribute(item, "contentType"), table::attribute(item, "body")};
}

} // namespace

std::shared_ptr<ClaimKeeper> ClaimKeeper::create(EventLoop &loop, std::shared_ptr<table::Table> table, std::string instance)
{
    std::shared_ptr<ClaimKeeper> keeper(new ClaimKeeper);
    keeper->loop_ = &loop;
    keeper->table_ = std::move(table);
    keeper->instance_ = std::move(instance);
    return keeper;
}

void ClaimKeeper::begin(ClaimRequest request, BeginHandler handler)
{
    Claim claim{std::move(request), text::randomHex(NonceBytes)};
    table::Write write{table::WriteKind::Put, itemOf(claim, instance_, StateClaimed), {table::ConditionKind::ItemAbsent, {}, {}}};
    table_->write(std::move(write), [this, claim, handler = std::move(handler)](table::WriteResult result) {
        switch (result.outcome) {
        case table::WriteOutcome::Written:
            handler({BeginOutcome::Run, claim, {}});
            return;
        case table::WriteOutcome::NotWritten:
            handler({BeginOutcome::NotRun, claim, {}});
            return;
        case table::WriteOutcome::ConditionFailed:
            readExisting(claim, false, handler);
            return;
        case table::WriteOutcome::Unknown:
            readExisting(claim, true, handler);
            return;
        }
    });
}

void ClaimKeeper::readExisting(Claim claim, bool, BeginHandler handler)
{
    table_->get(keyOf(claim.request), [claim, handler = std::move(handler)](Result<std::optional<table::Item>> item) {
        if (!item || !item.value()) {
            handler({BeginOutcome::NotRun, claim, {}});
            return;
        }
        const table::Item &existing = *item.value();
        if (table::attribute(existing, "nonce") == claim.nonce) {
            handler({BeginOutcome::Run, claim, {}});
            return;
        }
        if (table::attribute(existing, "bodyHash") != claim.request.bodyHash) {
            handler({BeginOutcome::KeyReused, claim, {}});
            return;
        }
        if (table::attribute(existing, "state") == StateAnswered) {
            handler({BeginOutcome::Replay, claim, answerOf(existing)});
            return;
        }
        handler({BeginOutcome::StillRunning, claim, {}});
    });
}

void ClaimKeeper::finish(const Claim &claim, Outcome outcome, const KeptAnswer &answer, std::function<void()> done)
{
    table::Write write;
    write.condition = {table::ConditionKind::AttributeEquals, "nonce", claim.nonce};
    write.item = itemOf(claim, instance_, StateAnswered);
    if (outcome == Outcome::Unknown) {
        done();
        return;
    }
    if (outcome == Outcome::NotRun) {
        write.kind = table::WriteKind::Delete;
    }
    write.item.attributes["status"] = std::to_string(answer.status);
    write.item.attributes["contentType"] = answer.contentType;
    write.item.attributes["body"] = answer.body;
    table_->write(std::move(write), [done = std::move(done)](const table::WriteResult &) { done(); });
}

} // namespace cardamomlift::claims
