#pragma once

#include "support/routefleet.h"

#include <string>
#include <utility>
#include <vector>

namespace cardamomlift::test {

/// A caller that reads one stream, over as many tries as it takes.
struct StreamReader {
    std::string name;
    int entry = 0; ///< The VM of the next try.
    int tries = 0;
    std::string firstTry; ///< The one that brought the first event.
    TestCallPtr call; ///< Null between two tries.
    std::vector<std::pair<int, std::string>> events; ///< Number and worker, of the tries before.
    TimePoint startedAt;
    TimePoint returnsAt;
    bool isOver = false;
    bool isWhole = false;
};

/// Callers of streams whose workers name themselves in each event, and are called "version-number".
class StreamReaders
{
public:
    /// @p entries: VMs of the fleet; @p events: of each stream, in intervals of @p eventGapMs.
    StreamReaders(RouteFleet &fleet, int entries, int events, int eventGapMs);

    void addWorker(const std::string &instance);
    void start(int entry);
    /// All callers whose answers run leave, and come again at once at other VMs.
    void leaveAndReturn();
    /// Lets callers come again whose tries have ended; they give up @p patience after they began.
    void step(milliseconds patience);
    /// Until all are served or have given up.
    void finish(milliseconds patience);
    /// Each event came once and in order. Returns the streams with events of more than one version.
    int countMixed() const;
    int countWhole() const;
    /// Attempts to resume a stream, and those among them that brought an event or its end.
    std::pair<int, int> countResumed() const;
    std::size_t size() const;

private:
    void startTry(StreamReader &reader);
    void endTry(StreamReader &reader);
    TimePoint now();
    RouteFleet &fleet_;
    int entries_;
    int events_;
    int eventGapMs_;
    std::vector<StreamReader> readers_;
    int resumed_ = 0;
    int resumedWithEvents_ = 0;
};

} // namespace cardamomlift::test
