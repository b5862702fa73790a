#pragma once

#include "kernel/eventloop.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace cardamomlift::membership {

/// The load that a backend server reported last.
struct LoadReport {
    std::uint32_t running = 0; ///< Requests being processed.
    std::uint32_t waiting = 0; ///< Requests queued at the server.
    double kvUsed = 0.0; ///< Share of the KV cache in use, 0 to 1.
    bool leaving = false; ///< The server is about to shut down.
};

/// A report with the time since this VM received it. The delay within the server comes on top.
struct AgedLoadReport {
    LoadReport report;
    Duration age{0};
};

/// The latest load report of each backend server, by instance.
class LoadReports
{
public:
    static std::shared_ptr<LoadReports> create(EventLoop &loop);

    /// Stores a report that was piggybacked on an answer, or polled.
    void report(const std::string &instance, const LoadReport &report);
    /// Calls @p handler for each report stored.
    void onReport(std::function<void(const std::string &instance, const LoadReport &report)> handler);
    /// The latest report, or none if the server has sent none or its report was removed.
    std::optional<AgedLoadReport> load(const std::string &instance) const;
    void forget(const std::string &instance);
    /// Removes the reports of all instances for which @p isKept is false.
    void keepOnly(const std::function<bool(const std::string &instance)> &isKept);
    std::size_t size() const;

private:
    struct Entry {
        LoadReport report;
        TimePoint receivedAt;
    };
    LoadReports() = default;
    EventLoop *loop_ = nullptr;
    std::unordered_map<std::string, Entry> entries_;
    std::vector<std::function<void(const std::string &, const LoadReport &)>> handlers_;
};

} // namespace cardamomlift::membership
