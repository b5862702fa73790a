// Two of eight servers take four times as long as the others.

#include "support/routefleet.h"

#include <fmt/format.h>
#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <map>
#include <string>
#include <vector>

using namespace cardamomlift;
using std::chrono::milliseconds;
using test::RouteFleet;
using test::TestCallPtr;

namespace {

constexpr int Entries = 4;
constexpr int Workers = 8;
constexpr int StatusOk = 200;
/// What a server can do: requests at once, requests that wait there, and the time of one at the usual pace.
constexpr int Slots = 2;
constexpr int Queue = 6;
constexpr int WorkMs = 60;
constexpr double SlowPace = 4;
/// Requests come at this pace, over all VMs: a third of what the servers can do.
constexpr Duration RequestPeriod = std::chrono::microseconds(12'500);
/// Two and a half times the work.
constexpr milliseconds Goal(150);
constexpr double LeastOnTime = 0.95;
constexpr milliseconds CountedTime(6000);
/// The VMs know by then what the servers have announced, or what can be learnt of them.
constexpr milliseconds ToldAfter(2000);
constexpr milliseconds LearntAfter(5000);

struct Kind {
    std::string name;
    bool isAnnounced = false;
    milliseconds knownAfter{0};
};

std::ostream &operator<<(std::ostream &out, const Kind &kind)
{
    return out << kind.name;
}

/// Sends requests to all VMs in turn.
class Callers
{
public:
    explicit Callers(RouteFleet &fleet)
        : fleet_(fleet)
    {
    }

    /// Sends for @p time and returns the fraction of the requests that were served within the goal. The time for which a server's process
    /// did not get to run counts as the machine's, not as the request's.
    double onTimeFraction(milliseconds time)
    {
        const TimePoint end = now() + time;
        for (TimePoint next = now(); next < end; next += RequestPeriod) {
            fleet_.caller.waitUntil(
                [&] {
                    noteEnded();
                    return now() >= next;
                },
                "the next request");
            const std::string id = fmt::format("request-{}", sent_);
            calls_.push_back({fleet_.caller.start(fleet_.request(sent_ % Entries + 1, "/safe/1", id)), now(), id});
            sent_++;
        }
        fleet_.caller.waitUntil(
            [&] {
                noteEnded();
                return calls_.empty();
            },
            "the requests end");
        return fractionInTime();
    }

private:
    struct Call {
        TestCallPtr call;
        TimePoint sentAt;
        std::string id;
    };
    struct Answer {
        std::string id;
        int status = 0;
        Duration time{0};
    };

    TimePoint now()
    {
        return fleet_.caller.loop().now();
    }

    void noteEnded()
    {
        std::erase_if(calls_, [this](const Call &call) {
            if (call.call->ended) {
                answers_.push_back({call.id, call.call->status, now() - call.sentAt});
            }
            return call.call->ended;
        });
    }

    double fractionInTime()
    {
        std::map<std::string, Duration> lags;
        for (const test::Arrival &arrival : fleet_.allArrivals()) {
            lags[arrival.id] += arrival.lag;
        }
        const auto isInTime = [&lags](const Answer &answer) {
            return answer.status == StatusOk && answer.time - lags[answer.id] <= Goal;
        };
        const auto inTime = std::count_if(answers_.begin(), answers_.end(), isInTime);
        const double fraction = static_cast<double>(inTime) / static_cast<double>(answers_.size());
        answers_.clear();
        return fraction;
    }

    RouteFleet &fleet_;
    std::deque<Call> calls_;
    std::vector<Answer> answers_;
    int sent_ = 0;
};

class UnevenServersTest : public testing::TestWithParam<Kind>
{
};

// Guards against requests that wait at slow servers while fast ones have room.
TEST_P(UnevenServersTest, RequestsAreServedInTimeByTheFastOnes)
{
    const Kind &kind = GetParam();
    RouteFleet fleet(Entries, Workers);
    fleet.waitReady();
    fleet.waitKnown();
    int number = 0;
    for (const std::string &worker : fleet.workerNames()) {
        Json::Value control;
        control["slots"] = Slots;
        control["queue"] = Queue;
        control["workMs"] = WorkMs;
        control["pace"] = number++ < 2 ? SlowPace : 1.0;
        control["announcesPace"] = kind.isAnnounced;
        fleet.controlWorker(worker, control);
    }
    Callers callers(fleet);
    const double before = callers.onTimeFraction(kind.knownAfter);
    const double after = callers.onTimeFraction(CountedTime);
    RecordProperty("before", std::to_string(before));
    RecordProperty("after", std::to_string(after));
    EXPECT_GE(after, LeastOnTime) << "in time before: " << before;
}

INSTANTIATE_TEST_SUITE_P(
    Paces, UnevenServersTest, testing::Values(Kind{"announced", true, ToldAfter}, Kind{"learnt", false, LearntAfter}), [](const auto &info) {
        return info.param.name;
    });

} // namespace
