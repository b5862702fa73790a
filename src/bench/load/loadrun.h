#pragma once

#include "bench/load/loadtypes.h"
#include "http/client.h"

#include <functional>
#include <memory>
#include <random>

namespace cardamomlift::bench {

/// Sends the whole schedule at its times, whatever becomes of earlier requests, and adds up what became of each.
class LoadRun
{
public:
    static std::unique_ptr<LoadRun> create(EventLoop &loop, http::Client &client, LoadOptions options);
    /// @p onDone is called when the last request has ended and the pages were read again.
    void start(std::function<void(const LoadResult &result)> onDone);

private:
    LoadRun() = default;
    void readPages(std::function<void(PageTotals metrics, PageTotals engines)> handler);
    void sendAll();
    void send(const Arrival &arrival);
    void finish();
    std::string anotherEntry();

    EventLoop *loop_ = nullptr;
    http::Client *client_ = nullptr;
    LoadOptions options_;
    LoadResult result_;
    PageTotals metricsBefore_;
    PageTotals enginesBefore_;
    std::size_t open_ = 0;
    std::mt19937_64 random_;
    TimePoint startedAt_;
    std::function<void(const LoadResult &)> onDone_;
};

} // namespace cardamomlift::bench
