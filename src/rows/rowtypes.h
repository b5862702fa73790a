#pragma once

#include "kernel/clock.h"

#include <cstdint>
#include <functional>
#include <limits>
#include <string>
#include <string_view>
#include <vector>

namespace cardamomlift::rows {

/// A row of a table of the platform's store.
struct Row {
    std::string key;
    std::string value;
    std::uint64_t version = 0; ///< Of the transaction that wrote it; rises over all tables.
    bool isDeleted = false; ///< Only in changes.
};

/// Rows as of one moment.
struct RowPage {
    std::vector<Row> rows;
    bool hasMore = false;
    std::uint64_t version = 0; ///< The store's newest.
    Duration storeTime{0}; ///< The store's steady clock.
};

/// Why a table is read whole.
enum class ReadReason {
    First, ///< Nothing of it was known.
    HistoryLost, ///< The store does not keep the changes since what was known.
};

/// For the log.
std::string_view readReasonName(ReadReason reason);

/// All rows of a table.
struct WholeTable {
    std::vector<Row> rows;
    std::uint64_t version = 0; ///< Changes after it may be missing.
    ReadReason reason = ReadReason::First;
};

/// Why a call to the store gave nothing.
enum class StoreFailure {
    None,
    Refused, ///< The store is away or over its rate; nothing was done.
    Unreachable, ///< No connection; nothing was done.
    NoAnswer, ///< The call may have been done, or may still be.
    HistoryLost, ///< The changes asked for are no longer kept; read the table anew.
    Invalid, ///< The store did not understand the call, or we its answer.
};

/// The outcome of a read.
struct ReadResult {
    StoreFailure failure = StoreFailure::None;
    RowPage page;
    TimePoint askedAt; ///< When the call was sent.
};

/// What one VM knows of a table, for another that has not asked the store itself.
struct TableNews {
    std::uint64_t version = 0; ///< All changes up to it are known to the sender.
    std::uint64_t since = 0; ///< @c changes holds all that came after this version.
    std::vector<Row> changes; ///< In order; the newest ones only.
    Duration age{0}; ///< How old the sender's knowledge is that nothing newer exists.
    std::uint64_t changedAt = std::numeric_limits<std::uint64_t>::max(); ///< No change came between this version and @c version.
};

/// One change of a transaction. All rows of a transaction lie in one part.
struct RowWrite {
    std::string table;
    std::string key;
    std::string value;
    bool removes = false;
    bool isConditional = false;
    std::uint64_t expectedVersion = 0; ///< With isConditional; 0: the row must not exist.
};

/// What became of a transaction.
enum class WriteOutcome {
    Written,
    Conflict, ///< A condition did not hold; nothing was written.
    NotWritten, ///< Certainly nothing was written.
    Unknown, ///< It may have taken effect, or may still.
};

/// The outcome of a transaction.
struct WriteResult {
    WriteOutcome outcome = WriteOutcome::Unknown;
    std::vector<Row> current; ///< With Conflict: the rows of the conditions as they are.
    std::uint64_t version = 0; ///< With Written: of the rows written.
    Duration storeTime{0};
};

using ReadHandler = std::function<void(const ReadResult &result)>;
using WriteHandler = std::function<void(const WriteResult &result)>;

} // namespace cardamomlift::rows
