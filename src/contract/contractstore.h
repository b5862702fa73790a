#pragma once

#include "contract/contracttypes.h"
#include "kernel/eventloop.h"
#include "kernel/finding.h"
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

/// What became of an edit.
enum class EditOutcome {
    Accepted, ///< In the table, once; also for a repeat of the same edit.
    Conflict, ///< Another edit came first; nothing was changed.
    Rejected, ///< The judge had findings; nothing was changed.
    Unknown, ///< The table did not answer: repeat with the same edit id.
    Unavailable, ///< The table is down: nothing was changed.
};

/// The answer to an edit.
struct EditResult {
    EditOutcome outcome = EditOutcome::Unknown;
    ContractVersion current; ///< The accepted version, or with Conflict the one that is in the way.
    std::string message;
    Findings findings; ///< With Rejected.
};

/// Findings against an edit, given the version it replaces; null if there is none.
using EditValidator = std::function<Findings(const ContractVersion *replaced)>;
using EditHandler = std::function<void(EditResult result)>;
using VersionsHandler = std::function<void(Result<std::vector<ContractVersion>> versions)>;
using RevisionHandler = std::function<void(Result<std::uint64_t> revision)>;

/// Contracts in the platform's table. An edit is one transaction: the head revision, the customer's current version and
/// one log entry; so edits are totally ordered and none is lost or doubled.
class ContractStore
{
public:
    static constexpr std::size_t PageLimit = 100;
    static std::shared_ptr<ContractStore> create(EventLoop &loop, std::shared_ptr<table::Table> table);

    /// @p judge sees the version in the table that the edit replaces, whatever this VM has in force.
    void apply(Edit edit, EditValidator judge, EditHandler handler);
    /// The newest revision; 0 if there is none.
    void headRevision(RevisionHandler handler);
    /// The current version of every customer.
    void readAll(VersionsHandler handler);
    /// The current version of one customer: one element, or none.
    void current(std::string customer, VersionsHandler handler);
    /// Versions of one customer after version @p after, oldest first, at most PageLimit.
    void history(std::string customer, std::uint64_t after, VersionsHandler handler);
    /// Log entries after @p revision, in order, at most PageLimit.
    void changesAfter(std::uint64_t revision, VersionsHandler handler);

private:
    struct Attempt;
    ContractStore() = default;
    void getVersion(table::Key key, VersionsHandler handler);
    void tryOnce(std::shared_ptr<Attempt> attempt);
    void judge(std::shared_ptr<Attempt> attempt);
    void tryAgain(std::shared_ptr<Attempt> attempt, const std::string &error);
    void write(std::shared_ptr<Attempt> attempt, std::uint64_t head);
    void onWritten(std::shared_ptr<Attempt> attempt, const ContractVersion &written, const table::WriteResult &result);
    EventLoop *loop_ = nullptr;
    std::shared_ptr<table::Table> table_;
};

} // namespace cardamomlift::contract
