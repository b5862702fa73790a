#include "prefixindex/prefixrules.h"

#include <xxhash.h>

#include <algorithm>

namespace cardamomlift::prefixindex {

std::vector<Prefix> prefixesOf(std::span<const forwarding::PromptPart> prompt)
{
    std::vector<Prefix> prefixes;
    Prefix prefix;
    for (std::size_t i = 0; i + 1 < prompt.size(); i++) {
        // A cached part can be reused only after the same preceding parts, so its hash is chained to theirs.
        prefix.hash = XXH3_64bits_withSeed(prompt[i].id.data(), prompt[i].id.size(), prefix.hash);
        prefix.tokens += prompt[i].tokens;
        prefixes.push_back(prefix);
    }
    return prefixes;
}

std::int64_t matchedTokens(std::span<const PrefixMatch> matches, std::uint64_t server)
{
    const auto found =
        std::lower_bound(matches.begin(), matches.end(), server, [](const PrefixMatch &match, std::uint64_t wanted) { return match.server < wanted; });
    return found != matches.end() && found->server == server ? found->tokens : 0;
}

} // namespace cardamomlift::prefixindex
