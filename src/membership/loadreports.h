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

/// What a backend server last said about its load.
struct LoadReport {
    std::uint32_t running = 0; ///< Requests.
    std::uint32_t waiting = 0;
    double kvUsed = 0.0; ///< Share of the KV cache in use, 0 to 1.
    bool leaving = false;
};

/// A report with the time since it was heard here. The server's own lag comes on top.
struct AgedLoadReport {
    LoadReport report;
    Duration age{0};
};

/// The latest load report of each backend server this VM has heard from, by instance.
class LoadReports
{
public:
    static std::shared_ptr<LoadReports> create(EventLoop &loop);

    /// Takes a report: piggybacked on an answer, or polled.
    void report(const std::string &instance, const LoadReport &report);
    /// Calls @p handler for each report taken.
    void onReport(std::function<void(const std::string &instance, const LoadReport &report)> handler);
    /// The latest report, or none if the server was never heard or its report was forgotten.
    std::optional<AgedLoadReport> load(const std::string &instance) const;
    void forget(const std::string &instance);
    /// Forgets the reports of all instances for which @p isKept is false.
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
