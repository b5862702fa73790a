#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace cardamomlift::table {

/// The primary key of an item: a partition and a sort key, both text.
struct Key {
    std::string partition;
    std::string sort;
    // NOLINTNEXTLINE(modernize-use-nullptr): a false finding on a defaulted comparison.
    auto operator<=>(const Key &) const = default;
};

using Attributes = std::map<std::string, std::string, std::less<>>;

/// One row. All attributes are text (DynamoDB type S, but for the expiry); the modules convert to their own structs.
struct Item {
    Key key;
    Attributes attributes;
};

/// The text of attribute @p name, or an empty string.
std::string attribute(const Item &item, std::string_view name);

/// What must hold of the stored item for a write to take effect.
enum class ConditionKind {
    None,
    ItemAbsent, ///< No item has this key.
    AttributeEquals, ///< The item exists and the attribute has this value.
};

/// The condition of a write.
struct Condition {
    ConditionKind kind = ConditionKind::None;
    std::string attribute;
    std::string value;
};

/// What a write does.
enum class WriteKind {
    Put, ///< Replaces the whole item.
    Delete,
    Check, ///< Writes nothing; only the condition counts (inside a transaction).
};

/// One conditional write.
struct Write {
    WriteKind kind = WriteKind::Put;
    Item item;
    Condition condition;
};

/// What is known after a write was tried.
enum class WriteOutcome {
    Written, ///< The table said so.
    ConditionFailed, ///< The table said that nothing was written, because a condition did not hold.
    NotWritten, ///< Certainly nothing was written: refused by the table, or no byte was sent.
    Unknown, ///< The request may have taken effect; its answer was lost.
};

/// What became of a write or a transaction.
struct WriteResult {
    WriteOutcome outcome = WriteOutcome::Unknown;
    /// With ConditionFailed in a transaction: for each write whether its condition failed.
    std::vector<bool> failed;
    std::string error;
};

/// Operations sent, for the figures "writes per request".
struct TableCounters {
    std::uint64_t reads = 0;
    std::uint64_t writeRequests = 0; ///< Requests that write; a transaction counts once.
    std::uint64_t itemsWritten = 0; ///< Items in those requests.
    std::uint64_t unavailable = 0; ///< Requests that got no usable answer.
    std::uint64_t bytesSent = 0; ///< Whole HTTP exchanges, for docs/CAPACITY.md.
    std::uint64_t bytesReceived = 0;
};

} // namespace cardamomlift::table
