#include "contract/contractstore.h"

#include <fmt/format.h>

namespace cardamomlift::contract {

namespace {

constexpr char HeadPartition[] = "contracts-head";
constexpr char CurrentPartition[] = "contracts";
constexpr char LogPartition[] = "contracts-log";
constexpr char HistoryPrefix[] = "contract-history#";
constexpr std::size_t PageLimit = 100;
constexpr std::size_t MostCustomers = 10000;
constexpr int MostTries = 8;

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
    EditHandler handler;
    int tries = 0;
    bool mayBeWritten = false; ///< An earlier try ended with an unknown outcome.

    void end(EditOutcome outcome, ContractVersion current, std::string message)
    {
        handler(EditResult{outcome, std::move(current), std::move(message)});
    }
};

std::shared_ptr<ContractStore> ContractStore::create(EventLoop &loop, std::shared_ptr<table::Table> table)
{
    std::shared_ptr<ContractStore> store(new ContractStore);
    store->loop_ = &loop;
    store->table_ = std::move(table);
    return store;
}

void ContractStore::apply(Edit edit, EditHandler handler)
{
    auto attempt = std::make_shared<Attempt>();
    attempt->edit = std::move(edit);
    attempt->handler = std::move(handler);
    tryOnce(attempt);
}

// Looks first whether this very edit is in the table already, so that a repeat after a lost answer is no conflict.
void ContractStore::tryOnce(std::shared_ptr<Attempt> attempt)
{
    attempt->tries++;
    history(attempt->edit.customer, [this, attempt](Result<std::vector<ContractVersion>> versions) {
        if (!versions) {
            const EditOutcome outcome = attempt->mayBeWritten ? EditOutcome::Unknown : EditOutcome::Unavailable;
            attempt->end(outcome, {}, versions.error().message);
            return;
        }
        for (const ContractVersion &version : versions.value()) {
            if (version.editId == attempt->edit.editId) {
                attempt->end(EditOutcome::Accepted, version, "accepted");
                return;
            }
        }
        const ContractVersion newest = versions.value().empty() ? ContractVersion{} : versions.value().back();
        if (newest.version != attempt->edit.baseVersion) {
            attempt->end(EditOutcome::Conflict, newest, fmt::format("version {} by {} came first", newest.version, newest.author));
            return;
        }
        headRevision([this, attempt](Result<std::uint64_t> head) {
            if (!head) {
                const EditOutcome outcome = attempt->mayBeWritten ? EditOutcome::Unknown : EditOutcome::Unavailable;
                attempt->end(outcome, {}, head.error().message);
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
    if (attempt->tries < MostTries) {
        tryOnce(attempt);
        return;
    }
    attempt->end(attempt->mayBeWritten ? EditOutcome::Unknown : EditOutcome::Unavailable, {}, result.error);
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

void ContractStore::history(std::string customer, VersionsHandler handler)
{
    table_->query(HistoryPrefix + customer, {}, MostCustomers, toVersions(std::move(handler)));
}

void ContractStore::changesAfter(std::uint64_t revision, VersionsHandler handler)
{
    table_->query(LogPartition, sortKey(revision), PageLimit, toVersions(std::move(handler)));
}

} // namespace cardamomlift::contract
