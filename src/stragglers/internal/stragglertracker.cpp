#include "stragglers/stragglertracker.h"

#include <algorithm>

namespace cardamomlift::stragglers {

namespace {

/// Moves at a time: each copy waits for the others on the same links.
constexpr int MaxMovesAtOnce = 2;
/// Until a server's load report covers a run that was moved to it.
constexpr Duration TargetMemory = std::chrono::milliseconds(1000);
/// Until a move has been seen: a copy of usual size, two calls, and the first event at the target.
constexpr Duration UsualPause = std::chrono::milliseconds(150);
constexpr Duration MaxPause = std::chrono::seconds(2);
constexpr double NewPauseWeight = 0.25;
/// Weight of the streams before when a further one has ended: some fifty count.
constexpr double LengthDecay = 0.98;
constexpr std::size_t MaxServices = 64;

} // namespace

StragglerTracker::StragglerTracker(EventLoop &loop)
    : loop_(loop)
    , pause_(UsualPause)
{
}

std::shared_ptr<StragglerTracker> StragglerTracker::create(EventLoop &loop)
{
    return std::shared_ptr<StragglerTracker>(new StragglerTracker(loop));
}

bool StragglerTracker::mayMove() const
{
    return *inProgress_ < MaxMovesAtOnce;
}

StragglerTracker::Ticket StragglerTracker::begin(std::uint64_t server)
{
    const TimePoint now = loop_.now();
    std::erase_if(taken_, [now](const TakenRun &run) { return now - run.at >= TargetMemory; });
    taken_.push_back({server, now});
    ++*inProgress_;
    return {inProgress_.get(), [counter = inProgress_](const void *) {
                --*counter;
            }};
}

int StragglerTracker::takenLately(std::uint64_t server) const
{
    const TimePoint now = loop_.now();
    return static_cast<int>(
        std::count_if(taken_.begin(), taken_.end(), [&](const TakenRun &run) { return run.server == server && now - run.at < TargetMemory; }));
}

void StragglerTracker::notePause(Duration pause)
{
    const auto difference = static_cast<double>((std::clamp(pause, Duration(0), MaxPause) - pause_).count());
    pause_ += Duration(static_cast<std::int64_t>(difference * NewPauseWeight));
}

Duration StragglerTracker::expectedPause() const
{
    return pause_;
}

void StragglerTracker::noteWhole(const std::string &service, std::uint64_t events, std::int64_t maxTokens)
{
    if (maxTokens <= 0 || events == 0 || (lengths_.size() >= MaxServices && !lengths_.contains(service))) {
        return;
    }
    Lengths &lengths = lengths_[service];
    lengths.events = lengths.events * LengthDecay + static_cast<double>(events);
    lengths.tokens = lengths.tokens * LengthDecay + static_cast<double>(maxTokens);
}

double StragglerTracker::expectedEvents(const std::string &service, std::int64_t maxTokens) const
{
    const auto found = lengths_.find(service);
    return found == lengths_.end() || maxTokens <= 0 ? 0 : found->second.events / found->second.tokens * static_cast<double>(maxTokens);
}

} // namespace cardamomlift::stragglers
