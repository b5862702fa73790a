#pragma once

#include "kernel/eventloop.h"
#include "stragglers/stragglertypes.h"

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <string>

namespace cardamomlift::stragglers {

/// What one VM knows of the runs that it moves off slow servers: how many at a time, to which servers, and how long they paused for it.
class StragglerTracker
{
public:
    /// A move in progress, until it is freed.
    using Ticket = std::shared_ptr<const void>;

    static std::shared_ptr<StragglerTracker> create(EventLoop &loop);

    /// Whether this VM may move a further run now.
    bool mayMove() const;
    /// @p server: presence::nameHash() of the target's instance.
    Ticket begin(std::uint64_t server);
    /// Late runs that went to the server a short time ago, or are on their way.
    int takenLately(std::uint64_t server) const;
    /// A moved run has paused for so long.
    void notePause(Duration pause);
    /// The pause of the next move within a failure domain.
    Duration expectedPause() const;

    /// A stream of @p service that might have had @p maxTokens has ended, with @p events events.
    void noteWhole(const std::string &service, std::uint64_t events, std::int64_t maxTokens);
    /// The events of a whole stream, as expected; 0: not known.
    double expectedEvents(const std::string &service, std::int64_t maxTokens) const;

private:
    explicit StragglerTracker(EventLoop &loop);
    struct TakenRun {
        std::uint64_t server = 0;
        TimePoint at;
    };
    struct Lengths {
        double events = 0;
        double tokens = 0;
    };
    EventLoop &loop_;
    std::shared_ptr<int> inProgress_ = std::make_shared<int>(0);
    std::deque<TakenRun> taken_; ///< In the order of time.
    Duration pause_;
    std::map<std::string, Lengths> lengths_; ///< By service.
};

} // namespace cardamomlift::stragglers
