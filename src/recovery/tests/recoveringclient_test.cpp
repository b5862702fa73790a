#include "recovery/recoveringclient.h"

#include <gtest/gtest.h>

#include <map>
#include <random>

using namespace cardamomlift;
using namespace cardamomlift::recovery;
using engine::StreamEnd;
using std::chrono::milliseconds;

namespace {

constexpr std::uint64_t AnswerLength = 6;
constexpr Duration Step = milliseconds(100);

std::string textAt(std::uint64_t position)
{
    return "t" + std::to_string(position);
}

/// Engines whose connections the test controls.
class FakeEngines : public engine::EngineClient
{
public:
    struct Connection {
        std::string attempt;
        std::string kvFrom;
        std::uint64_t next = 0;
        engine::EngineHooks hooks;
        bool closed = false;
    };
    using Done = std::function<void()>;

    http::CallId start(const membership::Vm &, const engine::EngineRequest &request, engine::EngineHooks hooks) override
    {
        running[request.requestId] = true;
        connections.push_back({request.requestId, request.kvFrom, request.continueTokens.size(), std::move(hooks)});
        return connections.size();
    }

    http::CallId resume(const membership::Vm &, const std::string &requestId, std::uint64_t position, engine::EngineHooks hooks) override
    {
        connections.push_back({requestId, {}, position, std::move(hooks)});
        return connections.size();
    }

    void cancel(const membership::Vm &, const std::string &requestId, http::CallId call) override
    {
        running[requestId] = false;
        disconnect(call);
    }

    void disconnect(http::CallId call) override
    {
        connections[call - 1].closed = true;
    }

    void exportKv(const membership::Vm &, const std::string &, std::size_t, Duration, std::function<void(std::optional<std::string>)> done) override
    {
        transfers.push_back([done] { done("cache"); });
    }

    void importKv(const membership::Vm &, const std::string &, std::string, Duration, std::function<void(bool)> done) override
    {
        transfers.push_back([done] { done(true); });
    }

    void token(std::size_t index)
    {
        const std::uint64_t position = connections[index].next++;
        connections[index].hooks.onToken({position, textAt(position)});
    }

    void end(std::size_t index, StreamEnd end)
    {
        connections[index].closed = true;
        running[connections[index].attempt] = running[connections[index].attempt] && end == StreamEnd::Broken;
        engine::EngineResult result;
        result.end = end;
        connections[index].hooks.onEnd(result);
    }

    std::vector<Connection> connections;
    std::vector<Done> transfers;
    std::map<std::string, bool> running; ///< By attempt: whether an engine still runs it.
};

class RecoveringClientTest : public testing::Test
{
protected:
    RecoveringClientTest()
    {
        loop_ = std::move(EventLoop::create(clock_).value());
        client_ = RecoveringClient::create(*loop_, engines_, members_, metrics_);
    }

    /// Opens a stream at server-1.
    void open()
    {
        engine::EngineRequest request;
        request.requestId = "attempt-" + std::to_string(++attempts_);
        request.maxTokens = AnswerLength;
        openAttempts_["server-1"]++;
        call_ = client_->start(serverOf(1), request, hooks());
    }

    engine::EngineHooks hooks()
    {
        engine::EngineHooks hooks;
        hooks.onToken = [this](const engine::Token &token) {
            EXPECT_EQ(token.position, output_.size());
            EXPECT_EQ(token.text, textAt(output_.size()));
            output_.push_back(token.text);
        };
        hooks.onEnd = [this](const engine::EngineResult &result) {
            ends_.push_back(result.end);
            if (!result.server.empty()) {
                openAttempts_[result.server]--;
            }
        };
        hooks.nextAttempt = [this] {
            return nextAttempt();
        };
        hooks.outputTokens = [this] {
            return std::span<const std::string>(output_);
        };
        hooks.onAttemptEnded = [this](const std::string &instance, StreamEnd) {
            openAttempts_[instance]--;
        };
        return hooks;
    }

    std::optional<engine::NextAttempt> nextAttempt()
    {
        attempts_++;
        engine::NextAttempt next{serverOf(attempts_), {}};
        next.request.requestId = "attempt-" + std::to_string(attempts_);
        openAttempts_[next.server.instance]++;
        return next;
    }

    static membership::Vm serverOf(int number)
    {
        membership::Vm vm;
        vm.instance = "server-" + std::to_string(number);
        return vm;
    }

    void advance(Duration by)
    {
        for (; by > Duration(0); by -= std::min(by, Step)) {
            clock_.advance(std::min(by, Step));
            loop_->runDue();
        }
    }

    void checkNothingLeft()
    {
        loop_->runDue();
        EXPECT_EQ(ends_.size(), 1U);
        EXPECT_EQ(client_->openStreams(), 0U);
        EXPECT_EQ(client_->estimates().kvBytesInFlight, 0);
        EXPECT_EQ(client_->estimates().prefillTokensInFlight, 0);
        for (const auto &[attempt, isRunning] : engines_->running) {
            EXPECT_FALSE(isRunning) << attempt;
        }
        for (const auto &[instance, count] : openAttempts_) {
            EXPECT_EQ(count, 0) << instance;
        }
    }

    ManualClock clock_;
    std::unique_ptr<EventLoop> loop_;
    std::shared_ptr<FakeEngines> engines_ = std::make_shared<FakeEngines>();
    std::shared_ptr<membership::Members> members_ = membership::Members::create("entry-1");
    std::shared_ptr<metrics::Metrics> metrics_ = metrics::Metrics::create();
    std::shared_ptr<RecoveringClient> client_;
    http::CallId call_ = 0;
    int attempts_ = 0;
    std::vector<std::string> output_;
    std::vector<StreamEnd> ends_;
    std::map<std::string, int> openAttempts_;
};

} // namespace

