#pragma once

#include "http/client.h"
#include "http/httptypes.h"
#include "kernel/eventloop.h"

#include <json/json.h>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace cardamomlift::test {

/// One call of a test, running or ended.
struct TestCall {
    http::ClientResult result;
    bool ended = false;
    int status = 0;
    http::Headers headers;
    std::string body; ///< All body bytes so far.
    http::CallId id = 0;

    Json::Value json() const;
    /// The chat tokens in a streamed body, in the order they came: (event id, content).
    std::vector<std::pair<std::uint64_t, std::string>> tokens() const;
    /// True if the stream came to its proper end.
    bool isWhole() const;
    /// The code of a refusal; empty if there is none in the body.
    std::string errorCode() const;
};

using TestCallPtr = std::shared_ptr<TestCall>;

/// Calls HTTP ports from the test's own loop. Waits on conditions; the bound only ends a test that hangs.
class Caller
{
public:
    Caller();
    /// Starts a call; it goes on while the loop runs in wait functions.
    TestCallPtr start(http::ClientRequest request);
    /// Runs the loop until @p condition holds. False, and a test failure, after 60 s.
    bool waitUntil(const std::function<bool()> &condition, const std::string &what);
    /// Starts a call and waits for its end.
    TestCallPtr call(http::ClientRequest request);
    /// Waits for the end of all @p calls.
    void waitEnded(const std::vector<TestCallPtr> &calls, const std::string &what);
    TestCallPtr get(int port, const std::string &path);
    TestCallPtr post(int port, const std::string &path, const Json::Value &body);
    void hangUp(const TestCallPtr &call);
    EventLoop &loop();

private:
    SystemClock clock_;
    std::unique_ptr<EventLoop> loop_;
    std::unique_ptr<http::Client> client_;
};

} // namespace cardamomlift::test
