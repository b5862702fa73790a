#pragma once

#include "suspects/suspecttypes.h"

#include <optional>
#include <unordered_map>

namespace cardamomlift::suspects {

/// The parts of prompts that servers have answered, with the time of the last answer of each. Bounded in time and number.
class AnsweredParts
{
public:
    /// Records an answer with @p part at @p at. Older ones than that known are ignored.
    void note(PartKey part, TimePoint at, TimePoint now);
    /// The last answer with @p part of the last AnswerMemory at least; empty if none is known.
    std::optional<TimePoint> lastAnswer(PartKey part) const;
    std::size_t size() const;

private:
    /// After AnswerMemory, or when it is full, the recent map takes the place of the older one.
    std::unordered_map<PartKey, TimePoint> recent_;
    std::unordered_map<PartKey, TimePoint> older_;
    TimePoint recentSince_;
};

/// An answer is remembered for this long, and up to twice as long, if not too many other parts are answered.
inline constexpr Duration AnswerMemory = std::chrono::minutes(1);

} // namespace cardamomlift::suspects
