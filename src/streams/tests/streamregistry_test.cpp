// Two entry VMs in one process, with an engine played by the test.

#include "gateway/chatstream.h"
#include "http/server.h"
#include "peers/localtransport.h"
#include "streams/streamregistry.h"

#include <fmt/format.h>
#include <gtest/gtest.h>

using namespace cardamomlift;
using namespace cardamomlift::streams;

namespace {

constexpr int MaxTurns = 20000;

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

/// An entry VM.
struct Node {
    std::shared_ptr<peers::LocalTransport> transport;
    std::shared_ptr<membership::Members> members;
    std::shared_ptr<metrics::Metrics> metrics = metrics::Metrics::create();
    std::shared_ptr<StreamRegistry> registry;
};

/// The connection of a caller that reads nothing: written bytes stay in its buffer.
class BlockedResponder : public http::Responder
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
        vms_ = {entryVm("entry-1", "zone-1"), entryVm("entry-2", "zone-2"), entryVm("engine-1", "zone-3")};
        vms_[2].role = membership::VmRole::Model;
        vms_[2].port = engine_->port();
        vms_[2].serves = {"model"};
        start(first_, "entry-1", "zone-1");
        start(second_, "entry-2", "zone-2");
    }

    void start(Node &node, const std::string &instance, const std::string &zone)
    {
        node.transport = peers::LocalTransport::create(*loop_, network_, instance);
        node.members = membership::Members::create(instance);
        node.members->applyList(vms_);
        StreamRegistryTools tools;
        tools.session = {loop_.get(), engine::EngineClient::create(client_, nullptr), makePlanner(node), node.metrics, node.members};
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
        if (request.method == "GET" && isStreamUnknown_) {
            responder->respond({404, {}, {}});
            return;
        }
        engineConnections_.push_back(responder);
        engineRequests_.push_back(request.method + " " + request.path);
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
        runUntil([&] { return isAccepted_ && !engineConnections_.empty(); });
        return session;
    }

    void read(const std::shared_ptr<StreamSession> &session, std::uint64_t position)
    {
        StreamObserver observer;
        observer.onToken = [this](std::uint64_t at, const std::string &text) {
            received_ += fmt::format("{}{} ", at, text);
        };
        observer.onFinished = [this] {
            received_ += "end";
        };
        observer.onFailed = [this](const StreamFailure &failure) {
            received_ += "failed: " + failure.message;
        };
        session->attach(position, observer);
    }

    /// Runs the loop until @p condition holds; the clock advances by 0.1 ms with each turn.
    void runUntil(const std::function<bool()> &condition)
    {
        for (int i = 0; i < MaxTurns && !condition(); i++) {
            clock_.advance(std::chrono::microseconds(100));
            loop_->runDue();
            usleep(100);
        }
        EXPECT_TRUE(condition());
    }

    void advance(Duration time)
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
    std::vector<membership::Vm> vms_;
    Node first_;
    Node second_;
    std::vector<std::shared_ptr<http::Responder>> engineConnections_;
    std::vector<std::string> engineRequests_;
    std::vector<std::string> cancelled_;
    std::string received_;
    bool isAccepted_ = false;
    bool isStreamUnknown_ = false; ///< The engine answers every resume with 404.
};

} // namespace

TEST_F(StreamRegistryTest, CopyIsStoredBeforeAcceptance)
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
    runUntil([&] { return isAccepted_; });
    EXPECT_TRUE(hadCopy);
}

TEST_F(StreamRegistryTest, RequestWithoutReachablePeerIsServedAndCounted)
{
    network_->blockedLinks.insert({"entry-1", "entry-2"});
    openStream();
    EXPECT_EQ(first_.metrics->counter("copies_missing_total"), 1U);
}

TEST_F(StreamRegistryTest, TokensOfAnotherRequestAreNeverForwarded)
{
    const auto session = openStream();
    const std::string own = session->state().attempts[0].engineRequestId;
    engineConnections_[0]->write(chunk(own, 0, "a"));
    runUntil([&] { return received_ == "0a "; });
    // Matching position but the id of another request, as if the engine or a proxy had mixed up connections.
    engineConnections_[0]->write(chunk("req-other-0", 1, "foreign"));
    engineConnections_[0]->write("data: [DONE]\n\n");
    engineConnections_[0]->finish();
    runUntil([&] { return session->hasEnded() || session->state().attempts.size() > 1; });
    EXPECT_EQ(received_.find("foreign"), std::string::npos);
    EXPECT_EQ(received_.find("end"), std::string::npos);
    EXPECT_EQ(session->state().tokens, std::vector<std::string>{"a"});
}

TEST_F(StreamRegistryTest, OutOfOrderAndDuplicateTokensAreDropped)
{
    const auto session = openStream();
    const std::string own = session->state().attempts[0].engineRequestId;
    for (const int position : {0, 0, 2, 1, 1, 0, 2}) {
        engineConnections_[0]->write(chunk(own, position, std::string(1, static_cast<char>('a' + position))));
    }
    engineConnections_[0]->write("data: [DONE]\n\n");
    engineConnections_[0]->finish();
    runUntil([&] { return session->hasEnded(); });
    EXPECT_EQ(received_, "0a 1b 2c end");
    EXPECT_EQ(session->state().tokens, (std::vector<std::string>{"a", "b", "c"}));
}

