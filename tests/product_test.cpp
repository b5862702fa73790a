// What callers and operators meet besides the promises: bad input, credentials, TLS, settings, logs.

#include "http/json.h"
#include "metrics/reasons.h"
#include "support/certificate.h"
#include "support/fleet.h"

#include <fmt/format.h>
#include <gtest/gtest.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

using namespace cardamomlift;
using test::Fleet;

namespace {

std::string refusalMetric(metrics::RefusalReason reason)
{
    return fmt::format("refusals_total{{reason=\"{}\"}}", metrics::reasonName(reason));
}

/// A plain TCP connection to a loopback port.
class RawConnection
{
public:
    explicit RawConnection(int port)
        : fd_(socket(AF_INET, SOCK_STREAM, 0))
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(static_cast<std::uint16_t>(port));
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        EXPECT_EQ(connect(fd_, reinterpret_cast<sockaddr *>(&address), sizeof(address)), 0);
    }

    ~RawConnection()
    {
        close(fd_);
    }

    RawConnection(const RawConnection &) = delete;
    RawConnection &operator=(const RawConnection &) = delete;

    bool sendText(const std::string &text)
    {
        return send(fd_, text.data(), text.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(text.size());
    }

    /// Reads until the server closes.
    std::string readAll()
    {
        std::string text;
        char buffer[4096];
        for (ssize_t size = recv(fd_, buffer, sizeof(buffer), 0); size > 0; size = recv(fd_, buffer, sizeof(buffer), 0)) {
            text.append(buffer, static_cast<std::size_t>(size));
        }
        return text;
    }

private:
    int fd_;
};

} // namespace

TEST(BadInput, EachHasAClearErrorAndACounter)
{
    Fleet fleet(1);
    fleet.addEngine("engine-1", "zone-1");
    fleet.waitReady();
    const auto withBody = [&](const std::string &body) {
        http::ClientRequest request = fleet.chat("entry-1", "x", 1);
        request.body = body;
        return fleet.caller.call(request);
    };
    const auto changed = [&](const std::string &name, const Json::Value &value) {
        Json::Value body = http::parseJson(fleet.chat("entry-1", "x", 1).body).value();
        body[name] = value;
        return withBody(http::writeJson(body));
    };
    EXPECT_EQ(withBody("{\"model\":")->errorCode(), "bad_json");
    EXPECT_EQ(withBody(std::string(100000, '['))->errorCode(), "bad_json");
    EXPECT_EQ(changed("messages", "text")->errorCode(), "bad_field");
    EXPECT_EQ(changed("max_tokens", -1)->errorCode(), "bad_field");
    EXPECT_EQ(changed("stream", "yes")->errorCode(), "bad_field");
    EXPECT_EQ(changed("model", "no-such-model")->errorCode(), "unknown_model");
    EXPECT_EQ(withBody(std::string(2 << 20, 'x'))->errorCode(), "body_too_large");
    http::ClientRequest stranger = fleet.chat("entry-1", "x", 1);
    stranger.headers["Authorization"] = "Bearer nobody";
    EXPECT_EQ(fleet.caller.call(stranger)->errorCode(), "unknown_credential");
    stranger.headers.erase("Authorization");
    EXPECT_EQ(fleet.caller.call(stranger)->errorCode(), "missing_credential");
    EXPECT_EQ(fleet.caller.call(fleet.serviceCall("entry-1", "/orders/orders", "{}", ""))->errorCode(), "missing_idempotency_key");
    EXPECT_EQ(fleet.caller.call(fleet.serviceCall("entry-1", "/orders/elsewhere", "{}", "k"))->errorCode(), "unknown_service");
    EXPECT_EQ(fleet.metric("entry-1", refusalMetric(metrics::RefusalReason::BadField)), 3);
    EXPECT_EQ(fleet.metric("entry-1", refusalMetric(metrics::RefusalReason::BodyTooLarge)), 1);
    EXPECT_EQ(fleet.metric("entry-1", refusalMetric(metrics::RefusalReason::UnknownCredential)), 1);
}

