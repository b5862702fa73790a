#include "spending/spendingrules.h"

#include <algorithm>
#include <charconv>
#include <chrono>

namespace cardamomlift::spending {

namespace {

constexpr Micros MicrosPerCent = 10000;
constexpr std::int64_t TokensPerPriceUnit = 1000000;
constexpr std::int64_t CallsPerPriceUnit = 1000;
constexpr std::int64_t ChunkSeconds = 1800;
constexpr std::int64_t MaxChunkDivisor = 16; ///< A chunk is at most 1/16 of what is left: with few holders, one leaves 15/16 to the others.
constexpr std::int64_t MinChunkDivisor = 2048; ///< At least 1/2048 of the bound, while enough is left: keeps writes rare before the spending rate is known.
constexpr std::size_t MaxHolders = 512;

constexpr char KeyPrefix[] = "spend#";
constexpr char SortKey[] = "allotted";

constexpr char HolderSeparator = ';';
constexpr char FieldSeparator = ',';

Micros cost(std::int64_t amount, std::int64_t cents, std::int64_t perPriceUnit)
{
    return (amount * cents * MicrosPerCent + perPriceUnit - 1) / perPriceUnit;
}

template<class Number>
bool readNumber(const table::Item &item, const char *name, Number &number)
{
    const std::string text = table::attribute(item, name);
    const auto result = std::from_chars(text.data(), text.data() + text.size(), number);
    return result.ec == std::errc() && result.ptr == text.data() + text.size();
}

// "instance,nonce,1;instance,nonce,0;"
std::string formatHolders(const std::map<std::string, Holder> &holders)
{
    std::string text;
    for (const auto &[instance, holder] : holders) {
        text += instance + FieldSeparator + holder.nonce + FieldSeparator + (holder.mayHold ? '1' : '0') + HolderSeparator;
    }
    return text;
}

std::map<std::string, Holder> parseHolders(std::string_view text)
{
    std::map<std::string, Holder> holders;
    while (!text.empty()) {
        const std::string_view entry = text.substr(0, text.find(HolderSeparator));
        const auto first = entry.find(FieldSeparator);
        const auto second = entry.rfind(FieldSeparator);
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
    return cost(tokens, spending.centsPerMillionTokens, TokensPerPriceUnit);
}

Micros callCost(const contract::Spending &spending, std::int64_t calls)
{
    return cost(calls, spending.centsPerThousandCalls, CallsPerPriceUnit);
}

Micros chunkSize(const ChunkInputs &inputs)
{
    const Micros remaining = inputs.bound - inputs.allotted;
    if (remaining < inputs.need || remaining <= 0) {
        return 0;
    }
    const Micros wanted = std::max(inputs.perSecond * ChunkSeconds, inputs.bound / MinChunkDivisor);
    const Micros largest = remaining / std::max(MaxChunkDivisor, 2 * inputs.holders);
    const Micros chunk = std::min(wanted, largest);
    const bool isWorthAWrite = inputs.need > 0 || chunk >= inputs.bound / MinChunkDivisor;
    return isWorthAWrite ? std::max(inputs.need, chunk) : 0;
}

table::Key itemKey(const AccountKey &account)
{
    return {KeyPrefix + account.customer + "#" + std::to_string(account.day), SortKey};
}

table::Item toTableItem(const AccountKey &account, const AllotmentItem &allotment)
{
    table::Item item;
    item.key = itemKey(account);
    item.attributes["version"] = std::to_string(allotment.version);
    item.attributes["allotted"] = std::to_string(allotment.allotted);
    item.attributes["boundVersion"] = std::to_string(allotment.boundVersion);
    item.attributes["bound"] = std::to_string(allotment.bound);
    item.attributes["holders"] = formatHolders(allotment.holders);
    return item;
}

std::optional<AllotmentItem> fromTableItem(const table::Item &item)
{
    AllotmentItem allotment;
    const bool isComplete = readNumber(item, "version", allotment.version) && readNumber(item, "allotted", allotment.allotted)
        && readNumber(item, "boundVersion", allotment.boundVersion) && readNumber(item, "bound", allotment.bound);
    if (!isComplete) {
        return std::nullopt;
    }
    allotment.holders = parseHolders(table::attribute(item, "holders"));
    return allotment;
}

void setHolder(AllotmentItem &allotment, const std::string &instance, Holder holder)
{
    if (allotment.holders.size() >= MaxHolders) {
        std::erase_if(allotment.holders, [](const auto &entry) { return !entry.second.mayHold; });
    }
    if (allotment.holders.size() < MaxHolders || allotment.holders.contains(instance)) {
        allotment.holders[instance] = std::move(holder);
    }
}

} // namespace cardamomlift::spending
