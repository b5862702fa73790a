// The platform's table does not answer, from soon after the start to the end.

#include "support/fleet.h"
#include "support/streaming.h"

#include <gtest/gtest.h>

#include <csignal>

using namespace cardamomlift;
using test::Fleet;
using test::StreamedAnswer;

namespace {

constexpr int StreamsOfVm = 15;
constexpr int Tokens = 100;
constexpr int Waves = 3;

void stopTable(Fleet &fleet)
{
    Json::Value json;
    json["down"] = true;
    fleet.controlPlatform("/control/table", json);
}

/// What a customer's first request at a VM takes from the table, it holds from then on.
void useEachVmOnce(Fleet &fleet)
{
    for (const std::string &entry : fleet.entryNames) {
        EXPECT_EQ(fleet.caller.call(fleet.chat(entry, "first", 1))->status, 200);
    }
}

std::vector<StreamedAnswer> startAtAll(Fleet &fleet)
{
    std::vector<StreamedAnswer> answers;
    for (const std::string &entry : fleet.entryNames) {
        auto more = test::startStreams(fleet, entry, StreamsOfVm, Tokens);
        std::move(more.begin(), more.end(), std::back_inserter(answers));
    }
    test::waitTokens(fleet, answers, 5);
    return answers;
}

void waitEnded(Fleet &fleet, const std::vector<StreamedAnswer> &answers)
{
    const auto hasEnded = [](const auto &answer) {
        return answer.call->ended;
    };
    fleet.caller.waitUntil([&] { return std::all_of(answers.begin(), answers.end(), hasEnded); }, "the ends");
}

std::string outcomeOf(const test::TestCallPtr &call)
{
    return call->json()["error"]["code"].asString() + " " + std::string(http::headerValue(call->headers, "Cardamomlift-Outcome"));
}

http::ClientRequest departmentChat(Fleet &fleet, const std::string &entry)
{
    http::ClientRequest request = fleet.chat(entry, "a status check", 5);
    request.headers["Authorization"] = std::string("Bearer ") + test::DepartmentKey;
    request.body.replace(request.body.find("proofreader"), std::string("proofreader").size(), "crew-desk");
    return request;
}

} // namespace

TEST(TableOutage, AcceptedStreamsAndNewModelRequestsGoOn)
{
    Fleet fleet(3);
    fleet.addEngine("engine-1", "zone-1", {"--token-ms", "20"});
    fleet.addEngine("engine-2", "zone-2", {"--token-ms", "20"});
    fleet.waitReady();
    useEachVmOnce(fleet);
    std::vector<StreamedAnswer> answers = startAtAll(fleet);
    stopTable(fleet);
    waitEnded(fleet, answers);
    EXPECT_EQ(test::faultsOf(answers), "");
    for (int wave = 0; wave < Waves; wave++) {
        answers = startAtAll(fleet);
        waitEnded(fleet, answers);
        EXPECT_EQ(test::faultsOf(answers), "") << "wave " << wave;
    }
}

TEST(TableOutage, AReclaimDuringItLosesNothing)
{
    Fleet fleet(3);
    fleet.addEngine("engine-1", "zone-4", {"--token-ms", "20"});
    fleet.waitReady();
    useEachVmOnce(fleet);
    stopTable(fleet);
    std::vector<StreamedAnswer> answers = test::startStreams(fleet, "entry-1", StreamsOfVm, Tokens);
    test::waitTokens(fleet, answers, 5);
    fleet.reclaim("entry-1", 20);
    fleet.caller.waitUntil([&] { return fleet.processes["entry-1"]->log().find("Handing over.") != std::string::npos; }, "the handover");
    fleet.processes["entry-1"]->signal(SIGKILL);
    fleet.processes["entry-1"]->wait();
    test::resumeAll(fleet, answers, {"entry-2", "entry-3"});
    EXPECT_EQ(test::faultsOf(answers), "");
}

TEST(TableOutage, WhatNeedsTheTableIsRefusedAsNotRun)
{
    Fleet fleet(2);
    fleet.addEngine("engine-1", "zone-1");
    test::Process &service = fleet.addService("service-1", "zone-1");
    fleet.waitReady();
    useEachVmOnce(fleet);
    stopTable(fleet);
    // The department asked for nothing before, so no VM holds money of it.
    const auto first = fleet.caller.call(departmentChat(fleet, "entry-1"));
    EXPECT_EQ(first->status, 503) << first->body;
    EXPECT_EQ(outcomeOf(first), "table_down not-run");
    const auto order = fleet.caller.call(fleet.serviceCall("entry-1", "/orders/orders", "{}", "order-1"));
    EXPECT_EQ(order->status, 503) << order->body;
    EXPECT_EQ(outcomeOf(order), "table_down not-run");
    EXPECT_EQ(fleet.caller.get(service.port(), "/runs")->json()["runs"].asInt(), 0);
    const auto tag = fleet.caller.call(fleet.serviceCall("entry-1", "/orders/tags", "{}", ""));
    EXPECT_EQ(tag->status, 200) << "idempotent, and the co-op holds money: " << tag->body;
}
