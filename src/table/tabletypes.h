#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace cardamomlift::table {

/// The primary key of an item: partition key and sort key, both text.
struct Key {
    std::string partition;
    std::string sort;
    // NOLINTNEXTLINE(modernize-use-nullptr): false positive on a defaulted comparison.
    auto operator<=>(const Key &) const = default;
};

using Attributes = std::map<std::string, std::string, std::less<>>;

/// One item (row) of the table. All attributes are text (DynamoDB type S, except the expiry time); modules convert items to
/// their own structs.
struct Item {
    Key key;
    Attributes attributes;
};

/// The text of attribute @p name, or an empty string.
std::string attribute(const Item &item, std::string_view name);

/// The condition that the stored item must meet for a write to take effect.
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

/// The kind of a write.
enum class WriteKind {
    Put, ///< Inserts the item or replaces it as a whole.
    Delete,
    Check, ///< Writes nothing; only checks the condition. Only inside a transaction.
};

/// One conditional write.
struct Write {
    WriteKind kind = WriteKind::Put;
    Item item;
    Condition condition;
};

/// What is known about the effect of a write.
enum class WriteOutcome {
    Written, ///< Confirmed by the table.
    ConditionFailed, ///< The table reported that nothing was written, because a condition was not met.
    NotWritten, ///< Nothing was written: the table rejected the request, or no byte of it was sent.
    Unknown, ///< The request may have taken effect: no response, or a server error (5xx).
};

/// The result of a write or a transaction.
struct WriteResult {
    WriteOutcome outcome = WriteOutcome::Unknown;
    /// With ConditionFailed: for each write of the transaction whether its condition failed.
    std::vector<bool> failed;
    std::string error;
};

/// Counters of the operations sent, for the figures of table writes per request.
struct TableCounters {
    std::uint64_t reads = 0;
    std::uint64_t writeRequests = 0; ///< Write requests; a transaction counts once.
    std::uint64_t itemsWritten = 0; ///< Items in these requests, whether or not they took effect.
    std::uint64_t unavailable = 0; ///< Requests without a complete response or with a server error (5xx).
    std::uint64_t bytesSent = 0; ///< Of the whole HTTP exchanges, including headers, for docs/CAPACITY.md.
    std::uint64_t bytesReceived = 0;
};

} // namespace cardamomlift::table
