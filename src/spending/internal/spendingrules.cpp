#include "spending/spendingrules.h"

#include <algorithm>
#include <charconv>
#include <chrono>

namespace cardamomlift::spending {

namespace {

constexpr Micros MicrosPerCent = 10000;
constexpr std::int64_t TokensPerPrice = 1000000;
constexpr std::int64_t CallsPerPrice = 1000;
constexpr std::int64_t ChunkSeconds = 1800;
constexpr std::int64_t LargestChunkShare = 16; ///< Of what is left, with few holders: one holder leaves 15/16 to the others.
constexpr std::int64_t SmallestChunkShare = 2048; ///< Of the bound: keeps writes few while little is known.
constexpr std::size_t MostHolders = 512;

constexpr char KeyPrefix[] = "spend#";
constexpr char SortKey[] = "allotted";

constexpr char HolderEnd = ';';
constexpr char FieldEnd = ',';

Micros priced(std::int64_t amount, std::int64_t cents, std::int64_t perPrice)
{
    return (amount * cents * MicrosPerCent + perPrice - 1) / perPrice;
}

template<class Number>
bool readNumber(const table::Item &item, const char *name, Number &number)
{
    const std::string text = table::attribute(item, name);
    const auto result = std::from_chars(text.data(), text.data() + text.size(), number);
    return result.ec == std::errc() && result.ptr == text.data() + text.size();
}

// "instance,nonce,1;instance,nonce,0;"
std::string writeHolders(const std::map<std::string, Holder> &holders)
{
    std::string text;
    for (const auto &[instance, holder] : holders) {
        text += instance + FieldEnd + holder.nonce + FieldEnd + (holder.mayHold ? '1' : '0') + HolderEnd;
    }
    return text;
}

std::map<std::string, Holder> readHolders(std::string_view text)
{
    std::map<std::string, Holder> holders;
    while (!text.empty()) {
        const std::string_view entry = text.substr(0, text.find(HolderEnd));
        const auto first = entry.find(FieldEnd);
        const auto second = entry.rfind(FieldEnd);
        if (first != std::string_view::npos && second > first) {
            Holder &holder = holders[std::string(entry.substr(0, first))];
            holder.nonce = entry.substr(first + 1, second - first - 1);
            holder.mayHold = entry.substr(second + 1) == "1";
        }
        text.remove_prefix(std::min(text.size(), entry.size() + 1));
    }
    return holders;
}

} // namespace

std::int64_t dayOf(WallTime now)
{
    return std::chrono::floor<std::chrono::days>(now).time_since_epoch().count();
}

Duration untilNextDay(WallTime now)
{
    return std::chrono::duration_cast<Duration>(std::chrono::floor<std::chrono::days>(now) + std::chrono::days(1) - now);
}

Micros boundOf(const contract::Spending &spending)
{
    return spending.perDayCents * MicrosPerCent;
}

Micros tokenCost(const contract::Spending &spending, std::int64_t tokens)
{
    return priced(tokens, spending.centsPerMillionTokens, TokensPerPrice);
}

Micros callCost(const contract::Spending &spending, std::int64_t calls)
{
    return priced(calls, spending.centsPerThousandCalls, CallsPerPrice);
}

Micros chunkToTake(const ChunkQuestion &question)
{
    const Micros left = question.bound - question.allotted;
    if (left < question.need || left <= 0) {
        return 0;
    }
    const Micros wanted = std::max(question.perSecond * ChunkSeconds, question.bound / SmallestChunkShare);
    const Micros largest = left / std::max(LargestChunkShare, 2 * question.holders);
    const Micros chunk = std::min(wanted, largest);
    const bool isWorthAWrite = question.need > 0 || chunk >= question.bound / SmallestChunkShare;
    return isWorthAWrite ? std::max(question.need, chunk) : 0;
}

table::Key keyOf(const AccountKey &account)
{
    return {KeyPrefix + account.customer + "#" + std::to_string(account.day), SortKey};
}

table::Item toTableItem(const AccountKey &account, const AllotmentItem &allotment)
{
    table::Item item;
    item.key = keyOf(account);
    item.attributes["version"] = std::to_string(allotment.version);
    item.attributes["allotted"] = std::to_string(allotment.allotted);
    item.attributes["boundVersion"] = std::to_string(allotment.boundVersion);
    item.attributes["bound"] = std::to_string(allotment.bound);
    item.attributes["holders"] = writeHolders(allotment.holders);
    return item;
}

std::optional<AllotmentItem> fromTableItem(const table::Item &item)
{
    AllotmentItem allotment;
    const bool isWhole = readNumber(item, "version", allotment.version) && readNumber(item, "allotted", allotment.allotted)
        && readNumber(item, "boundVersion", allotment.boundVersion) && readNumber(item, "bound", allotment.bound);
    if (!isWhole) {
        return std::nullopt;
    }
    allotment.holders = readHolders(table::attribute(item, "holders"));
    return allotment;
}

void setHolder(AllotmentItem &allotment, const std::string &instance, Holder holder)
{
    if (allotment.holders.size() >= MostHolders) {
        std::erase_if(allotment.holders, [](const auto &entry) { return !entry.second.mayHold; });
    }
    if (allotment.holders.size() < MostHolders || allotment.holders.contains(instance)) {
        allotment.holders[instance] = std::move(holder);
    }
}

} // namespace cardamomlift::spending
