#include "contract/contractstore.h"

#include "http1/http1types.h"
#include "text/digest.h"

#include <fmt/format.h>

namespace cardamomlift::contract {

namespace {

constexpr char HeadPartition[] = "contracts-head";
constexpr char CurrentPartition[] = "contracts";
constexpr char LogPartition[] = "contracts-log";
constexpr char HistoryPrefix[] = "contract-history#";
constexpr std::size_t MaxCustomers = 10000;
constexpr int MaxAttempts = 20;
constexpr Duration MaxBackoffPerAttempt = std::chrono::milliseconds(20); ///< Per attempt made so far.

std::string sortKey(std::uint64_t number)
{
    return fmt::format("{:020}", number);
}

/// 0 if @p text is no whole number.
std::uint64_t parseNumber(const std::string &text)
{
    return static_cast<std::uint64_t>(http1::parseNumber(text).value_or(0));
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
    version.version = parseNumber(table::attribute(item, "version"));
    version.revision = parseNumber(table::attribute(item, "revision"));
    version.text = table::attribute(item, "text");
    version.author = table::attribute(item, "author");
    version.editId = table::attribute(item, "editId");
    version.acceptedAtMs = static_cast<std::int64_t>(parseNumber(table::attribute(item, "acceptedAtMs")));
    return version;
}

/// Holds if @p attribute equals @p value; for 0, if the item does not exist.
table::Condition hasValue(const char *attribute, std::uint64_t value)
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

/// One call of apply(), over all its attempts.
struct ContractStore::PendingEdit {
    Edit edit;
    EditValidator validator;
    EditHandler handler;
    int attempts = 0;
    bool mayHaveBeenWritten = false; ///< An earlier attempt had an unknown outcome.

    void finish(EditOutcome outcome, ContractVersion current, std::string message)
    {
        handler(EditResult{outcome, std::move(current), std::move(message), {}});
    }

    void finishWithoutAnswer(const std::string &error)
    {
        finish(mayHaveBeenWritten ? EditOutcome::Unknown : EditOutcome::Unavailable, {}, error);
    }
};

std::shared_ptr<ContractStore> ContractStore::create(EventLoop &loop, std::shared_ptr<table::Table> table)
{
    std::shared_ptr<ContractStore> store(new ContractStore);
    store->loop_ = &loop;
    store->table_ = std::move(table);
    return store;
}

void ContractStore::apply(Edit edit, EditValidator validator, EditHandler handler)
{
    auto pending = std::make_shared<PendingEdit>();
    pending->edit = std::move(edit);
    pending->validator = std::move(validator);
    pending->handler = std::move(handler);
    startAttempt(pending);
}

// Reads the version after the one that the edit replaces. It is this edit (so a repeat after a lost answer is no conflict),
// a conflicting edit, or not written yet.
void ContractStore::startAttempt(std::shared_ptr<PendingEdit> pending)
{
    pending->attempts++;
    const Edit &edit = pending->edit;
    getVersion({HistoryPrefix + edit.customer, sortKey(edit.baseVersion + 1)}, [this, pending](Result<std::vector<ContractVersion>> next) {
        if (!next) {
            pending->finishWithoutAnswer(next.error().message);
            return;
        }
        if (next.value().empty()) {
            validate(pending);
            return;
        }
        const ContractVersion &version = next.value().front();
        if (version.editId == pending->edit.editId) {
            pending->finish(EditOutcome::Accepted, version, "accepted");
            return;
        }
        pending->finish(EditOutcome::Conflict, version, fmt::format("version {} by {} came first", version.version, version.author));
    });
}

void ContractStore::validate(std::shared_ptr<PendingEdit> pending)
{
    current(pending->edit.customer, [this, pending](Result<std::vector<ContractVersion>> found) {
        if (!found) {
            pending->finishWithoutAnswer(found.error().message);
            return;
        }
        const ContractVersion *replaced = found.value().empty() ? nullptr : &found.value().front();
        const std::uint64_t version = replaced ? replaced->version : 0;
        if (version > pending->edit.baseVersion) {
            scheduleRetry(pending, "another edit came first");
            return;
        }
        if (version < pending->edit.baseVersion) {
            pending->finish(EditOutcome::Conflict, replaced ? *replaced : ContractVersion{}, fmt::format("there is no version {}", pending->edit.baseVersion));
            return;
        }
        Findings findings = pending->validator(replaced);
        if (!findings.empty()) {
            pending->handler(EditResult{EditOutcome::Rejected, {}, "rejected", std::move(findings)});
            return;
        }
        headRevision([this, pending](Result<std::uint64_t> head) {
            if (!head) {
                pending->finishWithoutAnswer(head.error().message);
                return;
            }
            write(pending, head.value());
        });
    });
}

void ContractStore::write(std::shared_ptr<PendingEdit> pending, std::uint64_t head)
{
    const Edit &edit = pending->edit;
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
    writes.push_back({table::WriteKind::Put, std::move(headItem), hasValue("revision", head)});
    writes.push_back({table::WriteKind::Put, toItem(version, {CurrentPartition, edit.customer}), hasValue("version", edit.baseVersion)});
    writes.push_back({table::WriteKind::Put, toItem(version, {HistoryPrefix + edit.customer, sortKey(version.version)}), absent});
    writes.push_back({table::WriteKind::Put, toItem(version, {LogPartition, sortKey(version.revision)}), absent});
    // NOTE No client token: a later attempt may have another head revision, and a token may only be used with one body.
    table_->transact(std::move(writes), {}, [this, pending, version](table::WriteResult result) { onWritten(pending, version, result); });
}

void ContractStore::onWritten(std::shared_ptr<PendingEdit> pending, const ContractVersion &written, const table::WriteResult &result)
{
    if (result.outcome == table::WriteOutcome::Written) {
        pending->finish(EditOutcome::Accepted, written, "accepted");
        return;
    }
    pending->mayHaveBeenWritten = pending->mayHaveBeenWritten || result.outcome == table::WriteOutcome::Unknown;
    scheduleRetry(pending, result.error);
}

// Edits of different customers compete for the head revision; a backoff that depends on the edit id lets each succeed.
void ContractStore::scheduleRetry(std::shared_ptr<PendingEdit> pending, const std::string &error)
{
    if (pending->attempts >= MaxAttempts) {
        pending->finishWithoutAnswer(error);
        return;
    }
    const auto maxBackoff = static_cast<std::uint64_t>(MaxBackoffPerAttempt.count()) * static_cast<std::uint64_t>(pending->attempts);
    const std::uint64_t backoff = text::stableHash(pending->edit.editId, static_cast<std::uint64_t>(pending->attempts)) % maxBackoff;
    loop_->after(Duration(static_cast<std::int64_t>(backoff)), [this, pending] { startAttempt(pending); });
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
        handler(item.value() ? parseNumber(table::attribute(*item.value(), "revision")) : std::uint64_t{0});
    });
}

void ContractStore::readAll(VersionsHandler handler)
{
    table_->query(CurrentPartition, {}, MaxCustomers, toVersions(std::move(handler)));
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
