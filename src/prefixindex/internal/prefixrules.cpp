#include "prefixindex/prefixrules.h"

#include <xxhash.h>

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

} // namespace cardamomlift::prefixindex
