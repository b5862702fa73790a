#pragma once

#include <algorithm>
#include <cstdint>
#include <deque>
#include <list>
#include <string>
#include <vector>

namespace cardamomlift::bench {

/// One request of the bench. Times in milliseconds since the start.
struct Job {
    double arrival = 0;
    std::size_t entry = 0; ///< VM that the balancer gave it to.
    std::string customer;
    int priority = 0; ///< 0 urgent, 1 normal, 2 deferrable.
    std::uint64_t prefix = 0;
    double prefixTokens = 0;
    double ownTokens = 0; ///< Of the prompt, after the prefix.
    double outputTokens = 0;
    double firstToken = -1;
    std::size_t engine = 0;
    int attempts = 0;
    bool done = false;
};

/// Times and sizes of a model engine.
struct EngineSpeed {
    double prefillPerMs = 10;
    double stepMs = 20;
    double batchForDoubleStep = 32; ///< A step takes twice as long with so many in the batch.
    std::size_t maxBatch = 32;
    std::size_t cachedPrefixes = 8;
};

/// An engine that batches, caches prefixes and computes prompts one after the other. It is a model of what a decision
/// meets, not of a cluster.
class EngineModel
{
public:
    explicit EngineModel(EngineSpeed speed)
        : speed_(speed)
    {
    }

    std::size_t running() const
    {
        return running_;
    }

    std::size_t waiting() const
    {
        return waiting_.size();
    }

    /// Takes a job into the batch or the queue; the index is the caller's.
    void add(std::size_t job, int priority)
    {
        auto place = waiting_.begin();
        while (place != waiting_.end() && place->priority <= priority) {
            ++place;
        }
        waiting_.insert(place, {job, priority});
    }

    /// The next job that fits into the batch, or false.
    bool takeNext(std::size_t &job)
    {
        if (waiting_.empty() || running_ >= speed_.maxBatch) {
            return false;
        }
        job = waiting_.front().job;
        waiting_.pop_front();
        running_++;
        return true;
    }

    /// Computes the prompt: returns when its first token comes, and fills @p cached with the tokens found in the cache.
    double prefill(const Job &job, double now, double &cached)
    {
        cached = touch(job.prefix) ? job.prefixTokens : 0;
        prefillUntil_ = std::max(prefillUntil_, now) + (job.prefixTokens - cached + job.ownTokens) / speed_.prefillPerMs;
        return prefillUntil_ + step();
    }

    double step() const
    {
        return speed_.stepMs * (1 + static_cast<double>(running_) / speed_.batchForDoubleStep);
    }

    void leave()
    {
        running_--;
    }

    /// Everything in it is lost.
    void die()
    {
        running_ = 0;
        waiting_.clear();
        cache_.clear();
    }

private:
    struct Waiting {
        std::size_t job = 0;
        int priority = 0;
    };

    bool touch(std::uint64_t prefix)
    {
        const auto found = std::find(cache_.begin(), cache_.end(), prefix);
        const bool hit = found != cache_.end();
        if (hit) {
            cache_.erase(found);
        }
        cache_.push_front(prefix);
        if (cache_.size() > speed_.cachedPrefixes) {
            cache_.pop_back();
        }
        return hit;
    }

    EngineSpeed speed_;
    std::size_t running_ = 0;
    std::deque<Waiting> waiting_;
    std::list<std::uint64_t> cache_;
    double prefillUntil_ = 0;
};

} // namespace cardamomlift::bench
