#include "relay/relayformat.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <string_view>

namespace cardamomlift::relay {

namespace {

/// A request's field is "manifest version;admitted;usage noted;VM".
constexpr char Separator = ';';
constexpr std::size_t Numbers = 3;

/// Removes the part before the next separator from @p text and returns it.
std::string_view takePart(std::string_view &text)
{
    const auto end = std::min(text.find(Separator), text.size());
    const std::string_view part = text.substr(0, end);
    text.remove_prefix(std::min(end + 1, text.size()));
    return part;
}

} // namespace

void writeRelayFields(const RelayFields &fields, http1::RequestHead &head)
{
    head.fields.set(RelayHeader, fmt::format("{};{};{};{}", fields.manifestVersion, int(fields.isAdmitted), int(fields.isUsageNoted), fields.from));
}

std::optional<RelayFields> readRelayFields(const http1::RequestHead &head)
{
    if (head.fields.count(RelayHeader) != 1) {
        return std::nullopt;
    }
    std::string_view text = head.fields.get(RelayHeader);
    std::array<std::int64_t, Numbers> numbers{};
    for (std::int64_t &number : numbers) {
        const auto parsed = http1::parseNumber(takePart(text));
        if (!parsed) {
            return std::nullopt;
        }
        number = *parsed;
    }
    if (text.empty()) {
        return std::nullopt;
    }
    const auto [version, isAdmitted, isUsageNoted] = numbers;
    return RelayFields{std::string(text), static_cast<std::uint64_t>(version), isAdmitted != 0, isUsageNoted != 0};
}

void removeRelayFields(http1::RequestHead &head)
{
    head.fields.remove(RelayHeader);
}

void markUnavailable(http1::ResponseHead &head)
{
    head.fields.set(RelayHeader, UnavailableMark);
}

bool isUnavailable(const http1::ResponseHead &head)
{
    return head.fields.get(RelayHeader) == UnavailableMark;
}

void removeMark(http1::ResponseHead &head)
{
    head.fields.remove(RelayHeader);
}

} // namespace cardamomlift::relay
