#pragma once

#include "contract/contracttypes.h"
#include "kernel/eventloop.h"
#include "table/table.h"

#include <memory>

namespace cardamomlift::contract {

/// One edit as an operator sent it.
struct Edit {
    std::string customer;
    std::string text;
    std::uint64_t baseVersion = 0; ///< The version the operator saw; 0: none yet.
    std::string author;
    std::string editId;
};

enum class EditOutcome {
    Accepted, ///< In the table, once; also for a repeat of the same edit.
    Conflict, ///< Another edit came first; nothing was changed.
    Unknown, ///< The table did not answer: repeat with the same edit id.
    Unavailable, ///< The table is down: nothing was changed.
};

struct EditResult {
    EditOutcome outcome = EditOutcome::Unknown;
    ContractVersion current; ///< The accepted version, or with Conflict the one that is in the way.
    std::string message;
};

using EditHandler = std::function<void(EditResult result)>;
using VersionsHandler = std::function<void(Result<std::vector<ContractVersion>> versions)>;
using RevisionHandler = std::function<void(Result<std::uint64_t> revision)>;

/// Contracts in the platform's table. An edit is one transaction: the head revision, the customer's current version and
/// one log entry; so edits are totally ordered and none is lost or doubled.
class ContractStore
{
public:
    static std::shared_ptr<ContractStore> create(EventLoop &loop, std::shared_ptr<table::Table> table);

    void apply(Edit edit, EditHandler handler);
    /// The newest revision; 0 if there is none.
    void headRevision(RevisionHandler handler);
    /// The current version of every customer.
    void readAll(VersionsHandler handler);
    /// All versions of one customer, oldest first.
    void history(std::string customer, VersionsHandler handler);
    /// Log entries after @p revision, in order, at most 100.
    void changesAfter(std::uint64_t revision, VersionsHandler handler);

private:
    struct Attempt;
    ContractStore() = default;
    void tryOnce(std::shared_ptr<Attempt> attempt);
    void write(std::shared_ptr<Attempt> attempt, std::uint64_t head);
    void onWritten(std::shared_ptr<Attempt> attempt, const ContractVersion &written, const table::WriteResult &result);
    EventLoop *loop_ = nullptr;
    std::shared_ptr<table::Table> table_;
};

} // namespace cardamomlift::contract
