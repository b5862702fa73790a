#pragma once

#include "kernel/eventloop.h"
#include "standins/engine/cacheevents.h"
#include "standins/engine/enginetypes.h"
#include "standins/engine/kvstore.h"
#include "standins/engine/loadhistory.h"
#include "standins/engine/prefixcache.h"

#include <functional>
#include <map>
#include <vector>

namespace cardamomlift::standins {

/// Continuous batching: the streams that run, those that wait, and the steps that make a token for each that runs.
class Scheduler
{
public:
    /// @p options, @p totals and @p kv must outlive it. @p onToken is called for a stream after each step.
    Scheduler(EventLoop &loop, const EngineOptions &options, EngineTotals &totals, KvStore &kv, std::function<void(const StreamPtr &)> onToken);

    void add(const StreamPtr &stream);
    void remove(const StreamPtr &stream);
    void setLeaving();
    EngineLoad load();
    Json::Value cacheEvents(std::uint64_t after) const;

private:
    void fill();
    void prefill(const StreamPtr &stream);
    void plan();
    void step();
    void makeToken(const StreamPtr &stream);
    void recordLoad();
    EventLoop &loop_;
    const EngineOptions &options_;
    EngineTotals &totals_;
    KvStore &kv_;
    std::function<void(const StreamPtr &)> onToken_;
    PrefixCache cache_;
    CacheEvents events_;
    LoadHistory history_;
    std::vector<StreamPtr> running_;
    std::map<std::pair<int, std::uint64_t>, StreamPtr> waiting_; ///< By priority, then arrival.
    std::uint64_t arrivals_ = 0;
    TimePoint prefillUntil_{};
    bool planned_ = false;
    bool leaving_ = false;
};

} // namespace cardamomlift::standins
