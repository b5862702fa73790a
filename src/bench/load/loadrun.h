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
    /// Reads every page that answers; a page that does not keeps its last values, so that nothing of a VM that went is lost.
    void readPages(std::function<void()> handler);
    void readPage(const std::string &url, const std::function<void()> &closeOne);
    void watchPages();
    void notePeaks();
    PageTotals sumOf(const std::vector<std::string> &urls) const;
    void sendAll();
    void send(const Arrival &arrival);
    void finish();
    std::string anotherEntry();

    EventLoop *loop_ = nullptr;
    http::Client *client_ = nullptr;
    LoadOptions options_;
    LoadResult result_;
    std::map<std::string, PageTotals> pages_; ///< Last values, by the page's URL.
    PageTotals metricsBefore_;
    PageTotals enginesBefore_;
    double lastTokens_ = 0;
    TimePoint lastTokensAt_;
    std::size_t open_ = 0;
    TimerId watch_ = 0;
    std::mt19937_64 random_;
    TimePoint startedAt_;
    std::function<void(const LoadResult &)> onDone_;
};

} // namespace cardamomlift::bench
