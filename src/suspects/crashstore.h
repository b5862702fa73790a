#pragma once

#include "suspects/suspecttypes.h"

#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

namespace cardamomlift::suspects {

/// Crashes and convictions this VM knows of, its own and those of other VMs. Bounded: the oldest go first, and all are
/// forgotten after a time.
class CrashStore
{
public:
    /// @p present were in flight at @p instance when it broke. Reports of one crash are merged. False if nothing is new.
    bool addCrash(const std::string &instance, TimePoint at, std::span<const Progress> present);
    /// A request went on. It is cleared of the crashes known now if it got clearly further than it was then. False if
    /// nothing is new.
    bool clear(const Progress &progress);
    /// The least position that clears @p fingerprint of all crashes; none if it is at no crash uncleared.
    std::optional<std::uint64_t> clearedFrom(Fingerprint fingerprint) const;
    /// @p instance answers: it did not crash. False if nothing is new.
    bool retract(const std::string &instance);
    /// False if it was known for as long.
    bool convict(Fingerprint fingerprint, TimePoint until);
    /// How @p fingerprint may run. Does not convict by itself.
    Standing standing(Fingerprint fingerprint, TimePoint now) const;
    /// The time of the last crash that speaks against @p fingerprint; the clock's origin if none does.
    TimePoint latestAgainst(Fingerprint fingerprint) const;
    bool isConvicted(Fingerprint fingerprint) const;
    /// When @p instance crashed last, if it did.
    std::optional<TimePoint> crashedAt(const std::string &instance) const;
    std::vector<std::string> crashedInstances() const;
    /// Changes with each change of the crashes.
    std::uint64_t version() const;
    /// Forgets what is too old.
    void expire(TimePoint now);
    bool empty() const;
    std::size_t crashes() const;

private:
    bool mergeCrash(const std::string &instance, TimePoint at, std::span<const Progress> present);
    std::vector<Crash> crashes_; ///< Oldest first.
    /// Rumours come in any order: the furthest each request got, for reports that come after.
    std::unordered_map<Fingerprint, std::uint64_t> earlyClears_;
    std::unordered_map<Fingerprint, TimePoint> convictedUntil_;
    std::uint64_t version_ = 1;
};

/// How long a conviction and the memory of a crash last.
inline constexpr Duration RememberFor = std::chrono::minutes(10);

} // namespace cardamomlift::suspects
