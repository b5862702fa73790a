#include "contract/contractstore.h"

#include "text/digest.h"

#include <fmt/format.h>

namespace cardamomlift::contract {

namespace {

constexpr char HeadPartition[] = "contracts-head";
constexpr char CurrentPartition[] = "contracts";
constexpr char LogPartition[] = "contracts-log";
constexpr char HistoryPrefix[] = "contract-history#";
constexpr std::size_t MostCustomers = 10000;
constexpr int MostTries = 20;
constexpr Duration LongestPause = std::chrono::milliseconds(20); ///< Per try made before.

std::string sortKey(std::uint64_t number)
{
    return fmt::format("{:020}", number);
}

std::uint64_t numberOf(const std::string &text)
{
    return text.empty() ? 0 : std::stoull(text);
}

table::Item toItem(const ContractVersion &version, table::Key key)
{
    table::Item item;
    item.key = std::move(key);
    item.attributes["customer"] = version.customer;
    item.attributes["version"] = std::to_string(version.version);
    item.attributes["revision"] = std::to_string(version.revision);
    item.attributes["text"] = version.text;
    item.attributes["author"] = version.author;
    item.attributes["editId"] = version.editId;
    item.attributes["acceptedAtMs"] = std::to_string(version.acceptedAtMs);
    return item;
}

ContractVersion fromItem(const table::Item &item)
{
    ContractVersion version;
    version.customer = table::attribute(item, "customer");
    version.version = numberOf(table::attribute(item, "version"));
    version.revision = numberOf(table::attribute(item, "revision"));
    version.text = table::attribute(item, "text");
    version.author = table::attribute(item, "author");
    version.editId = table::attribute(item, "editId");
    version.acceptedAtMs = static_cast<std::int64_t>(numberOf(table::attribute(item, "acceptedAtMs")));
    return version;
}

table::Condition unchanged(const char *attribute, std::uint64_t value)
{
    if (value == 0) {
        return {table::ConditionKind::ItemAbsent, {}, {}};
    }
    return {table::ConditionKind::AttributeEquals, attribute, std::to_string(value)};
}

table::QueryHandler toVersions(VersionsHandler handler)
{
    return [handler = std::move(handler)](Result<std::vector<table::Item>> items) {
        if (!items) {
            handler(items.error());
            return;
        }
        std::vector<ContractVersion> versions;
        for (const table::Item &item : items.value()) {
            versions.push_back(fromItem(item));
        }
        handler(std::move(versions));
    };
}

} // namespace

/// One apply(), over its tries.
struct ContractStore::Attempt {
    Edit edit;
    EditValidator judge;
    EditHandler handler;
    int tries = 0;
    bool mayBeWritten = false; ///< An earlier try ended with an unknown outcome.

    void end(EditOutcome outcome, ContractVersion current, std::string message)
    {
        handler(EditResult{outcome, std::move(current), std::move(message), {}});
    }

