#include "peers/grpctransport.h"

#include "kernel/module.h"
#include "kernel/runtime.h"
#include "settings/settingsreader.h"

#include <gtest/gtest.h>

#include <thread>

using namespace cardamomlift;
using peers::GrpcTransport;

namespace {

constexpr char Topic[] = "test.topic";
constexpr Duration ShortTimeout = std::chrono::milliseconds(200);
constexpr Duration LongTimeout = std::chrono::minutes(10);

/// One side of a call: a loop and what listens on it.
struct Side {
    explicit Side(std::string instance)
        : loop(std::move(EventLoop::create(clock).value()))
    {
        peers::GrpcOptions options;
        options.instance = std::move(instance);
        options.token = "peer-token";
        transport = GrpcTransport::create(*loop, options).value();
    }

    peers::PeerAddress address() const
    {
        return {"b", "127.0.0.1", transport->port()};
    }

    SystemClock clock;
    std::unique_ptr<EventLoop> loop;
    std::shared_ptr<peers::PeerTransport> transport;
};

/// Runs the loops until @p condition holds; the time limit of the test ends a wait in vain.
template<class Condition>
void runUntil(Condition condition, std::initializer_list<EventLoop *> loops)
{
    while (!condition()) {
        for (EventLoop *loop : loops) {
            loop->runDue();
        }
        std::this_thread::yield();
    }
}

/// A reply that holds @p token until gRPC has let go of it.
peers::Reply replyHolding(std::shared_ptr<int> token)
{
    return [token = std::move(token)](const Result<std::string> &) {
    };
}

std::unique_ptr<Module> moduleNamed(std::string_view name)
{
    auto modules = createModules();
    for (auto &module : modules.value()) {
        if (module->name() == name) {
            return std::move(module);
        }
    }
    return nullptr;
}

} // namespace

TEST(GrpcTransport, AnswersACall)
{
    Side caller("a");
    Side server("b");
    server.transport->handle(Topic, [](const std::string &from, const std::string &payload, const peers::Reply &reply) { reply(from + payload); });
    std::string answer;
    caller.transport->send(server.address(), Topic, "-asks", LongTimeout, [&](Result<std::string> payload) { answer = payload.value(); });
    runUntil([&] { return !answer.empty(); }, {caller.loop.get(), server.loop.get()});
    EXPECT_EQ(answer, "a-asks");
}

TEST(GrpcTransport, CallThatEndsAfterTheLoopTouchesNothing)
{
    Side server("b");
    auto token = std::make_shared<int>(0);
    const std::weak_ptr<int> held = token;
    {
        Side caller("a");
        // The server's loop does not run, so the call ends by its timeout.
        caller.transport->send(server.address(), Topic, "", ShortTimeout, replyHolding(std::move(token)));
    }
    runUntil([&] { return held.expired(); }, {});
}

TEST(GrpcTransport, EndsWithAnUnansweredCall)
{
    Side caller("a");
    auto server = std::make_unique<Side>("b");
    std::vector<peers::Reply> kept;
    server->transport->handle(Topic, [&](const std::string &, const std::string &, const peers::Reply &reply) { kept.push_back(reply); });
    bool ended = false;
    const auto onAnswer = [&](const Result<std::string> &payload) {
        EXPECT_FALSE(payload);
        ended = true;
    };
    caller.transport->send(server->address(), Topic, "", LongTimeout, onAnswer);
    runUntil([&] { return !kept.empty(); }, {server->loop.get()});
    server.reset();
    runUntil([&] { return ended; }, {caller.loop.get()});
    kept.front()(std::string("too late"));
}

TEST(GrpcTransport, ModuleStopsItThoughOthersHoldIt)
{
    Side server("b");
    SystemClock clock;
    auto loop = std::move(EventLoop::create(clock).value());
    auto runtime = std::make_shared<Runtime>();
    runtime->loop = loop.get();
    Context context;
    context.set(runtime);
    context.set(std::make_shared<settings::Settings>(settings::standaloneSettings()));
    const auto metrics = moduleNamed("metrics");
    const auto peersModule = moduleNamed("peers");
    ASSERT_TRUE(metrics->start(context));
    ASSERT_TRUE(peersModule->start(context));
    const auto holder = context.get<peers::PeerTransport>();
    auto token = std::make_shared<int>(0);
    const std::weak_ptr<int> held = token;
    holder->send(server.address(), Topic, "", ShortTimeout, replyHolding(std::move(token)));
    peersModule->stop(context);
    loop.reset();
    runUntil([&] { return held.expired(); }, {});
}

TEST(GrpcTransport, ModuleThatNeverStartedCanStop)
{
    Context context;
    moduleNamed("peers")->stop(context);
}
