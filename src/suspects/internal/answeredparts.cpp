#include "suspects/answeredparts.h"

#include <algorithm>
#include <utility>

namespace cardamomlift::suspects {

namespace {

/// Of each of the two maps: some 2 MB.
constexpr std::size_t MaxParts = 32'768;

} // namespace

void AnsweredParts::note(PartKey part, TimePoint at, TimePoint now)
{
    if (now - recentSince_ >= AnswerMemory || recent_.size() >= MaxParts) {
        older_ = std::exchange(recent_, {});
        recentSince_ = now;
    }
    TimePoint &last = recent_[part];
    last = std::max(last, at);
}

std::optional<TimePoint> AnsweredParts::lastAnswer(PartKey part) const
{
    const auto recent = recent_.find(part);
    const auto older = older_.find(part);
    if (recent == recent_.end()) {
        return older == older_.end() ? std::nullopt : std::optional(older->second);
    }
    return older == older_.end() ? recent->second : std::max(recent->second, older->second);
}

std::size_t AnsweredParts::size() const
{
    return recent_.size() + older_.size();
}

} // namespace cardamomlift::suspects
