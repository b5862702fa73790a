#include "pace/pacetracker.h"

namespace cardamomlift::pace {

PaceTracker::PaceTracker(EventLoop &loop)
    : loop_(loop)
{
}

std::shared_ptr<PaceTracker> PaceTracker::create(EventLoop &loop)
{
    return std::shared_ptr<PaceTracker>(new PaceTracker(loop));
}

void PaceTracker::noteAnnounced(const std::string & /*instance*/, double /*factor*/)
{
}

void PaceTracker::noteEvents(const std::string & /*instance*/, const std::string & /*service*/, std::size_t /*events*/, Duration /*time*/)
{
}

void PaceTracker::noteAnswer(const std::string & /*instance*/, const std::string & /*service*/, Duration /*time*/)
{
}

void PaceTracker::noteFirstByte(const std::string & /*service*/, std::int64_t /*prefillTokens*/, Duration /*time*/)
{
}

PaceEstimate PaceTracker::paceOf(std::uint64_t /*server*/, const std::string & /*service*/) const
{
    return {};
}

std::optional<FirstByteModel> PaceTracker::firstByteModel(const std::string & /*service*/) const
{
    return std::nullopt;
}

std::vector<presence::ServerPace> PaceTracker::pacesToShare() const
{
    return {};
}

std::vector<presence::ServiceFirstByte> PaceTracker::firstBytesToShare() const
{
    return {};
}

void PaceTracker::applyPeer(const presence::Status & /*status*/)
{
}

void PaceTracker::tick()
{
}

} // namespace cardamomlift::pace