    void endUnanswered(const std::string &error)
    {
        end(mayBeWritten ? EditOutcome::Unknown : EditOutcome::Unavailable, {}, error);
    }
};

std::shared_ptr<ContractStore> ContractStore::create(EventLoop &loop, std::shared_ptr<table::Table> table)
{
    std::shared_ptr<ContractStore> store(new ContractStore);
    store->loop_ = &loop;
    store->table_ = std::move(table);
    return store;
}

void ContractStore::apply(Edit edit, EditValidator judge, EditHandler handler)
{
    auto attempt = std::make_shared<Attempt>();
    attempt->edit = std::move(edit);
    attempt->judge = std::move(judge);
    attempt->handler = std::move(handler);
    tryOnce(attempt);
}

// The version after the one that the edit replaces tells all: it is this very edit (so a repeat after a lost answer is no
// conflict), another one, or not there yet.
void ContractStore::tryOnce(std::shared_ptr<Attempt> attempt)
{
    attempt->tries++;
    const Edit &edit = attempt->edit;
    getVersion({HistoryPrefix + edit.customer, sortKey(edit.baseVersion + 1)}, [this, attempt](Result<std::vector<ContractVersion>> next) {
        if (!next) {
            attempt->endUnanswered(next.error().message);
            return;
        }
        if (next.value().empty()) {
            judge(attempt);
            return;
        }
        const ContractVersion &version = next.value().front();
        if (version.editId == attempt->edit.editId) {
            attempt->end(EditOutcome::Accepted, version, "accepted");
            return;
        }
        attempt->end(EditOutcome::Conflict, version, fmt::format("version {} by {} came first", version.version, version.author));
    });
}

void ContractStore::judge(std::shared_ptr<Attempt> attempt)
{
    current(attempt->edit.customer, [this, attempt](Result<std::vector<ContractVersion>> found) {
        if (!found) {
            attempt->endUnanswered(found.error().message);
            return;
        }
        const ContractVersion *replaced = found.value().empty() ? nullptr : &found.value().front();
        const std::uint64_t version = replaced ? replaced->version : 0;
        if (version > attempt->edit.baseVersion) {
            tryAgain(attempt, "another edit came first");
            return;
        }
        if (version < attempt->edit.baseVersion) {
            attempt->end(EditOutcome::Conflict, replaced ? *replaced : ContractVersion{}, fmt::format("there is no version {}", attempt->edit.baseVersion));
            return;
        }
        Findings findings = attempt->judge(replaced);
        if (!findings.empty()) {
            attempt->handler(EditResult{EditOutcome::Rejected, {}, "rejected", std::move(findings)});
            return;
        }
        headRevision([this, attempt](Result<std::uint64_t> head) {
            if (!head) {
                attempt->endUnanswered(head.error().message);
                return;
            }
            write(attempt, head.value());
        });
    });
}

void ContractStore::write(std::shared_ptr<Attempt> attempt, std::uint64_t head)
{
    const Edit &edit = attempt->edit;
    ContractVersion version;
    version.customer = edit.customer;
    version.version = edit.baseVersion + 1;
    version.revision = head + 1;
    version.text = edit.text;
    version.author = edit.author;
    version.editId = edit.editId;
    version.acceptedAtMs = std::chrono::duration_cast<std::chrono::milliseconds>(loop_->clock().wallNow().time_since_epoch()).count();

    table::Item headItem{{HeadPartition, "head"}, {{"revision", std::to_string(head + 1)}}};
    const table::Condition absent{table::ConditionKind::ItemAbsent, {}, {}};
    std::vector<table::Write> writes;
    writes.push_back({table::WriteKind::Put, std::move(headItem), unchanged("revision", head)});
    writes.push_back({table::WriteKind::Put, toItem(version, {CurrentPartition, edit.customer}), unchanged("version", edit.baseVersion)});
    writes.push_back({table::WriteKind::Put, toItem(version, {HistoryPrefix + edit.customer, sortKey(version.version)}), absent});
    writes.push_back({table::WriteKind::Put, toItem(version, {LogPartition, sortKey(version.revision)}), absent});
    // NOTE No client token: a second try may carry another head revision, and a token must stand for one body.
    table_->transact(std::move(writes), {}, [this, attempt, version](table::WriteResult result) { onWritten(attempt, version, result); });
}

void ContractStore::onWritten(std::shared_ptr<Attempt> attempt, const ContractVersion &written, const table::WriteResult &result)
{
    if (result.outcome == table::WriteOutcome::Written) {
        attempt->end(EditOutcome::Accepted, written, "accepted");
        return;
    }
    attempt->mayBeWritten = attempt->mayBeWritten || result.outcome == table::WriteOutcome::Unknown;
    tryAgain(attempt, result.error);
}

// Edits of different customers race for the head revision; a pause that differs between them lets each through.
void ContractStore::tryAgain(std::shared_ptr<Attempt> attempt, const std::string &error)
{
    if (attempt->tries >= MostTries) {
        attempt->endUnanswered(error);
        return;
    }
    const auto longest = static_cast<std::uint64_t>(LongestPause.count()) * static_cast<std::uint64_t>(attempt->tries);
    const std::uint64_t pause = text::stableHash(attempt->edit.editId, static_cast<std::uint64_t>(attempt->tries)) % longest;
    loop_->after(Duration(static_cast<std::int64_t>(pause)), [this, attempt] { tryOnce(attempt); });
}

void ContractStore::getVersion(table::Key key, VersionsHandler handler)
{
    table_->get(std::move(key), [handler = std::move(handler)](Result<std::optional<table::Item>> item) {
        if (!item) {
            handler(item.error());
            return;
        }
        std::vector<ContractVersion> versions;
        if (item.value()) {
            versions.push_back(fromItem(*item.value()));
        }
        handler(std::move(versions));
    });
}

void ContractStore::current(std::string customer, VersionsHandler handler)
{
    getVersion({CurrentPartition, std::move(customer)}, std::move(handler));
}

void ContractStore::headRevision(RevisionHandler handler)
{
    table_->get({HeadPartition, "head"}, [handler = std::move(handler)](Result<std::optional<table::Item>> item) {
        if (!item) {
            handler(item.error());
            return;
        }
        handler(item.value() ? numberOf(table::attribute(*item.value(), "revision")) : std::uint64_t{0});
    });
}

void ContractStore::readAll(VersionsHandler handler)
{
    table_->query(CurrentPartition, {}, MostCustomers, toVersions(std::move(handler)));
}

void ContractStore::history(std::string customer, std::uint64_t after, VersionsHandler handler)
{
    table_->query(HistoryPrefix + customer, sortKey(after), PageLimit, toVersions(std::move(handler)));
}

void ContractStore::changesAfter(std::uint64_t revision, VersionsHandler handler)
{
    table_->query(LogPartition, sortKey(revision), PageLimit, toVersions(std::move(handler)));
}

} // namespace cardamomlift::contract
