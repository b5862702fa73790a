#pragma once

#include "eventlog/eventlog.h"
#include "kernel/eventloop.h"
#include "outliers/outlierstypes.h"
#include "presence/presencetypes.h"

#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

namespace cardamomlift::outliers {

/// Judges backend servers by what real requests came to, here and at the other entry VMs.
class OutlierDetector
{
public:
    static std::shared_ptr<OutlierDetector> create(EventLoop &loop, std::shared_ptr<eventlog::EventLog> log);

    void note(const std::string &instance, const std::string &service, Ending ending);
    /// @p server: presence::nameHash() of the instance.
    bool isOutlier(std::uint64_t server, const std::string &service) const;
    /// What the other VMs should hear: the servers with most failures. Nothing while most of the servers that this VM used
    /// lately gave no answer, since then the fault is likely its own.
    std::vector<presence::ServerOutcomes> told() const;
    /// Another VM's view; it replaces what that VM said before.
    void takeTold(const std::string &vm, std::span<const presence::ServerOutcomes> servers);
    /// Logs the servers whose standing has changed, and forgets what is too old to matter.
    void tick();

private:
    OutlierDetector(EventLoop &loop, std::shared_ptr<eventlog::EventLog> log);
    struct Entry {
        std::string instance;
        std::string service;
        OutcomeCounts outcomes;
        bool wasOutlier = false; ///< As logged last.
    };
    /// Empty if nobody has seen anything.
    std::optional<OutcomeCounts> known(std::uint64_t server) const;
    void dropTold(const std::string &vm);
    void logChange(std::uint64_t server, const Entry &entry, bool isNow);
    EventLoop &loop_;
    std::shared_ptr<eventlog::EventLog> log_;
    std::unordered_map<std::uint64_t, Entry> servers_; ///< By the hash of the instance: what this VM has seen.
    std::map<std::string, OutcomeCounts> services_; ///< All its servers together.
    /// What other VMs said, by the hash of the instance, by VM. Mostly empty: servers without failures are not told.
    std::unordered_map<std::uint64_t, std::map<std::string, OutcomeCounts>> told_;
    std::map<std::string, std::vector<std::uint64_t>> toldBy_; ///< By VM: the servers of its last word.
};

} // namespace cardamomlift::outliers
