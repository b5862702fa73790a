#pragma once

#include <cstdint>
#include <functional>
#include <vector>

namespace cardamomlift::rows {

/// Tracks the era of the platform's store from the responses that this process has received. The era rises by one each time
/// the store is restored from an older copy.
class EraTracker
{
public:
    /// Records the era that a response names.
    void note(std::uint64_t era);
    /// The latest era; 0 before a response has named one.
    std::uint64_t current() const;
    /// Calls @p handler when a response shows that the store was restored since an earlier one.
    void onRestored(std::function<void()> handler);

private:
    std::uint64_t current_ = 0;
    bool isKnown_ = false;
    std::vector<std::function<void()>> handlers_;
};

} // namespace cardamomlift::rows
