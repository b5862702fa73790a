// Two entry VMs in one process, before an engine that the test plays.

#include "gateway/chatstream.h"
#include "http/server.h"
#include "peers/localtransport.h"
#include "streams/streamregistry.h"

#include <fmt/format.h>
#include <gtest/gtest.h>

using namespace cardamomlift;
using namespace cardamomlift::streams;

namespace {

constexpr int MostTurns = 20000;

membership::Vm entryVm(const std::string &instance, const std::string &zone)
{
    membership::Vm vm;
    vm.instance = instance;
    vm.zone = zone;
    vm.region = "default";
    vm.address = "127.0.0.1";
    return vm;
}

std::string chunk(const std::string &id, int position, const std::string &text)
{
    return fmt::format("id: {}\ndata: {{\"id\":\"{}\",\"choices\":[{{\"delta\":{{\"content\":\"{}\"}}}}]}}\n\n", position, id, text);
}

/// One entry VM.
struct Node {
    std::shared_ptr<peers::LocalTransport> transport;
    std::shared_ptr<membership::Members> members;
    std::shared_ptr<metrics::Metrics> metrics = metrics::Metrics::create();
    std::shared_ptr<StreamRegistry> registry;
};

/// A caller's connection that takes no bytes.
class StuckResponder : public http::Responder
{
public:
    void respond(http::Response) override
    {
    }

    void startStream(int, http::Headers) override
    {
        isStreaming_ = true;
    }

    void write(std::string_view bytes) override
    {
        buffered_ += isAborted ? 0 : bytes.size();
    }

    void finish() override
    {
    }

    void abort() override
    {
        isAborted = true;
    }

    bool isClosed() const override
    {
        return isAborted;
    }

    bool isStreaming() const override
    {
        return isStreaming_;
    }

    std::size_t bufferedBytes() const override
    {
        return buffered_;
    }

    void onClosed(std::function<void()>) override
    {
    }

    bool isAborted = false;

private:
    bool isStreaming_ = false;
    std::size_t buffered_ = 0;
};

class StreamRegistryTest : public testing::Test
{
protected:
    StreamRegistryTest()
    {
        loop_ = std::move(EventLoop::create(clock_).value());
        client_ = std::move(http::Client::create(*loop_).value());
        engine_ =
            std::move(http::Server::create(*loop_, {}, [this](const http::Request &request, const auto &responder) { onEngine(request, responder); }).value());
        list_ = {entryVm("entry-1", "zone-1"), entryVm("entry-2", "zone-2"), entryVm("engine-1", "zone-3")};
        list_[2].role = membership::VmRole::Model;
        list_[2].port = engine_->port();
        list_[2].serves = {"model"};
        start(first_, "entry-1", "zone-1");
        start(second_, "entry-2", "zone-2");
    }

    void start(Node &node, const std::string &instance, const std::string &zone)
    {
        node.transport = peers::LocalTransport::create(*loop_, network_, instance);
        node.members = membership::Members::create(instance);
        node.members->applyList(list_);
        StreamRegistryTools tools;
        tools.session = {loop_.get(), engine::EngineClient::create(client_), makePlanner(node), node.metrics, node.members};
        tools.transport = node.transport;
        tools.zone = zone;
        node.registry = StreamRegistry::create(std::move(tools));
    }

    std::shared_ptr<retry::AttemptPlanner> makePlanner(Node &node)
    {
        const auto gossip = membership::Gossip::create(*loop_, node.transport);
        retry::PlannerTools tools;
        tools.clock = &clock_;
        tools.router = routing::Router::create(clock_, node.members);
        tools.suspects = suspects::SuspectTracker::create({loop_.get(), node.members, gossip, node.metrics});
        tools.members = node.members;
        tools.metrics = node.metrics;
        return retry::AttemptPlanner::create(std::move(tools));
    }

    void onEngine(const http::Request &request, const std::shared_ptr<http::Responder> &responder)
    {
        if (request.method == "DELETE") {
            cancelled_.push_back(request.path);
            responder->respond({200, {}, {}});
            return;
        }
        if (request.method == "GET" && hasForgotten_) {
            responder->respond({404, {}, {}});
            return;
        }
        readers_.push_back(responder);
        asked_.push_back(request.method + " " + request.path);
        responder->startStream(200, {{"Content-Type", "text/event-stream"}});
    }

    std::shared_ptr<StreamSession> openStream()
    {
        StreamState state;
        state.requestId = first_.registry->newRequestId();
        state.customer = "customer";
        state.model = "model";
        state.messagesJson = "[]";
        state.maxTokens = 10;
        auto session = first_.registry->open(state, [this] { isAccepted_ = true; });
        read(session, 0);
        turnUntil([&] { return isAccepted_ && !readers_.empty(); });
        return session;
    }

