// What entry VMs make of what servers say of themselves in answers: that they leave, and that they want no more requests for some
// time. Counted at the servers.

#include "support/announcements.h"

#include <fmt/format.h>
#include <gtest/gtest.h>

#include <algorithm>

using namespace cardamomlift;
using test::AnnouncementBounds;
using test::AnnouncementReport;
using test::RouteFleet;
using test::SentRequest;
using test::TestCallPtr;

namespace {

using std::chrono::milliseconds;

constexpr int Entries = 4;
constexpr int Workers = 6;
constexpr int StatusOk = 200;
constexpr int StatusUnavailable = 503;
/// At each VM.
constexpr milliseconds RequestPeriod(10);
/// Two backoffs of three seconds.
constexpr milliseconds BackoffRun(6000);
/// Longer than the bound on leaving servers, and short enough for keys to be trusted all the time without the store.
constexpr milliseconds LeavingRun(3000);
const std::vector<std::string> AllWorkers{"worker-1", "worker-2", "worker-3", "worker-4", "worker-5", "worker-6"};

Json::Value refusing(const std::string &retryAfter)
{
    Json::Value control;
    control["full"] = true;
    control["retryAfter"] = retryAfter;
    return control;
}

Json::Value control(const char *name, const Json::Value &value = true)
{
    Json::Value json;
    json[name] = value;
    return json;
}

/// The parameter is the kind of route, as in the fleet's manifest.
class Announcements : public testing::TestWithParam<std::string>
{
protected:
    Announcements()
        : fleet_(Entries, Workers)
    {
        fleet_.waitReady();
        fleet_.waitKnown();
        for (const std::string &worker : AllWorkers) {
            fleet_.controlWorker(worker, control("events", 3));
        }
        // By then each VM has been granted the retries that it may save up.
        waitFor(milliseconds(3000));
    }

    TimePoint now()
    {
        return fleet_.caller.loop().now();
    }

    void waitFor(milliseconds time)
    {
        const TimePoint end = now() + time;
        fleet_.caller.waitUntil([&] { return now() >= end; }, "time passes");
    }

    void send(int entry)
    {
        const std::string id = fmt::format("id-{}", sent_.size());
        calls_.push_back(fleet_.caller.start(fleet_.request(entry, fmt::format("/{}/1", GetParam()), id)));
        sent_[id] = {entry, now(), calls_.back()};
    }

    /// Sends requests at all VMs, and calls @p onRound beside them.
    void sendFor(
        milliseconds time, const std::function<void()> &onRound = [] {})
    {
        const TimePoint end = now() + time;
        while (now() < end) {
            for (int entry = 1; entry <= Entries; entry++) {
                send(entry);
            }
            onRound();
            waitFor(RequestPeriod);
        }
        fleet_.caller.waitEnded(calls_, "all requests end");
    }

    std::size_t countStatus(int status) const
    {
        return static_cast<std::size_t>(std::count_if(calls_.begin(), calls_.end(), [status](const auto &call) { return call->status == status; }));
    }

    /// When the first server accepts requests of @p entry again, if each refusal asks for @p backoff.
    TimePoint earliestEnd(int entry, milliseconds backoff)
    {
        std::map<std::string, TimePoint> ends;
        for (const test::Arrival &arrival : fleet_.allArrivals()) {
            if (arrival.answeredAt && !arrival.backoff.empty() && sent_.at(arrival.id).entry == entry) {
                ends[arrival.server] = std::max(ends[arrival.server], *arrival.answeredAt + backoff);
            }
        }
        TimePoint earliest = TimePoint::max();
        for (const auto &[server, end] : ends) {
            earliest = std::min(earliest, end);
        }
        return earliest;
    }

    AnnouncementReport report(const std::string &name)
    {
        const AnnouncementReport report = test::checkAnnouncements(fleet_.allArrivals(), sent_);
        std::printf("%s, %s: %zu of %zu requests served; %zu backoffs, %zu pairs beyond the bound, %zu in one at most; %zu leavings, %zu late\n",
            name.c_str(),
            GetParam().c_str(),
            countStatus(StatusOk),
            calls_.size(),
            report.backoffs,
            report.pairsBeyondBound,
            report.mostInBackoff,
            report.leavings,
            report.lateAtLeaving);
        return report;
    }

