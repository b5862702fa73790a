// Real daemons before workers that break streams off, with all ways in which the end of a body is told.

#include "support/routefleet.h"

#include <fmt/format.h>
#include <gtest/gtest.h>

using namespace cardamomlift;
using test::RouteFleet;
using test::TestCallPtr;

namespace {

constexpr int Entries = 2;
constexpr int Workers = 4;
constexpr int Requests = 40;
constexpr int Events = 8;
constexpr int EventsBeforeBreak = 3;

std::string events(const std::string &id, int count)
{
    std::string text;
    for (int i = 1; i <= count; i++) {
        text += fmt::format("id: {}\ndata: {} {}\n\n", i, id, i);
    }
    return text;
}

/// How workers break streams off, and what callers ask for.
struct Kind {
    std::string name;
    std::string path;
    int sound = 2; ///< Workers that break nothing off.
    bool unframed = true;
    std::string brokenPart = "id";
};

std::ostream &operator<<(std::ostream &out, const Kind &kind)
{
    return out << kind.name;
}

class BrokenOffStreams : public testing::TestWithParam<Kind>
{
};

// Guards against a stream that a server has broken off in order and that reaches its caller as a complete one.
TEST_P(BrokenOffStreams, ReachNoCallerAsCompleteOnes)
{
    const Kind &kind = GetParam();
    RouteFleet fleet(Entries, Workers);
    fleet.waitReady();
    for (int i = 0; i < Workers; i++) {
        Json::Value control;
        control["events"] = Events;
        control["unframed"] = kind.unframed;
        control["brokenPart"] = kind.brokenPart;
        control["breaksInOrder"] = true;
        control["breakAfter"] = i < kind.sound ? -1 : EventsBeforeBreak;
        fleet.controlWorker(fmt::format("worker-{}", i + 1), control);
    }
    int whole = 0;
    for (int i = 0; i < Requests; i++) {
        const std::string id = fmt::format("id-{}", i);
        const TestCallPtr call = fleet.caller.call(fleet.request(i % Entries + 1, kind.path, id));
        const bool isComplete = call->result.transport == http::Transport::Completed && call->status == 200;
        whole += isComplete ? 1 : 0;
        if (isComplete) {
            EXPECT_EQ(call->body, events(id, Events)) << id;
        } else {
            EXPECT_TRUE(events(id, Events - 1).starts_with(call->body)) << id << " got " << call->body;
            EXPECT_TRUE(call->body.ends_with("\n\n")) << id << " got " << call->body;
        }
    }
    std::printf("%d of %d whole\n", whole, Requests);
    EXPECT_TRUE(whole > 0 || kind.sound == 0);
    EXPECT_TRUE(whole == Requests || kind.sound < Workers);
}

INSTANTIATE_TEST_SUITE_P(Routes,
    BrokenOffStreams,
    testing::Values(Kind{"ResumableUnframed", "/stream/1"},
        Kind{"ResumableUnframedAfterALine", "/stream/1", 2, true, "lines"},
        Kind{"ResumableInChunks", "/stream/1", 2, false},
        Kind{"ResumableInChunksAfterALine", "/stream/1", 2, false, "lines"},
        Kind{"ResumableUnframedNoSoundWorker", "/stream/1", 0},
        Kind{"SingleUnframed", "/single/1"},
        Kind{"SingleUnframedAfterALine", "/single/1", 2, true, "lines"},
        Kind{"SingleInChunks", "/single/1", 2, false},
        Kind{"ResumableWholeUnframed", "/stream/1", Workers},
        Kind{"SingleWholeUnframed", "/single/1", Workers}),
    [](const auto &info) { return info.param.name; });

} // namespace