    void read(const std::shared_ptr<StreamSession> &session, std::uint64_t position)
    {
        StreamObserver observer;
        observer.onToken = [this](std::uint64_t at, const std::string &text) {
            heard_ += fmt::format("{}{} ", at, text);
        };
        observer.onFinished = [this] {
            heard_ += "end";
        };
        observer.onFailed = [this](const StreamFailure &failure) {
            heard_ += "failed: " + failure.message;
        };
        session->attach(position, observer);
    }

    /// Runs the loop until @p condition holds, with the clock standing still.
    void turnUntil(const std::function<bool()> &condition)
    {
        for (int i = 0; i < MostTurns && !condition(); i++) {
            clock_.advance(std::chrono::microseconds(100));
            loop_->runDue();
            usleep(100);
        }
        EXPECT_TRUE(condition());
    }

    void pass(Duration time)
    {
        clock_.advance(time);
        loop_->runDue();
        loop_->runDue();
    }

    ManualClock clock_;
    std::unique_ptr<EventLoop> loop_;
    std::shared_ptr<http::Client> client_;
    std::unique_ptr<http::Server> engine_;
    std::shared_ptr<peers::LocalNetwork> network_ = std::make_shared<peers::LocalNetwork>();
    std::vector<membership::Vm> list_;
    Node first_;
    Node second_;
    std::vector<std::shared_ptr<http::Responder>> readers_;
    std::vector<std::string> asked_;
    std::vector<std::string> cancelled_;
    std::string heard_;
    bool isAccepted_ = false;
    bool hasForgotten_ = false; ///< The engine no longer has its streams.
};

} // namespace

TEST_F(StreamRegistryTest, CopyStandsBeforeAcceptance)
{
    bool hadCopy = false;
    StreamState state;
    state.requestId = first_.registry->newRequestId();
    state.customer = "customer";
    state.model = "model";
    first_.registry->open(state, [&] {
        hadCopy = second_.registry->copyCount() == 1;
        isAccepted_ = true;
    });
    turnUntil([&] { return isAccepted_; });
    EXPECT_TRUE(hadCopy);
}

TEST_F(StreamRegistryTest, WithoutAPeerARequestIsServedAndCounted)
{
    network_->cuts.insert({"entry-1", "entry-2"});
    openStream();
    EXPECT_EQ(first_.metrics->counter("copies_missing_total"), 1U);
}

TEST_F(StreamRegistryTest, BytesOfAnotherRequestAreNeverPassedOn)
{
    const auto session = openStream();
    const std::string own = session->state().attempts[0].engineRequestId;
    readers_[0]->write(chunk(own, 0, "a"));
    turnUntil([&] { return heard_ == "0a "; });
    // Right position, other request: a connection that the engine, or something between, has mixed up.
    readers_[0]->write(chunk("req-other-0", 1, "foreign"));
    readers_[0]->write("data: [DONE]\n\n");
    readers_[0]->finish();
    turnUntil([&] { return session->hasEnded() || session->state().attempts.size() > 1; });
    EXPECT_EQ(heard_.find("foreign"), std::string::npos);
    EXPECT_EQ(heard_.find("end"), std::string::npos);
    EXPECT_EQ(session->state().tokens, std::vector<std::string>{"a"});
}

TEST_F(StreamRegistryTest, TokensOutOfOrderOrTwiceAreDropped)
{
    const auto session = openStream();
    const std::string own = session->state().attempts[0].engineRequestId;
    for (const int position : {0, 0, 2, 1, 1, 0, 2}) {
        readers_[0]->write(chunk(own, position, std::string(1, static_cast<char>('a' + position))));
    }
    readers_[0]->write("data: [DONE]\n\n");
    readers_[0]->finish();
    turnUntil([&] { return session->hasEnded(); });
    EXPECT_EQ(heard_, "0a 1b 2c end");
    EXPECT_EQ(session->state().tokens, (std::vector<std::string>{"a", "b", "c"}));
}

TEST_F(StreamRegistryTest, AnEndWithATokenMissingIsNoEnd)
{
    const auto session = openStream();
    const std::string own = session->state().attempts[0].engineRequestId;
    readers_[0]->write(chunk(own, 0, "a"));
    readers_[0]->write(chunk(own, 2, "c"));
    readers_[0]->write("data: [DONE]\n\n");
    readers_[0]->finish();
    turnUntil([&] { return session->hasEnded(); });
    EXPECT_EQ(heard_, "0a failed: No server is left on which this request has not failed.");
}