    RouteFleet fleet_;
    std::map<std::string, SentRequest> sent_; ///< By id.
    std::vector<TestCallPtr> calls_;
};

// Guards against requests to servers that have turned the VM away for some time, while others have room.
TEST_P(Announcements, AServerThatAsksForABackoffIsLeftAlone)
{
    fleet_.controlWorker("worker-1", refusing("3"));
    fleet_.controlWorker("worker-2", refusing("3"));
    sendFor(BackoffRun);
    const AnnouncementReport seen = report("two back off");
    EXPECT_EQ(seen.backoffs, 2U * Entries) << "both have asked each VM";
    EXPECT_LE(seen.mostInBackoff, AnnouncementBounds().arrivalsInBackoff);
    // Each VM learns of each of the two backoffs of each of the two servers by a request that is turned away.
    EXPECT_GE(countStatus(StatusOk), calls_.size() - 4U * Entries) << "four servers have room";
}

// Guards against requests that are sent although all servers have asked for a backoff, and against callers who are told to come
// back before it ends.
TEST_P(Announcements, WhenAllServersBackOffCallersAreToldWhenToComeBack)
{
    constexpr milliseconds Backoff(2500);
    for (const std::string &worker : AllWorkers) {
        fleet_.controlWorker(worker, refusing("2.5"));
    }
    sendFor(milliseconds(1000));
    const AnnouncementReport seen = report("all back off");
    EXPECT_EQ(seen.backoffs, static_cast<std::size_t>(Entries * Workers)) << "all have asked each VM";
    EXPECT_LE(seen.mostInBackoff, AnnouncementBounds().arrivalsInBackoff);
    EXPECT_EQ(countStatus(StatusUnavailable), calls_.size());
    send(1);
    const TestCallPtr last = calls_.back();
    fleet_.caller.waitEnded(calls_, "the last request ends");
    const TimePoint answeredAt = now();
    EXPECT_EQ(last->status, StatusUnavailable);
    const std::string retryAfter(http::headerValue(last->headers, "Retry-After"));
    ASSERT_FALSE(retryAfter.empty());
    const auto wait = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(std::stod(retryAfter)));
    EXPECT_GE(answeredAt + wait, earliestEnd(1, Backoff)) << "no server accepts requests of this VM before";
    EXPECT_LE(wait, Backoff + Backoff / 2) << "callers return spread over half a backoff";
    for (const std::string &worker : AllWorkers) {
        fleet_.controlWorker(worker, control("full", false));
    }
    const auto isServed = [&] {
        return fleet_.caller.call(fleet_.request(1, fmt::format("/{}/1", GetParam()), "after"))->status == StatusOk;
    };
    EXPECT_TRUE(fleet_.caller.waitUntil(isServed, "requests are served again"));
}

// Guards against new requests to a server that says in its answers that it leaves, while the list has it as ready.
TEST_P(Announcements, AServerThatSaysItLeavesGetsNoNewRequests)
{
    fleet_.controlWorker("worker-1", control("announcesLeaving"));
    fleet_.controlWorker("worker-2", control("announcesLeaving"));
    sendFor(LeavingRun, [&] { fleet_.listWorker("worker-1", "ready"); });
    const AnnouncementReport seen = report("two leave");
    EXPECT_EQ(seen.leavings, 2U * Entries) << "both have told each VM";
    EXPECT_EQ(seen.lateAtLeaving, 0U);
    EXPECT_EQ(countStatus(StatusOk), calls_.size());
}

// Guards against new requests to a server that says in its answers that it leaves, while the store is away.
TEST_P(Announcements, AServerThatSaysItLeavesGetsNoNewRequestsInAnOutageOfTheStore)
{
    fleet_.setStoreFault("down");
    fleet_.controlWorker("worker-1", control("announcesLeaving"));
    sendFor(LeavingRun);
    const AnnouncementReport seen = report("one leaves, the store is away");
    EXPECT_EQ(seen.leavings, 1U * Entries) << "it has told each VM";
    EXPECT_EQ(seen.lateAtLeaving, 0U);
    EXPECT_EQ(countStatus(StatusOk), calls_.size());
}

INSTANTIATE_TEST_SUITE_P(Routes, Announcements, testing::Values("safe", "once", "stream", "single"), [](const auto &param) { return param.param; });

} // namespace