TEST(BadInput, HeaderThatNeverEndsIsCutAndCounted)
{
    Fleet fleet(0);
    fleet.addEntry("entry-1", "zone-1", [](Json::Value &settings) { settings["callers"]["idleSeconds"] = 1; });
    const int port = fleet.processes["entry-1"]->port("callers");
    RawConnection silent(port);
    RawConnection unfinished(port);
    unfinished.sendText("GET / HTTP/1.1\r\nHost: x\r\nX-Unfinished: ");
    RawConnection endless(port);
    endless.sendText("GET / HTTP/1.1\r\nHost: x\r\nX-Long: ");
    while (endless.sendText(std::string(4096, 'a'))) {
    }
    unfinished.readAll();
    silent.readAll();
    // The counters are set while the server cleans up, which may be a moment after the close.
    const auto isCounted = [&] {
        return fleet.metric("entry-1", refusalMetric(metrics::RefusalReason::SlowSender)) == 2
            && fleet.metric("entry-1", refusalMetric(metrics::RefusalReason::HeaderTooLarge)) == 1;
    };
    fleet.waitStatus(
        "entry-1", [&](const Json::Value &) { return isCounted(); }, "two slow senders and one endless header");
}

TEST(BadInput, ReaderThatNeverReadsCostsBoundedMemory)
{
    Fleet fleet(1);
    fleet.addEngine("engine-1", "zone-1", {"--token-ms", "0"});
    fleet.waitReady();
    const http::ClientRequest request = fleet.chat("entry-1", "x", 4000);
    RawConnection lazy(fleet.processes["entry-1"]->port("callers"));
    lazy.sendText(fmt::format("POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer {}\r\nContent-Length: {}\r\n\r\n{}",
        test::CoOpKey,
        request.body.size(),
        request.body));
    // 4,000 tokens are about 700 KB of events: more than the buffer for a slow caller and the sockets together hold.
    fleet.waitStatus(
        "entry-1", [&](const Json::Value &) { return fleet.metric("entry-1", "slow_callers_total") == 1; }, "one slow caller");
    const auto other = fleet.caller.call(fleet.chat("entry-1", "y", 100));
    EXPECT_TRUE(other->isWhole());
}

TEST(Memory, AboveItsLimitNewWorkIsRefusedAndTheVmLivesOn)
{
    Fleet fleet(0);
    fleet.addEntry("entry-1", "zone-1", [](Json::Value &settings) { settings["limits"]["memoryMegabytes"] = 1; });
    fleet.waitStatus(
        "entry-1", [](const Json::Value &status) { return status["phase"].asString() == "ready"; }, "ready");
    const auto refused = fleet.caller.call(fleet.chat("entry-1", "x", 1));
    EXPECT_EQ(refused->errorCode(), "overloaded");
    EXPECT_EQ(refused->headers["Retry-After"], "1");
    EXPECT_GT(fleet.metric("entry-1", "resident_memory_bytes"), 1 << 20);
}

TEST(Credentials, OperatorsAndCallersShareNeitherPortNorKey)
{
    Fleet fleet(1);
    fleet.waitReady();
    test::Process &entry = *fleet.processes["entry-1"];
    http::ClientRequest request;
    request.url = fmt::format("http://127.0.0.1:{}/v1/status", entry.port("operators"));
    request.headers["Authorization"] = std::string("Bearer ") + test::CoOpKey;
    EXPECT_EQ(fleet.caller.call(request)->status, 401);
    request.url = fmt::format("http://127.0.0.1:{}/v1/status", entry.port("callers"));
    request.headers["Authorization"] = std::string("Bearer ") + test::OperatorToken;
    EXPECT_EQ(fleet.caller.call(request)->status, 401);
}

TEST(Credentials, SecretsAreNotLogged)
{
    Fleet fleet(0);
    fleet.addEntry("entry-1", "zone-1", [](Json::Value &settings) { settings["logLevel"] = "debug"; });
    std::string output;
    EXPECT_EQ(fleet.tool({"apply", std::string(CARDAMOMLIFT_SOURCES) + "/examples/co-op/contract.json"}, output), 0) << output;
    fleet.addEngine("engine-1", "zone-1");
    fleet.waitStatus(
        "entry-1", [](const Json::Value &status) { return status["vms"].size() == 2 && status["contracts"].size() == 1; }, "all VMs");
    EXPECT_TRUE(fleet.caller.call(fleet.chat("entry-1", "x", 3))->isWhole());
    http::ClientRequest stranger = fleet.chat("entry-1", "x", 1);
    stranger.headers["Authorization"] = "Bearer a-wrong-key";
    fleet.caller.call(stranger);
    const std::string log = fleet.processes["entry-1"]->log();
    EXPECT_NE(log.find("Refused"), std::string::npos);
    for (const char *secret : {test::CoOpKey, "a-wrong-key", test::OperatorToken, "peer-token"}) {
        EXPECT_EQ(log.find(secret), std::string::npos) << secret;
    }
}

