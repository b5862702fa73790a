#pragma once

#include "duties/leaderlease.h"
#include "manifest/manifestcache.h"
#include "usage/usagecounter.h"

#include <functional>
#include <memory>

namespace cardamomlift::duties {

/// Dependencies of the reporter.
struct ReporterTools {
    EventLoop *loop = nullptr;
    std::shared_ptr<LeaderLease> lease;
    std::shared_ptr<LeaderApi> api;
    std::shared_ptr<usage::UsageCounter> usage;
    std::shared_ptr<manifest::ManifestCache> manifests;
    std::shared_ptr<presence::ClusterClock> time;
    std::shared_ptr<eventlog::EventLog> log;
    /// Whether some VMs send their counts only to the VM that they know as the leader. May be null: all VMs tell each other.
    std::function<bool()> needsCollecting;
};

/// Reports the usage of each window to the platform while this VM is the leader. A report is stored in the lease row before
/// it is sent. A later leader repeats the stored report, and never makes another one for the same window.
class UsageReporter : public std::enable_shared_from_this<UsageReporter>
{
public:
    static std::shared_ptr<UsageReporter> start(ReporterTools tools);
    ~UsageReporter();

private:
    explicit UsageReporter(ReporterTools tools);
    void tick();
    bool startReport();
    /// Whether a new leader still waits for the counts of VMs that did not know it before.
    bool isCollecting();
    std::int64_t nextWindow(const LeaseRow &row, std::int64_t current, WallTime now) const;
    UsageReport makeReport(std::int64_t window) const;
    void send();
    void onSent(std::int64_t window, LeaderCallOutcome outcome);
    ReporterTools tools_;
    bool busy_ = false;
    std::uint64_t fence_ = 0; ///< Of the lease when it was last seen held.
    TimePoint leaderSince_;
    TimerId timer_ = 0;
};

} // namespace cardamomlift::duties