TEST_F(StreamRegistryTest, EndWithAMissingTokenFailsTheAttempt)
{
    const auto session = openStream();
    const std::string own = session->state().attempts[0].engineRequestId;
    engineConnections_[0]->write(chunk(own, 0, "a"));
    engineConnections_[0]->write(chunk(own, 2, "c"));
    engineConnections_[0]->write("data: [DONE]\n\n");
    engineConnections_[0]->finish();
    runUntil([&] { return session->hasEnded(); });
    EXPECT_EQ(received_, "0a failed: No server is left on which this request has not failed.");
}

TEST_F(StreamRegistryTest, NewOwnerResumesTheEnginesStreamAndThePreviousOwnerStops)
{
    const auto session = openStream();
    const std::string own = session->state().attempts[0].engineRequestId;
    engineConnections_[0]->write(chunk(own, 0, "a"));
    runUntil([&] { return received_ == "0a "; });
    std::shared_ptr<StreamSession> resumed;
    second_.registry->find(session->state().requestId, "customer", [&](const FindResult &result) { resumed = result.session; });
    runUntil([&] { return resumed && engineConnections_.size() == 2; });
    ASSERT_TRUE(resumed);
    read(resumed, 1);
    EXPECT_TRUE(session->hasEnded());
    EXPECT_EQ(engineRequests_[1], "GET /v1/streams/" + own);
    // A late token at the previous owner is ignored.
    engineConnections_[0]->write(chunk(own, 1, "late"));
    engineConnections_[1]->write(chunk(own, 1, "b"));
    engineConnections_[1]->write("data: [DONE]\n\n");
    engineConnections_[1]->finish();
    runUntil([&] { return resumed->hasEnded(); });
    EXPECT_EQ(received_, "0a 1b end");
    EXPECT_TRUE(cancelled_.empty());
}

TEST_F(StreamRegistryTest, StreamUnknownToTheEngineContinuesAsANewAttempt)
{
    const auto session = openStream();
    engineConnections_[0]->write(chunk(session->state().attempts[0].engineRequestId, 0, "a"));
    runUntil([&] { return received_ == "0a "; });
    isStreamUnknown_ = true;
    std::shared_ptr<StreamSession> resumed;
    second_.registry->find(session->state().requestId, "customer", [&](const FindResult &result) { read(resumed = result.session, 1); });
    runUntil([&] { return engineConnections_.size() == 2; });
    ASSERT_TRUE(resumed);
    // An unknown stream is no failure of the server: the new attempt goes to the same one.
    EXPECT_EQ(resumed->state().attempts.size(), 2U);
    engineConnections_[1]->write(chunk(resumed->state().attempts[1].engineRequestId, 1, "b"));
    runUntil([&] { return received_ == "0a 1b "; });
}

TEST_F(StreamRegistryTest, DisconnectedCallersStreamIsCancelledAfterTheResumeWindow)
{
    const auto session = openStream();
    first_.registry->onReaderDisconnected(session->state().requestId);
    advance(std::chrono::seconds(9));
    EXPECT_FALSE(session->hasEnded());
    advance(std::chrono::seconds(2));
    advance(std::chrono::seconds(1));
    EXPECT_TRUE(session->hasEnded());
    runUntil([&] { return !cancelled_.empty() && second_.registry->copyCount() == 0; });
    EXPECT_EQ(cancelled_.size(), 1U);
}

TEST_F(StreamRegistryTest, SlowCallersBufferIsBoundedAndItsRequestCanBeResumed)
{
    const auto session = openStream();
    const std::string own = session->state().attempts[0].engineRequestId;
    gateway::GatewayTools tools;
    tools.callerBufferBytes = 1000;
    tools.metrics = first_.metrics;
    tools.streamRegistry = first_.registry;
    const auto responder = std::make_shared<BlockedResponder>();
    gateway::streamTo(tools, session, responder, 0);
    for (int i = 0; i < 50; i++) {
        engineConnections_[0]->write(chunk(own, i, "t"));
    }
    runUntil([&] { return session->state().tokens.size() == 50; });
    EXPECT_TRUE(responder->isAborted);
    EXPECT_LT(responder->bufferedBytes(), 2000U);
    EXPECT_EQ(first_.metrics->counter("slow_callers_total"), 1U);
    EXPECT_TRUE(session->isDetached());
    read(session, 48);
    EXPECT_EQ(received_, "48t 49t ");
}

TEST_F(StreamRegistryTest, DetachedRequestStartsNoNewAttempt)
{
    const auto session = openStream();
    first_.registry->onReaderDisconnected(session->state().requestId);
    engineConnections_[0]->abort();
    runUntil([&] { return client_->openCalls() == 0; });
    EXPECT_EQ(session->state().attempts.size(), 1U);
    EXPECT_FALSE(session->hasEnded());
}

TEST_F(StreamRegistryTest, LeavingVmRefusesCopies)
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
    runUntil([&] { return answers == 2; });
    EXPECT_FALSE(session->hasEnded());
}
