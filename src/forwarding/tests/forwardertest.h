#pragma once

#include "forwarding/forwarder.h"
#include "forwarding/tests/fakeallowancegate.h"
#include "forwarding/tests/testmanifest.h"
#include "http1/tests/looptest.h"
#include "reachability/probetargets.h"
#include "requestformat.h"

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace cardamomlift::forwarding {

/// Time after which a server that sends nothing counts as silent.
inline constexpr Duration Silence = 2 * LatencyGoal + milliseconds(1);

/// A backend server whose requests are queued until the test answers them.
struct FakeBackend {
    std::shared_ptr<http1::HttpServer> server;
    std::deque<http1::ExchangePtr> requests;
    int arrivals = 0;
};

/// A forwarder with two backend servers of one service, all in this process.
class ForwarderTest : public http1::LoopTest
{
protected:
    ForwarderTest()
    {
        manifests_ = manifest::ManifestCache::create();
        directory_ = directory::Directory::create();
        pool_ = ServerPool::create(*loop_, directory_);
        log_ = eventlog::EventLog::create(clock_, "vm", [this](std::string_view line) {
            logLines_ += line;
            return true;
        });
        ForwarderTools tools;
        tools.loop = loop_.get();
        tools.manifests = manifests_;
        tools.directory = directory_;
        tools.pool = pool_;
        tools.backoffs = backoffs_;
        tools.log = log_;
        tools.metrics = metrics::Metrics::create();
        tools.demand = std::make_shared<ServiceDemand>();
        tools.outliers = outliers::OutlierDetector::create(*loop_, log_);
        tools.reachability = reachability::ReachabilityTracker::create(
            {loop_.get(), [directory = directory_] { return reachability::probeTargets(*directory); }, log_, tools.metrics, {}});
        tools.peerBacklog = std::make_shared<PeerBacklog>();
        tools.prefixes = prefixindex::PrefixIndex::create(*loop_);
        tools.allowances = allowances_;
        tools.wire = platform::requestFormat();
        tools.settings.zone = "zone";
        tools.vmCount = [this] {
            return vmCount_;
        };
        tools_ = tools;
        restartForwarder();
        clock_.advance(ForwardingSettings().retryWindow);
        http1::ServerHandlers handlers;
        handlers.onRequest = [this](http1::ExchangePtr exchange) {
            forwarder_->handle(std::move(exchange));
        };
        handlers.onRejected = [](int) {
        };
        gateway_ = http1::HttpServer::listen(*loop_, {"127.0.0.1", 0}, {}, std::move(handlers)).value();
        addBackend("one");
        addBackend("two");
        installManifest(1);
    }

    /// Sends idempotent requests that each server they reach breaks off; returns the number of retries.
    int countRetriesOfBroken(int requests)
    {
        const int before = arrivals();
        // The clock may have been advanced, and keys are only checked against a fresh manifest.
        manifests_->confirm(loop_->now());
        for (int i = 0; i < requests; i++) {
            const auto client = call(request("/safe/1"));
            EXPECT_TRUE(runUntil([&] {
                for (auto &[instance, backend] : backends_) {
                    if (!backend.requests.empty()) {
                        backend.requests.front()->abort();
                        backend.requests.pop_front();
                    }
                }
                return hasStatus(*client, "502");
            })) << client->received();
        }
        return arrivals() - before - requests;
    }

    /// Replaces the forwarder, as a restart of the process does. Its retry budgets start anew.
    void restartForwarder()
    {
        forwarder_ = Forwarder::create(tools_);
    }

    void addBackend(const std::string &instance, const std::string &version = {})
    {
        FakeBackend &backend = backends_[instance];
        http1::ServerHandlers handlers;
        handlers.onRequest = [&backend](http1::ExchangePtr exchange) {
            backend.arrivals++;
            backend.requests.push_back(std::move(exchange));
        };
        handlers.onRejected = [](int) {
        };
        backend.server = http1::HttpServer::listen(*loop_, {"127.0.0.1", 0}, {}, std::move(handlers)).value();
        directory::BackendServer server;
        server.name = instance;
        server.instance = instance;
        server.service = "service";
        server.endpoint = {"127.0.0.1", backend.server->port()};
        server.zone = "zone";
        server.version = version;
        server.slots = 8;
        directory_->put(std::move(server));
    }

    void installManifest(std::uint64_t version)
    {
        manifests_->update(testManifest(version));
        manifests_->confirm(loop_->now());
    }

    /// The server starts draining because it is reclaimed in half a second.
    void reclaim(const std::string &instance)
    {
        directory::BackendServer server = directory_->find(instance)->server;
        server.state = directory::ServerState::Draining;
        server.isReclaimable = true;
        server.endsAt = loop_->now() + milliseconds(500);
        directory_->put(std::move(server));
    }

    static std::string request(const std::string &path, const std::string &more = {})
    {
        return "POST " + path + " HTTP/1.1\r\nHost: a\r\nX-Attempt-Id: id1\r\nX-Credential: key\r\n" + more + "Content-Length: 4\r\n\r\nbody";
    }

    std::unique_ptr<http1::RawClient> call(const std::string &bytes)
    {
        auto client = std::make_unique<http1::RawClient>(gateway_->port());
        client->send(bytes);
        return client;
    }

    int arrivals() const
    {
        int sum = 0;
        for (const auto &[instance, backend] : backends_) {
            sum += backend.arrivals;
        }
        return sum;
    }

    /// Waits for the next request at any backend server and removes it from the server's queue.
    http1::ExchangePtr nextRequest()
    {
        http1::ExchangePtr exchange;
        EXPECT_TRUE(runUntil([&] {
            for (auto &[instance, backend] : backends_) {
                if (!backend.requests.empty()) {
                    exchange = backend.requests.front();
                    backend.requests.pop_front();
                    return true;
                }
            }
            return false;
        }));
        return exchange;
    }

    /// Sends a request for a stream that may be resumed, breaks its connection to the server after the first event, and waits for its end.
    void breakStartedStream()
    {
        const auto client = call(request("/resumed/1"));
        const auto exchange = nextRequest();
        exchange->begin(signedHead());
        exchange->send("id: 1\ndata: a\n\n");
        EXPECT_TRUE(runUntil([&] { return hasStatus(*client, "200"); }));
        exchange->abort();
        EXPECT_TRUE(runUntil([&] { return logLines_.find("request_failed") != std::string::npos; }));
    }

    static http1::ResponseHead signedHead(int status = 200, const std::string &id = "id1")
    {
        http1::ResponseHead head;
        head.status = status;
        head.fields.add("X-Attempt-Id", id);
        head.fields.add("X-Response-Signature", "sig");
        return head;
    }

    static http1::ResponseHead notRunHead()
    {
        http1::ResponseHead head;
        head.status = 503;
        head.fields.add("X-Not-Executed", "1");
        return head;
    }

    bool hasStatus(http1::RawClient &client, const std::string &status)
    {
        return client.received().starts_with("HTTP/1.1 " + status) && client.received().find("\r\n\r\n") != std::string::npos;
    }

    /// Decodes the body of a chunked answer that has ended.
    static std::string eventsOf(http1::RawClient &client)
    {
        const std::string &received = client.received();
        std::size_t place = received.find("\r\n\r\n") + 4;
        std::string body;
        while (place < received.size()) {
            const std::size_t length = std::stoul(received.substr(place), nullptr, 16);
            place = received.find("\r\n", place) + 2;
            body += received.substr(place, length);
            place += length + 2;
        }
        return body;
    }

    std::shared_ptr<manifest::ManifestCache> manifests_;
    std::shared_ptr<directory::Directory> directory_;
    std::shared_ptr<ServerPool> pool_;
    std::shared_ptr<backoff::BackoffTracker> backoffs_ = backoff::BackoffTracker::create(clock_);
    std::shared_ptr<eventlog::EventLog> log_;
    std::shared_ptr<FakeAllowanceGate> allowances_ = std::make_shared<FakeAllowanceGate>();
    ForwarderTools tools_;
    std::optional<std::size_t> vmCount_ = 1;
    std::shared_ptr<Forwarder> forwarder_;
    std::shared_ptr<http1::HttpServer> gateway_;
    std::map<std::string, FakeBackend> backends_;
    std::string logLines_;
};

} // namespace cardamomlift::forwarding
