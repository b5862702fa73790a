// What callers of an entry VM with contracts get while that VM is cut off from all engines and services, and another one is not.

#include "support/fleet.h"

#include <fmt/format.h>
#include <gtest/gtest.h>

#include <algorithm>

using namespace cardamomlift;
using test::Fleet;
using test::TestCallPtr;

namespace {

using std::chrono::milliseconds;

constexpr int StatusOk = 200;
constexpr int Tokens = 5;
constexpr char CutVm[] = "entry-cut";
constexpr char OtherVm[] = "entry-1";
/// Callers are served from this time after the cut on.
constexpr milliseconds CutKnownAfter(3000);
constexpr milliseconds RequestPeriod(100);

/// What the proxies do in each kind of cut, as standin-proxy knows it.
Json::Value faultsOf(const std::string &cut, bool isCut)
{
    Json::Value faults;
    if (cut == "hang") {
        faults["unanswered"] = isCut;
        return faults;
    }
    faults["closed"] = isCut;
    faults["closeAll"] = isCut && cut == "reset";
    return faults;
}

/// The parameters are the kind of cut and the kind of request. One VM has a list of its own, in which each engine and service is behind a proxy.
class ChatCutOff : public testing::TestWithParam<std::tuple<std::string, std::string>>
{
protected:
    ChatCutOff()
        : fleet_(2)
        , list_(test::Process::start("standin-platform", {}))
    {
        const std::string url = fmt::format("http://127.0.0.1:{}", list_->port());
        for (const char *entry : {"entry-1", "entry-2"}) {
            announceEntry(entry);
        }
        for (int i = 1; i <= 3; i++) {
            const std::string zone = fmt::format("zone-{}", i);
            addProxied(fmt::format("engine-{}", i), "model", zone, fleet_.addEngine(fmt::format("engine-{}", i), zone).port());
            addProxied(fmt::format("orders-{}", i), "service", zone, fleet_.addService(fmt::format("orders-{}", i), zone).port());
        }
        fleet_.addEntry(CutVm, "zone-1", [&url](Json::Value &settings) { settings["platform"]["vmListEndpoint"] = url; });
        announceEntry(CutVm);
        fleet_.waitReady();
    }

    void announceEntry(const std::string &entry)
    {
        const test::Process &process = *fleet_.processes[entry];
        fleet_.announceAt(*list_, entry, "entry", "zone-1", process.port("callers"), process.port("peers"));
    }

    void addProxied(const std::string &instance, const std::string &role, const std::string &zone, int port)
    {
        int proxyPort = 0;
        proxies_.push_back(&fleet_.addProxy(port, proxyPort));
        fleet_.announceAt(*list_, instance, role, zone, proxyPort);
    }

    void setCut(bool isCut)
    {
        for (test::Process *proxy : proxies_) {
            fleet_.controlProxy(*proxy, faultsOf(std::get<0>(GetParam()), isCut));
        }
    }

    http::ClientRequest request(const std::string &entry)
    {
        const std::string number = std::to_string(requests_++);
        const std::string &kind = std::get<1>(GetParam());
        if (kind == "stream") {
            return fleet_.chat(entry, "text " + number, Tokens);
        }
        if (kind == "answer") {
            return fleet_.chat(entry, "text " + number, Tokens, false);
        }
        return fleet_.serviceCall(entry, kind == "once" ? "/orders/orders" : "/orders/tags", "{}", kind == "once" ? "key-" + number : "");
    }

    /// Sends a request every RequestPeriod for @p time; returns how many were not served.
    std::size_t countFailures(const std::string &entry, milliseconds time)
    {
        std::vector<TestCallPtr> calls;
        const TimePoint end = now() + time;
        while (now() < end) {
            calls.push_back(fleet_.caller.start(request(entry)));
            waitFor(RequestPeriod);
        }
        fleet_.caller.waitEnded(calls, "all requests end");
        return static_cast<std::size_t>(std::count_if(calls.begin(), calls.end(), [&entry](const TestCallPtr &call) {
            const bool isServed = call->status == StatusOk && (std::get<1>(GetParam()) != "stream" || call->isWhole());
            if (!isServed) {
                std::printf("%s: status %d %s\n", entry.c_str(), call->status, call->errorCode().c_str());
            }
            return !isServed;
        }));
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

    Fleet fleet_;
    std::unique_ptr<test::Process> list_;
    std::vector<test::Process *> proxies_;
    int requests_ = 0;
};

// Guards against a VM that refuses what it can't send to a server itself, while other VMs reach the servers.
TEST_P(ChatCutOff, CallersAreServedThroughAnotherVm)
{
    EXPECT_EQ(countFailures(CutVm, milliseconds(500)), 0U);
    setCut(true);
    countFailures(CutVm, CutKnownAfter);
    EXPECT_EQ(countFailures(CutVm, milliseconds(2000)), 0U);
    EXPECT_EQ(countFailures(OtherVm, milliseconds(500)), 0U);
    http::ClientRequest marked = request(CutVm);
    marked.headers["Cardamomlift-Relay"] = "a guess";
    EXPECT_EQ(fleet_.caller.call(marked)->status, StatusOk) << "a caller can't pass for an entry VM";
    setCut(false);
    EXPECT_EQ(countFailures(CutVm, milliseconds(2000)), 0U) << "after the cut";
}

INSTANTIATE_TEST_SUITE_P(Chat,
    ChatCutOff,
    testing::Combine(testing::Values("hang", "reset", "refuseNew"), testing::Values("stream", "answer", "once", "again")),
    [](const auto &param) { return std::get<0>(param.param) + "_" + std::get<1>(param.param); });

} // namespace