TEST_F(RecoveringClientTest, LateTokensOfAReplacedConnectionAreDropped)
{
    open();
    engines_->token(0);
    engines_->end(0, StreamEnd::Broken);
    ASSERT_EQ(engines_->connections.size(), 2U);
    engines_->connections[0].hooks.onToken({1, "of another request"});
    EXPECT_EQ(output_.size(), 1U);
    for (std::uint64_t i = 1; i < AnswerLength; i++) {
        engines_->token(1);
    }
    engines_->end(1, StreamEnd::Finished);
    EXPECT_EQ(output_.size(), AnswerLength);
    checkNothingLeft();
    EXPECT_EQ(metrics_->counter("streams_moved_total{how=\"resume\"}"), 1U);
}

TEST_F(RecoveringClientTest, OldServerIsReadUntilTheSuccessorsFirstToken)
{
    open();
    engines_->token(0);
    clock_.advance(milliseconds(900)); // At this rate, five more tokens won't be produced in the time left.
    engines_->token(0);
    members_->markLeaving("server-1");
    ASSERT_EQ(engines_->transfers.size(), 1U);
    engines_->transfers[0]();
    engines_->token(0);
    engines_->transfers[1]();
    ASSERT_EQ(engines_->connections.size(), 2U);
    EXPECT_EQ(engines_->connections[1].kvFrom, "attempt-1");
    EXPECT_EQ(engines_->connections[1].next, 3U);
    engines_->token(0);
    EXPECT_TRUE(engines_->running["attempt-1"]);
    engines_->token(1);
    EXPECT_FALSE(engines_->running["attempt-1"]);
    EXPECT_EQ(output_.size(), 4U);
    engines_->connections[0].hooks.onToken({4, "late"});
    engines_->token(1);
    engines_->token(1);
    engines_->end(1, StreamEnd::Finished);
    EXPECT_EQ(output_.size(), AnswerLength);
    checkNothingLeft();
}

TEST_F(RecoveringClientTest, StalledServerIsResumedOnceAndThenAbandoned)
{
    open();
    engines_->token(0);
    advance(milliseconds(1500));
    EXPECT_EQ(engines_->connections.size(), 1U);
    advance(milliseconds(100));
    EXPECT_EQ(engines_->connections.size(), 2U);
    EXPECT_TRUE(ends_.empty());
    advance(milliseconds(400));
    loop_->runDue();
    ASSERT_EQ(ends_.size(), 1U);
    EXPECT_EQ(ends_[0], StreamEnd::Broken);
    checkNothingLeft();
}

TEST_F(RecoveringClientTest, StreamWaitingForItsFirstTokenAbandonsAStalledServer)
{
    open();
    engines_->token(0);
    open();
    advance(milliseconds(2100));
    loop_->runDue();
    EXPECT_EQ(ends_.size(), 2U);
}

TEST_F(RecoveringClientTest, WaitingForTheFirstTokenIsNoStall)
{
    open();
    advance(std::chrono::seconds(9));
    EXPECT_EQ(engines_->connections.size(), 1U);
}

TEST_F(RecoveringClientTest, PauseOfThisProcessIsNoStallOfTheServer)
{
    open();
    engines_->token(0);
    clock_.advance(std::chrono::seconds(20));
    loop_->runDue();
    EXPECT_EQ(engines_->connections.size(), 1U);
    advance(milliseconds(1600));
    EXPECT_EQ(engines_->connections.size(), 2U);
}

TEST_F(RecoveringClientTest, RandomFaultsNeitherLoseTokensNorLeakCounters)
{
    constexpr unsigned Runs = 3000;
    constexpr int Steps = 40;
    for (unsigned seed = 1; seed <= Runs && !HasFailure(); seed++) {
        SCOPED_TRACE(seed);
        std::mt19937 random(seed);
        engines_->connections.clear();
        engines_->transfers.clear();
        engines_->running.clear();
        output_.clear();
        ends_.clear();
        openAttempts_.clear();
        attempts_ = 0;
        open();
        for (int i = 0; i < Steps; i++) {
            const std::size_t index = random() % engines_->connections.size();
            const FakeEngines::Connection &connection = engines_->connections[index];
            const unsigned event = random() % 12;
            if (event < 5 && connection.next < AnswerLength) {
                engines_->token(index);
            } else if (event == 5 && connection.next == AnswerLength && !connection.closed) {
                engines_->end(index, StreamEnd::Finished);
            } else if (event == 6 && !connection.closed) {
                engines_->end(index, random() % 2 == 0 ? StreamEnd::Broken : StreamEnd::Refused);
            } else if (event == 7) {
                members_->markLeaving("server-" + std::to_string(random() % 3 + 1));
            } else if (event < 10 && !engines_->transfers.empty()) {
                const auto done = engines_->transfers.back();
                engines_->transfers.pop_back();
                done();
            } else if (event == 10) {
                advance(milliseconds(random() % 800));
            } else {
                loop_->runDue();
            }
        }
        client_->cancel(serverOf(1), "", call_);
        for (const auto &done : std::vector<FakeEngines::Done>(engines_->transfers)) {
            done();
        }
        checkNothingLeft();
        members_ = membership::Members::create("entry-1");
        client_ = RecoveringClient::create(*loop_, engines_, members_, metrics_);
    }
}