TEST_F(StreamRegistryTest, ANewOwnerJoinsTheEnginesStreamAndThePreviousOneStops)
{
    const auto session = openStream();
    const std::string own = session->state().attempts[0].engineRequestId;
    readers_[0]->write(chunk(own, 0, "a"));
    turnUntil([&] { return heard_ == "0a "; });
    std::shared_ptr<StreamSession> taken;
    second_.registry->find(session->state().requestId, "customer", [&](const FindResult &result) { taken = result.session; });
    turnUntil([&] { return taken && readers_.size() == 2; });
    ASSERT_TRUE(taken);
    read(taken, 1);
    EXPECT_TRUE(session->hasEnded());
    EXPECT_EQ(asked_[1], "GET /v1/streams/" + own);
    // A late byte at the previous owner changes nothing.
    readers_[0]->write(chunk(own, 1, "late"));
    readers_[1]->write(chunk(own, 1, "b"));
    readers_[1]->write("data: [DONE]\n\n");
    readers_[1]->finish();
    turnUntil([&] { return taken->hasEnded(); });
    EXPECT_EQ(heard_, "0a 1b end");
    EXPECT_TRUE(cancelled_.empty());
}

TEST_F(StreamRegistryTest, AStreamThatTheEngineForgotGoesOnAsANewAttempt)
{
    const auto session = openStream();
    readers_[0]->write(chunk(session->state().attempts[0].engineRequestId, 0, "a"));
    turnUntil([&] { return heard_ == "0a "; });
    hasForgotten_ = true;
    std::shared_ptr<StreamSession> taken;
    second_.registry->find(session->state().requestId, "customer", [&](const FindResult &result) { read(taken = result.session, 1); });
    turnUntil([&] { return readers_.size() == 2; });
    ASSERT_TRUE(taken);
    // The one server there is has done nothing wrong.
    EXPECT_EQ(taken->state().attempts.size(), 2U);
    readers_[1]->write(chunk(taken->state().attempts[1].engineRequestId, 1, "b"));
    turnUntil([&] { return heard_ == "0a 1b "; });
}

TEST_F(StreamRegistryTest, ALostCallersStreamIsCancelledAfterTheResumeWindow)
{
    const auto session = openStream();
    first_.registry->onReaderDisconnected(session->state().requestId);
    pass(std::chrono::seconds(9));
    EXPECT_FALSE(session->hasEnded());
    pass(std::chrono::seconds(2));
    pass(std::chrono::seconds(1));
    EXPECT_TRUE(session->hasEnded());
    turnUntil([&] { return !cancelled_.empty() && second_.registry->copyCount() == 0; });
    EXPECT_EQ(cancelled_.size(), 1U);
}

TEST_F(StreamRegistryTest, ASlowCallersBufferIsBoundedAndItsRequestResumes)
{
    const auto session = openStream();
    const std::string own = session->state().attempts[0].engineRequestId;
    gateway::GatewayTools tools;
    tools.callerBufferBytes = 1000;
    tools.metrics = first_.metrics;
    tools.streamRegistry = first_.registry;
    const auto responder = std::make_shared<StuckResponder>();
    gateway::streamTo(tools, session, responder, 0);
    for (int i = 0; i < 50; i++) {
        readers_[0]->write(chunk(own, i, "t"));
    }
    turnUntil([&] { return session->state().tokens.size() == 50; });
    EXPECT_TRUE(responder->isAborted);
    EXPECT_LT(responder->bufferedBytes(), 2000U);
    EXPECT_EQ(first_.metrics->counter("slow_callers_total"), 1U);
    EXPECT_TRUE(session->isDetached());
    read(session, 48);
    EXPECT_EQ(heard_, "48t 49t ");
}

TEST_F(StreamRegistryTest, ADetachedRequestStartsNoNewAttempt)
{
    const auto session = openStream();
    first_.registry->onReaderDisconnected(session->state().requestId);
    readers_[0]->abort();
    turnUntil([&] { return client_->openCalls() == 0; });
    EXPECT_EQ(session->state().attempts.size(), 1U);
    EXPECT_FALSE(session->hasEnded());
}

TEST_F(StreamRegistryTest, ALeavingVmRefusesCopies)
{
    second_.registry->startHandover();
    openStream();
    EXPECT_EQ(second_.registry->copyCount(), 0U);
    EXPECT_TRUE(first_.members->isLeaving("entry-2"));
}

TEST_F(StreamRegistryTest, AnotherCustomerFindsNothing)
{
    const auto session = openStream();
    int answers = 0;
    const auto expectUnknown = [&](const FindResult &result) {
        EXPECT_EQ(result.outcome, FindOutcome::NotFound);
        answers++;
    };
    first_.registry->find(session->state().requestId, "other", expectUnknown);
    second_.registry->find(session->state().requestId, "other", expectUnknown);
    turnUntil([&] { return answers == 2; });
    EXPECT_FALSE(session->hasEnded());
}