TEST(Tls, CallersAndOperatorsPortsServeIt)
{
    const test::Certificate certificate = test::makeCertificate("entry-1");
    Fleet fleet(0);
    fleet.addEntry("entry-1", "zone-1", [&](Json::Value &settings) {
        for (const char *port : {"callers", "operators", "peers"}) {
            settings[port]["certificateFile"] = certificate.certificateFile;
            settings[port]["privateKeyFile"] = certificate.privateKeyFile;
        }
        settings["peers"]["authorityFile"] = certificate.certificateFile;
    });
    http::ClientRequest request;
    request.url = fmt::format("https://127.0.0.1:{}/health", fleet.processes["entry-1"]->port("callers"));
    request.caPem = certificate.certificatePem;
    EXPECT_NE(fleet.caller.call(request)->status, 0);
    request.caPem = test::makeCertificate("other").certificatePem;
    EXPECT_EQ(fleet.caller.call(request)->result.transport, http::Transport::NotSent);
    std::string output;
    const std::string endpoint = fmt::format("https://127.0.0.1:{}", fleet.processes["entry-1"]->port("operators"));
    const std::string token = test::writeScratchFile("tls-token", std::string(test::OperatorToken) + "\n");
    EXPECT_EQ(test::Process::run("cardamomlift", {"--daemon", endpoint, "--ca-file", certificate.certificateFile, "--token-file", token, "status"}, output), 0)
        << output;
}

TEST(Settings, AllFindingsComeTogether)
{
    const std::string file = test::writeScratchFile("wrong.json", R"({
    // a comment
    "instance": "entry~1",
    "zone": 4,
    "operatorTokenSha256": "abc",
    "peerToken": "x",
    "callers": {"port": 70000, "addres": "127.0.0.1"},
    "platform": {"tableEndpoint": "http://table.local:8000", "accessKey": "a", "secretKey": "s"}
})");
    std::string output;
    EXPECT_EQ(test::Process::run("cardamomliftd", {"--check-config", "--config", file}, output), 3);
    for (const char *part : {":3:17: error: \"instance\" is not a name",
             ":4:",
             "\"zone\" must be a string",
             "SHA-256",
             "70000",
             "unknown member \"addres\"",
             "not an endpoint",
             "vmListEndpoint"}) {
        EXPECT_NE(output.find(part), std::string::npos) << part << " in\n" << output;
    }
}

TEST(Settings, ExamplesAreRight)
{
    for (const char *file : {"/examples/co-op/settings.json", "/examples/department/settings.json", "/examples/alone/settings.json"}) {
        std::string output;
        EXPECT_EQ(test::Process::run("cardamomliftd", {"--check-config", "--config", std::string(CARDAMOMLIFT_SOURCES) + file}, output), 0) << output;
    }
}

TEST(Docs, EveryRefusalAndRetryReasonHasALine)
{
    const std::string page = test::readFile(std::string(CARDAMOMLIFT_SOURCES) + "/docs/operators/refusals.md");
    for (int i = 0; i < static_cast<int>(metrics::RefusalReason::Count); i++) {
        const std::string name(metrics::reasonName(static_cast<metrics::RefusalReason>(i)));
        EXPECT_NE(page.find("\n| `" + name + "` |"), std::string::npos) << name;
    }
    for (int i = 0; i < static_cast<int>(metrics::RetryReason::Count); i++) {
        const std::string name(metrics::reasonName(static_cast<metrics::RetryReason>(i)));
        EXPECT_NE(page.find("\n| `" + name + "` |"), std::string::npos) << name;
    }
}
