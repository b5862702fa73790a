#include "prefixindex/prefixrules.h"

#include <xxhash.h>

#include <algorithm>

namespace cardamomlift::prefixindex {

std::vector<Prefix> prefixesOf(std::span<const forwarding::PromptPart> prompt)
{
    std::vector<Prefix> prefixes;
    Prefix prefix;
    for (std::size_t i = 0; i + 1 < prompt.size(); i++) {
        // A part is only of use behind the same parts: its hash goes on from theirs.
        prefix.hash = XXH3_64bits_withSeed(prompt[i].id.data(), prompt[i].id.size(), prefix.hash);
        prefix.tokens += prompt[i].tokens;
        prefixes.push_back(prefix);
    }
    return prefixes;
}

std::int64_t heldTokens(std::span<const Holding> holdings, std::uint64_t server)
{
    const auto place =
        std::lower_bound(holdings.begin(), holdings.end(), server, [](const Holding &holding, std::uint64_t wanted) { return holding.server < wanted; });
    return place != holdings.end() && place->server == server ? place->tokens : 0;
}

} // namespace cardamomlift::prefixindex
