#include "standins/engine/scheduler.h"

#include <algorithm>
#include <cstdlib>

namespace cardamomlift::standins {

namespace {

constexpr int CrashExitCode = 1;

} // namespace

Scheduler::Scheduler(EventLoop &loop, const EngineOptions &options, EngineTotals &totals, KvStore &kv, std::function<void(const StreamPtr &)> onToken)
    : loop_(loop)
    , options_(options)
    , totals_(totals)
    , kv_(kv)
    , onToken_(std::move(onToken))
    , cache_(options.cacheBlocks)
    , events_(options.eventLag, options.eventLossPercent, options.instance)
    , history_(options.loadLag)
{
    cache_.onRemoved([this](std::uint64_t prefix) { events_.add(loop_.now(), "removed", prefix, PrefixCache::BlockTokens); });
}

void Scheduler::add(const StreamPtr &stream)
{
    waiting_[{stream->priority, arrivals_++}] = stream;
    fill();
    plan();
    recordLoad();
}

void Scheduler::remove(const StreamPtr &stream)
{
    std::erase(running_, stream);
    std::erase_if(waiting_, [&](const auto &entry) { return entry.second == stream; });
    fill();
    recordLoad();
}

void Scheduler::setLeaving()
{
    leaving_ = true;
    recordLoad();
}

EngineLoad Scheduler::load()
{
    return history_.seen(loop_.now());
}

Json::Value Scheduler::cacheEvents(std::uint64_t after) const
{
    return events_.after(loop_.now(), after);
}

void Scheduler::fill()
{
    while (!waiting_.empty() && running_.size() < options_.maxBatch) {
        const StreamPtr stream = waiting_.begin()->second;
        waiting_.erase(waiting_.begin());
        running_.push_back(stream);
        prefill(stream);
    }
}

void Scheduler::prefill(const StreamPtr &stream)
{
    if (!options_.crashOn.empty() && stream->messagesJson.find(options_.crashOn) != std::string::npos) {
        std::_Exit(CrashExitCode);
    }
    const std::int64_t all = stream->promptTokens + static_cast<std::int64_t>(stream->continued);
    const std::int64_t imported = stream->kvFrom.empty() ? 0 : kv_.take(*stream);
    const std::int64_t prefix = cache_.use(stream->messagesJson, stream->prefix);
    stream->cachedTokens = std::min(all, std::max(imported, prefix));
    const std::int64_t computed = all - stream->cachedTokens;
    totals_.prefilledTokens += static_cast<std::uint64_t>(computed);
    if (stream->continued > 0) {
        totals_.recomputedTokens += static_cast<std::uint64_t>(computed);
    }
    events_.add(loop_.now(), "stored", stream->prefix, stream->promptTokens);
    prefillUntil_ = std::max(prefillUntil_, loop_.now()) + std::chrono::microseconds(computed * 1000 / options_.prefillPerMs);
    stream->readyAt = prefillUntil_;
}

void Scheduler::plan()
{
    if (planned_ || running_.empty()) {
        return;
    }
    planned_ = true;
    const auto batch = static_cast<std::int64_t>(running_.size());
    Duration wait = std::chrono::milliseconds(options_.tokenMs);
    if (options_.batchSlowdown > 0) {
        wait += wait * batch / options_.batchSlowdown;
    }
    const auto first = std::min_element(running_.begin(), running_.end(), [](const StreamPtr &a, const StreamPtr &b) { return a->readyAt < b->readyAt; });
    wait = std::max(wait, std::chrono::duration_cast<Duration>((*first)->readyAt - loop_.now()));
    loop_.after(wait, [this] { step(); });
}

void Scheduler::step()
{
    planned_ = false;
    const TimePoint now = loop_.now();
    const std::vector<StreamPtr> batch = running_;
    for (const StreamPtr &stream : batch) {
        if (stream->readyAt <= now && !stream->cancelled) {
            makeToken(stream);
        }
    }
    std::erase_if(running_, [](const StreamPtr &stream) { return stream->finished || stream->cancelled; });
    fill();
    plan();
    recordLoad();
}

void Scheduler::makeToken(const StreamPtr &stream)
{
    if (static_cast<std::int64_t>(stream->produced) < stream->maxTokens) {
        stream->produced++;
        totals_.tokens++;
    }
    stream->finished = static_cast<std::int64_t>(stream->produced) >= stream->maxTokens;
    onToken_(stream);
}

void Scheduler::recordLoad()
{
    EngineLoad load;
    load.running = running_.size();
    load.waiting = waiting_.size();
    load.leaving = leaving_;
    std::int64_t tokens = 0;
    for (const StreamPtr &stream : running_) {
        tokens += stream->promptTokens + static_cast<std::int64_t>(stream->produced);
    }
    load.kvUsed = std::min(1.0, static_cast<double>(tokens) / static_cast<double>(options_.kvTokens));
    history_.record(loop_.now(), load);
}

} // namespace cardamomlift::standins
