#pragma once

#include "eventlog/eventlog.h"
#include "kernel/eventloop.h"
#include "outliers/outlierstypes.h"
#include "presence/presencetypes.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

namespace cardamomlift::outliers {

/// Passive outlier detection: finds backend servers that fail, from the outcomes of real requests at all entry VMs.
class OutlierDetector
{
public:
    static std::shared_ptr<OutlierDetector> create(EventLoop &loop, std::shared_ptr<eventlog::EventLog> log);

    void note(const std::string &instance, const std::string &service, Ending ending);
    /// @p server: presence::nameHash() of the instance.
    bool isOutlier(std::uint64_t server, const std::string &service) const;
    /// Forgets the failures that this VM has seen: it was cut off from the servers, so they are not the servers' fault.
    void forgetFailures();
    /// Sets the check whether this VM itself may be cut off from the servers. Then its outcomes are not shared.
    void setCutOffCheck(std::function<bool()> mayBeCutOff);
    /// Returns the outcomes of the servers with the most failures, for this VM's next status. Returns nothing while most of the
    /// servers that this VM used recently gave no answer, since the fault is then probably its own.
    std::vector<presence::ServerOutcomes> outcomesToShare() const;
    /// Applies the outcomes in another VM's status; they replace those of its previous one.
    void applyPeerOutcomes(const std::string &vm, std::span<const presence::ServerOutcomes> servers);
    /// Logs the servers that became outliers or ceased to be, and removes outcomes that are too old to matter.
    void tick();

private:
    OutlierDetector(EventLoop &loop, std::shared_ptr<eventlog::EventLog> log);
    struct Entry {
        std::string instance;
        std::string service;
        OutcomeCounts outcomes;
        bool wasOutlier = false; ///< What was last logged.
    };
    /// The outcomes at all VMs; empty if none are known.
    std::optional<OutcomeCounts> combinedOutcomes(std::uint64_t server) const;
    void dropPeerOutcomes(const std::string &vm);
    void logChange(std::uint64_t server, const Entry &entry, bool isOutlierNow);
    EventLoop &loop_;
    std::shared_ptr<eventlog::EventLog> log_;
    std::function<bool()> mayBeCutOff_;
    std::unordered_map<std::uint64_t, Entry> servers_; ///< This VM's outcomes, keyed by the hash of the instance.
    std::map<std::string, OutcomeCounts> services_; ///< This VM's outcomes of all servers of a service, keyed by service.
    /// Outcomes reported by other VMs, keyed by the hash of the instance, then by VM. Mostly empty, as servers without failures
    /// are not reported.
    std::unordered_map<std::uint64_t, std::map<std::string, OutcomeCounts>> peerOutcomes_;
    std::map<std::string, std::vector<std::uint64_t>> serversByPeer_; ///< The servers in the last status of each VM.
};

} // namespace cardamomlift::outliers
