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

/// A version of the platform's store. The store numbers its transactions across all tables. When it is restored from an older
/// copy, it continues from the copy's number in the next era, so numbers of different eras can't be compared.
struct StoreVersion {
    std::uint64_t era = 0; ///< 0 if the store does not report one.
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
    StoreVersion version; ///< Number of the transaction that wrote it, and the era in which it was read.
    bool isDeleted = false; ///< Set only in changes.
};

/// Rows or changes that the store returned in one response, all as of one version.
struct RowPage {
    std::vector<Row> rows;
    bool hasMore = false;
    StoreVersion version; ///< The store's latest version; for changes with @c hasMore, the version of the last one.
    Duration storeTime{0}; ///< Reading of the store's steady clock.
};

/// Why a snapshot of a table is read.
enum class ReadReason {
    First, ///< Nothing of the table was known.
    HistoryLost, ///< The store no longer keeps the changes since the known version.
    StoreRestored, ///< The store was restored from an older copy: rows that were known may be gone.
    Diverged, ///< Another VM has different rows at the same version.
};

/// The name of @p reason in the event log.
std::string_view readReasonName(ReadReason reason);

/// All rows of a table.
struct TableSnapshot {
    std::vector<Row> rows;
    StoreVersion version; ///< Changes after this version may be missing.
    ReadReason reason = ReadReason::First;
};

/// Why a call to the store failed.
enum class StoreFailure {
    None,
    Refused, ///< The store is unavailable or its rate limit was hit; the call had no effect.
    Unreachable, ///< No connection; the call had no effect.
    NoAnswer, ///< The call may have taken effect, or may still do so.
    HistoryLost, ///< The requested changes are no longer kept; the table must be read again as a whole.
    Outdated, ///< The response is from before the store was restored from a copy.
    Invalid, ///< The store rejected the call as invalid, or its response could not be parsed.
};

/// The outcome of a read.
struct ReadResult {
    StoreFailure failure = StoreFailure::None;
    RowPage page;
    TimePoint sentAt; ///< When the request was sent.
};

/// Recent changes of a table, which one VM sends to others so that they need not poll the store themselves.
struct TableDelta {
    StoreVersion version; ///< The sender knows all changes up to this version.
    StoreVersion since; ///< @c changes holds all changes after this version; of the same era.
    std::vector<Row> changes; ///< Ordered; only the most recent ones.
    Duration age{0}; ///< Time since the sender last confirmed that there are no newer changes.
    std::optional<std::uint64_t> digest; ///< Of all rows at @c version; see TableDigest.
    std::uint64_t changedAt = std::numeric_limits<std::uint64_t>::max(); ///< There was no change between this number and @c version.
};

/// One write of a transaction. All rows of a transaction must be in the same partition (`part` in the API).
struct RowWrite {
    std::string table;
    std::string key;
    std::string value;
    bool removes = false;
    bool isConditional = false;
    StoreVersion expectedVersion; ///< The condition, if isConditional; with number 0 the row must not exist.
};

/// Whether a transaction took effect.
enum class WriteOutcome {
    Written,
    Conflict, ///< A condition did not hold; nothing was written.
    NotWritten, ///< Nothing was written.
    Unknown, ///< It may have taken effect, or may still do so.
};

/// The outcome of a transaction.
struct WriteResult {
    WriteOutcome outcome = WriteOutcome::Unknown;
    std::vector<Row> current; ///< On Conflict: the current rows that the conditions refer to.
    StoreVersion version; ///< On Written: the version of the written rows.
    Duration storeTime{0};
};

/// Whether a condition of @p writes names a version of an era before @p era: the same number may belong to another row now.
bool isOutdated(std::span<const RowWrite> writes, std::uint64_t era);

using ReadHandler = std::function<void(const ReadResult &result)>;
using WriteHandler = std::function<void(const WriteResult &result)>;

} // namespace cardamomlift::rows
