#pragma once

#include "kernel/clock.h"

#include <compare>
#include <cstdint>
#include <functional>
#include <limits>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

namespace cardamomlift::rows {

/// A moment in the history of the platform's store. The store numbers its transactions over all tables. If it is restored
/// from an older copy, it goes on from the copy's number in the next era, so numbers of two eras do not compare.
struct StoreVersion {
    std::uint64_t era = 0; ///< 0 if the store names none.
    std::uint64_t number = 0; ///< 0: before the first transaction.
    bool operator==(const StoreVersion &) const = default;
    std::strong_ordering operator<=>(const StoreVersion &other) const
    {
        return std::tie(era, number) <=> std::tie(other.era, other.number);
    }
};

/// A row of a table of the platform's store.
struct Row {
    std::string key;
    std::string value;
    StoreVersion version; ///< Of the transaction that wrote it, in the era in which it was read.
    bool isDeleted = false; ///< Only in changes.
};

/// Rows as of one moment.
struct RowPage {
    std::vector<Row> rows;
    bool hasMore = false;
    StoreVersion version; ///< The store's newest; of changes that have more to come, the last one's.
    Duration storeTime{0}; ///< The store's steady clock.
};

/// Why a table is read whole.
enum class ReadReason {
    First, ///< Nothing of it was known.
    HistoryLost, ///< The store does not keep the changes since what was known.
    StoreRestored, ///< The store was restored from an older copy: what was known may be gone.
    Diverged, ///< Another VM knows other rows at the same version.
};

/// For the log.
std::string_view readReasonName(ReadReason reason);

/// All rows of a table.
struct TableSnapshot {
    std::vector<Row> rows;
    StoreVersion version; ///< Changes after it may be missing.
    ReadReason reason = ReadReason::First;
};

/// Why a call to the store gave nothing.
enum class StoreFailure {
    None,
    Refused, ///< The store is away or over its rate; nothing was done.
    Unreachable, ///< No connection; nothing was done.
    NoAnswer, ///< The call may have been done, or may still be.
    HistoryLost, ///< The changes asked for are no longer kept; read the table anew.
    Outdated, ///< The answer was given before the store was restored from a copy.
    Invalid, ///< The store did not understand the call, or we its answer.
};

/// The outcome of a read.
struct ReadResult {
    StoreFailure failure = StoreFailure::None;
    RowPage page;
    TimePoint sentAt; ///< When the call was sent.
};

/// What one VM knows of a table, for another that has not asked the store itself.
struct TableDelta {
    StoreVersion version; ///< All changes up to it are known to the sender.
    StoreVersion since; ///< @c changes holds all that came after this version; of the same era.
    std::vector<Row> changes; ///< In order; the newest ones only.
    Duration age{0}; ///< How old the sender's knowledge is that nothing newer exists.
    std::optional<std::uint64_t> digest; ///< Of all rows at @c version; see TableDigest.
    std::uint64_t changedAt = std::numeric_limits<std::uint64_t>::max(); ///< No change came between this number and @c version.
};

/// One change of a transaction. All rows of a transaction lie in one part.
struct RowWrite {
    std::string table;
    std::string key;
    std::string value;
    bool removes = false;
    bool isConditional = false;
    StoreVersion expectedVersion; ///< With isConditional; its number 0: the row must not exist.
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
    StoreVersion version; ///< With Written: of the rows written.
    Duration storeTime{0};
};

/// Whether a condition of @p writes names a version of an era before @p era: the same number may stand for another row now.
bool isOutdated(std::span<const RowWrite> writes, std::uint64_t era);

using ReadHandler = std::function<void(const ReadResult &result)>;
using WriteHandler = std::function<void(const WriteResult &result)>;

} // namespace cardamomlift::rows
