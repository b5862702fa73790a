#pragma once

#include "contract/contracttypes.h"
#include "kernel/eventloop.h"
#include "kernel/finding.h"
#include "table/table.h"

#include <memory>

namespace cardamomlift::contract {

/// One edit as received from an operator.
struct Edit {
    std::string customer;
    std::string text;
    std::uint64_t baseVersion = 0; ///< The version that the operator edited; 0 for a new contract.
    std::string author;
    std::string editId;
};

/// The outcome of an edit.
enum class EditOutcome {
    Accepted, ///< Written to the table exactly once; also returned when the same edit is repeated.
    Conflict, ///< Another edit was accepted first; nothing was changed.
    Rejected, ///< The validator had findings; nothing was changed.
    Unknown, ///< The table did not answer and may have written the edit: repeat it with the same edit id.
    Unavailable, ///< The table is down: nothing was changed.
};

/// The result of an edit.
struct EditResult {
    EditOutcome outcome = EditOutcome::Unknown;
    ContractVersion current; ///< The accepted version or, with Conflict, the conflicting one.
    std::string message;
    Findings findings; ///< With Rejected.
};

/// Returns the findings against an edit. @p replaced is the version that it replaces, or null.
using EditValidator = std::function<Findings(const ContractVersion *replaced)>;
using EditHandler = std::function<void(EditResult result)>;
using VersionsHandler = std::function<void(Result<std::vector<ContractVersion>> versions)>;
using RevisionHandler = std::function<void(Result<std::uint64_t> revision)>;

/// The contracts in the platform's table. An edit is one transaction on the head revision, the customer's current version,
/// its history and the log; so edits are totally ordered, and none is lost or applied twice.
class ContractStore
{
public:
    static constexpr std::size_t PageLimit = 100;
    static std::shared_ptr<ContractStore> create(EventLoop &loop, std::shared_ptr<table::Table> table);

    /// @p validator gets the version in the table that the edit replaces, which may be newer than the one in force on this VM.
    void apply(Edit edit, EditValidator validator, EditHandler handler);
    /// The newest revision; 0 if there is none.
    void headRevision(RevisionHandler handler);
    /// The current version of every customer.
    void readAll(VersionsHandler handler);
    /// The current version of one customer: one element, or none if there is no contract.
    void current(std::string customer, VersionsHandler handler);
    /// The versions of one customer after version @p after, oldest first, at most PageLimit.
    void history(std::string customer, std::uint64_t after, VersionsHandler handler);
    /// The log entries after @p revision, in order, at most PageLimit.
    void changesAfter(std::uint64_t revision, VersionsHandler handler);

private:
    struct PendingEdit;
    ContractStore() = default;
    void getVersion(table::Key key, VersionsHandler handler);
    void startAttempt(std::shared_ptr<PendingEdit> pending);
    void validate(std::shared_ptr<PendingEdit> pending);
    void scheduleRetry(std::shared_ptr<PendingEdit> pending, const std::string &error);
    void write(std::shared_ptr<PendingEdit> pending, std::uint64_t head);
    void onWritten(std::shared_ptr<PendingEdit> pending, const ContractVersion &written, const table::WriteResult &result);
    EventLoop *loop_ = nullptr;
    std::shared_ptr<table::Table> table_;
};

} // namespace cardamomlift::contract
