#pragma once

#include <cstdint>
#include <functional>
#include <vector>

namespace cardamomlift::rows {

/// The era of the platform's store, by the answers that this process has got. It rises by one each time the store is restored
/// from an older copy.
class EraTracker
{
public:
    /// Takes the era that an answer names.
    void note(std::uint64_t era);
    /// The latest; 0 before an answer has named one.
    std::uint64_t current() const;
    /// @p handler is called when the store turns out to have been restored since an earlier answer.
    void onRestored(std::function<void()> handler);

private:
    std::uint64_t current_ = 0;
    bool isNamed_ = false;
    std::vector<std::function<void()>> handlers_;
};

} // namespace cardamomlift::rows
