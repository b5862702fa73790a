#include "forwarding/internal/promptparts.h"

#include <fmt/format.h>

#include <algorithm>

namespace cardamomlift::forwarding {

namespace {

constexpr std::size_t MaxLoggedParts = 8;

} // namespace

std::vector<std::uint64_t> sharedParts(std::span<const PromptPart> prompt)
{
    std::vector<std::uint64_t> parts;
    for (std::size_t i = 0; i + 1 < prompt.size(); i++) {
        if (!prompt[i].id.empty()) {
            parts.push_back(prompt[i].key);
        }
    }
    std::sort(parts.begin(), parts.end());
    parts.erase(std::unique(parts.begin(), parts.end()), parts.end());
    return parts;
}

std::string formatParts(std::span<const std::uint64_t> parts)
{
    return fmt::format("{:x}", fmt::join(parts.first(std::min(parts.size(), MaxLoggedParts)), ","));
}

} // namespace cardamomlift::forwarding
