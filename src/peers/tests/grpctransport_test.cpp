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

/// One end of a call: an event loop and its transport.
struct Endpoint {
    explicit Endpoint(std::string instance)
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

/// Runs the event loops until @p condition holds. If it never does, the time limit of the test ends the wait.
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

/// A reply that owns @p token, to show when the transport has destroyed the reply.
peers::Reply replyOwning(std::shared_ptr<int> token)
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
    Endpoint caller("a");
    Endpoint server("b");
    server.transport->handle(Topic, [](const std::string &from, const std::string &payload, const peers::Reply &reply) { reply(from + payload); });
    std::string answer;
    caller.transport->send(server.address(), Topic, "-asks", LongTimeout, [&](Result<std::string> payload) { answer = payload.value(); });
    runUntil([&] { return !answer.empty(); }, {caller.loop.get(), server.loop.get()});
    EXPECT_EQ(answer, "a-asks");
}

TEST(GrpcTransport, AnOpenCallDoesNotUseTheDestroyedEventLoop)
{
    Endpoint server("b");
    auto token = std::make_shared<int>(0);
    const std::weak_ptr<int> observer = token;
    {
        Endpoint caller("a");
        // The server's event loop does not run, so the call is still open when the caller's transport and loop are destroyed.
        caller.transport->send(server.address(), Topic, "", ShortTimeout, replyOwning(std::move(token)));
    }
    runUntil([&] { return observer.expired(); }, {});
}

TEST(GrpcTransport, DestructionFailsUnansweredCallsAndIgnoresLateAnswers)
{
    Endpoint caller("a");
    auto server = std::make_unique<Endpoint>("b");
    std::vector<peers::Reply> unanswered;
    server->transport->handle(Topic, [&](const std::string &, const std::string &, const peers::Reply &reply) { unanswered.push_back(reply); });
    bool ended = false;
    const auto onAnswer = [&](const Result<std::string> &payload) {
        EXPECT_FALSE(payload);
        ended = true;
    };
    caller.transport->send(server->address(), Topic, "", LongTimeout, onAnswer);
    runUntil([&] { return !unanswered.empty(); }, {server->loop.get()});
    server.reset();
    runUntil([&] { return ended; }, {caller.loop.get()});
    unanswered.front()(std::string("too late"));
}

TEST(GrpcTransport, ModuleStopsTheTransportWhileOthersOwnIt)
{
    Endpoint server("b");
    SystemClock clock;
    auto loop = std::move(EventLoop::create(clock).value());
    auto runtime = std::make_shared<Runtime>();
    runtime->loop = loop.get();
    Context context;
    context.set(runtime);
    context.set(std::make_shared<settings::Settings>(settings::standaloneSettings()));
    const auto metrics = moduleNamed("metrics");
    const auto peersModule = moduleNamed("peers");
    const auto clientBudget = moduleNamed("clientbudget");
    ASSERT_TRUE(metrics->start(context));
    ASSERT_TRUE(clientBudget->start(context));
    ASSERT_TRUE(peersModule->start(context));
    const auto transport = context.get<peers::PeerTransport>();
    auto token = std::make_shared<int>(0);
    const std::weak_ptr<int> observer = token;
    transport->send(server.address(), Topic, "", ShortTimeout, replyOwning(std::move(token)));
    peersModule->stop(context);
    loop.reset();
    runUntil([&] { return observer.expired(); }, {});
}

TEST(GrpcTransport, ModuleThatWasNeverStartedCanStop)
{
    Context context;
    moduleNamed("peers")->stop(context);
}
