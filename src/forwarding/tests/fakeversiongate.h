#pragma once

#include "forwarding/versiongate.h"

#include <string>
#include <vector>

namespace cardamomlift::forwarding {

/// VersionGate controlled by a test: one version may be on trial, and the next requests may be assigned to it.
class FakeVersionGate : public VersionGate
{
public:
    VersionPick pick(const std::string &, const std::string &) override
    {
        return nextPick;
    }

    void cancelTrial(const std::string &, const std::string &) override
    {
        cancelledTrials++;
    }

    Eligibility eligibility(const directory::BackendServer &server, VersionPick pick) override
    {
        const bool isOnTrial = !versionOnTrial.empty() && server.version == versionOnTrial;
        return isOnTrial == (pick == VersionPick::OnTrial) ? Eligibility::Preferred : Eligibility::None;
    }

    bool isRolloutInProgress(std::string_view) const override
    {
        return !versionOnTrial.empty();
    }

    bool servesRegularTraffic(const directory::BackendServer &server) override
    {
        return versionOnTrial.empty() || server.version != versionOnTrial;
    }

    void noteSent(const directory::BackendServer &) override
    {
        open++;
    }

    void noteEnded(const directory::BackendServer &) override
    {
        open--;
    }

    void noteOutcome(const directory::BackendServer &server, const std::string &, std::optional<Duration> timeToFirstByte) override
    {
        outcomes.push_back(server.version + (timeToFirstByte ? " answered" : " failed"));
    }

    std::string versionOnTrial;
    VersionPick nextPick = VersionPick::Usual;
    int cancelledTrials = 0;
    int open = 0; ///< Requests at servers that have not ended.
    std::vector<std::string> outcomes; ///< "version answered" or "version failed", in order.
};

} // namespace cardamomlift::forwarding
