#pragma once

#include "forwarding/forwarder.h"
#include "forwarding/tests/testmanifest.h"
#include "http1/tests/testlink.h"
#include "reachability/probetargets.h"
#include "requestformat.h"

#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace cardamomlift::forwarding {

/// A backend server that answers by itself: plain requests after a delay, streams with a few events.
class AnsweringBackend
{
public:
    AnsweringBackend(EventLoop &loop, std::string instance)
        : loop_(loop)
        , instance_(std::move(instance))
    {
        http1::ServerHandlers handlers;
        handlers.onRequest = [this](const http1::ExchangePtr &exchange) {
            handle(exchange);
        };
        handlers.onRejected = [](int) {
        };
        server_ = http1::HttpServer::listen(loop_, {"127.0.0.1", 0}, {}, std::move(handlers)).value();
    }

    std::uint16_t port() const
    {
        return server_->port();
    }

    std::map<std::string, int> runs; ///< By request id.
    std::vector<http1::RequestHead> heads; ///< Of all requests, in the order of their arrival.
    Duration delay{0};
    int events = 3;
    Duration eventGap{0};
    int cancelled = 0; ///< Requests whose connection was closed before their answer was complete.
    int breakAfter = -1; ///< Events after which a stream breaks, and plain requests are run and broken off; -1: none.
    bool breaksInOrder = false; ///< A stream that breaks ends its body inside an event, as if it were whole.
    int refusals = 0; ///< So many requests are turned away, not run.

private:
    void handle(const http1::ExchangePtr &exchange)
    {
        if (exchange->head().target == "/api/kv-move") {
            stopStreams(exchange);
            return;
        }
        const std::string id(exchange->head().fields.get("X-Attempt-Id"));
        heads.push_back(exchange->head());
        if (refusals > 0) {
            refusals--;
            http1::ResponseHead head;
            head.status = 503;
            head.fields.add("X-Attempt-Id", id);
            head.fields.add("X-Not-Executed", "1");
            exchange->answer(std::move(head), {});
            return;
        }
        runs[id]++;
        http1::ResponseHead head;
        head.status = 200;
        head.fields.add("X-Attempt-Id", id);
        head.fields.add("X-Response-Signature", instance_);
        const std::string &target = exchange->head().target;
        if (target.starts_with("/stream/") || target.starts_with("/resumed/")) {
            const auto isGone = std::make_shared<bool>(false);
            exchange->onDisconnected([this, isGone] {
                *isGone = true;
                cancelled++;
            });
            exchange->begin(std::move(head));
            streams_.emplace_back(exchange, isGone);
            const auto last = http1::parseNumber(exchange->head().fields.get("Last-Event-Id"));
            sendEvent(exchange, isGone, static_cast<int>(last.value_or(0)) + 1);
            return;
        }
        if (breakAfter >= 0) {
            exchange->abort();
            return;
        }
        exchange->onDisconnected([this] { cancelled++; });
        loop_.after(delay, [exchange, head, body = exchange->body()] { exchange->answer(head, "answer to " + body); });
    }

    /// Stops all streams, as when their KV caches have been copied to another server.
    void stopStreams(const http1::ExchangePtr &move)
    {
        http1::ResponseHead head;
        head.status = 200;
        move->answer(std::move(head), "{\"handle\":\"h1\"}");
        for (const auto &[stream, isGone] : streams_) {
            *isGone = true;
            stream->abort();
        }
        streams_.clear();
    }

    void sendEvent(const http1::ExchangePtr &exchange, const std::shared_ptr<bool> &isGone, int number)
    {
        if (*isGone) {
            return;
        }
        if (breakAfter >= 0 && number > breakAfter) {
            *isGone = true;
            breakOff(exchange, number);
            return;
        }
        if (number > events) {
            std::erase_if(streams_, [&exchange](const auto &entry) { return entry.first == exchange; });
            exchange->end();
            return;
        }
        exchange->send(fmt::format("id: {}\ndata: {}\n\n", number, number));
        loop_.after(eventGap, [this, exchange, isGone, number] { sendEvent(exchange, isGone, number + 1); });
    }

    void breakOff(const http1::ExchangePtr &exchange, int number) const
    {
        if (!breaksInOrder) {
            exchange->abort();
            return;
        }
        exchange->send(fmt::format("id: {}\ndata: {}\n", number, number));
        exchange->end();
    }

    EventLoop &loop_;
    std::string instance_;
    std::vector<std::pair<http1::ExchangePtr, std::shared_ptr<bool>>> streams_;
    std::shared_ptr<http1::HttpServer> server_;
};

/// One entry VM in this process. It reaches each backend server through a link of its own.
struct TestVm {
    std::string name;
    std::shared_ptr<manifest::ManifestCache> manifests = manifest::ManifestCache::create();
    std::shared_ptr<directory::Directory> directory = directory::Directory::create();
    std::map<std::string, std::unique_ptr<http1::TestLink>> links; ///< By backend server.
    std::shared_ptr<eventlog::EventLog> log;
    std::string logLines;
    ForwarderTools tools;
    std::shared_ptr<Forwarder> forwarder;
    std::shared_ptr<http1::HttpServer> callers;
    std::shared_ptr<http1::HttpServer> peers;
    std::unique_ptr<http1::TestLink> peerLink; ///< The way of the other VMs to it.
    /// What the other VMs know of this one, as of its last status.
    struct Status {
        TimePoint at;
        bool reachesNoServer = false;
        std::optional<Duration> sinceServerContact;
        double openRequests = 0;
        std::uint64_t manifestVersion = 0;
    };
    Status status;
    std::string zone = "zone-0";
    bool isDraining = false;
    std::optional<Duration> loopLag; ///< As its statuses tell it.
};

/// A caller's request.
struct TestRequest {
    std::string id;
    std::size_t vm = 0;
    TimePoint sentAt;
    bool isStream = false;
    std::unique_ptr<http1::RawClient> client;

    /// Answered with success, and whole.
    bool isServed() const
    {
        const std::string &received = client->received();
        const bool isWhole = isStream ? received.ends_with("0\r\n\r\n") : client->hasEnded();
        return received.starts_with("HTTP/1.1 200") && isWhole;
    }

    bool hasEnded() const
    {
        return client->hasEnded();
    }
};

/// Several entry VMs and the backend servers that all of them use, in this process.
class VmFleetTest : public http1::LoopTest
{
public:
    /// How a VM is cut off from all servers.
    enum class Cut {
        Hang, ///< Nothing comes back, neither on open nor on new connections.
        Reset, ///< Open connections are reset and new ones refused.
        RefuseNew, ///< Open connections live on, and new ones are refused.
    };

protected:
    static constexpr std::size_t Vms = 5;
    static constexpr std::size_t Backends = 6;
    static constexpr Duration StatusPeriod = milliseconds(350);
    /// Rules that depend on the links between VMs and servers hold from this time after a cut on.
    static constexpr Duration CutKnownAfter = std::chrono::seconds(3);

    VmFleetTest()
    {
        for (std::size_t i = 0; i < Backends; i++) {
            const std::string instance = fmt::format("server-{}", i);
            backends_[instance] = std::make_unique<AnsweringBackend>(*loop_, instance);
        }
        for (std::size_t i = 0; i < Vms; i++) {
            addVm(fmt::format("vm-{}", i));
        }
    }

    void addVm(const std::string &name)
    {
        vms_.push_back(std::make_unique<TestVm>());
        TestVm &vm = *vms_.back();
        vm.name = name;
        vm.manifests->update(testManifest(1));
        vm.log = eventlog::EventLog::create(clock_, name, [&vm](std::string_view line) {
            vm.logLines += line;
            return true;
        });
        for (const auto &[instance, backend] : backends_) {
            addLink(vm, instance, backend->port());
        }
        ForwarderTools &tools = vm.tools;
        tools.loop = loop_.get();
        tools.manifests = vm.manifests;
        tools.directory = vm.directory;
        tools.pool = ServerPool::create(*loop_, vm.directory);
        tools.backoffs = backoff::BackoffTracker::create(clock_);
        tools.log = vm.log;
        tools.metrics = metrics::Metrics::create();
        tools.demand = std::make_shared<ServiceDemand>();
        tools.outliers = outliers::OutlierDetector::create(*loop_, vm.log);
        tools.reachability = reachability::ReachabilityTracker::create(
            {loop_.get(), [directory = vm.directory] { return reachability::probeTargets(*directory); }, vm.log, tools.metrics, {}});
        tools.reachability->onChange([weak = std::weak_ptr<outliers::OutlierDetector>(tools.outliers)](bool) {
            if (const auto outliers = weak.lock()) {
                outliers->forgetFailures();
            }
        });
        tools.outliers->setCutOffCheck([reachability = tools.reachability] { return reachability->mayBeCutOff(); });
        tools.peerBacklog = std::make_shared<PeerBacklog>();
        tools.prefixes = prefixindex::PrefixIndex::create(*loop_);
        tools.wire = platform::requestFormat();
        tools.relays = relay::RelayPool::create(*loop_, vm.zone, [this, &vm](std::uint64_t version) { return relayCandidates(vm, version); });
        tools.settings.instance = name;
        tools.settings.zone = vm.zone;
        tools.settings.retrySlack = 200;
        tools.vmCount = [] {
            return std::optional<std::size_t>(Vms);
        };
        start(vm);
    }

    static void cut(TestVm &vm, Cut how)
    {
        for (const auto &[instance, link] : vm.links) {
            switch (how) {
            case Cut::Hang:
                link->hang();
                break;
            case Cut::Reset:
                link->reset();
                break;
            case Cut::RefuseNew:
                link->refuseNew();
                break;
            }
        }
    }

    static void heal(TestVm &vm)
    {
        for (const auto &[instance, link] : vm.links) {
            link->open();
        }
    }

    /// Cuts the VMs @p first to @p last off and waits until they know.
    void cutOff(std::size_t first, std::size_t last)
    {
        for (std::size_t i = first; i <= last; i++) {
            cut(*vms_[i], Cut::Reset);
            vms_[i]->tools.reachability->noteConnectFailed("server-0");
        }
        const auto know = [&] {
            return std::all_of(vms_.begin() + static_cast<std::ptrdiff_t>(first), vms_.begin() + static_cast<std::ptrdiff_t>(last) + 1, [](const auto &vm) {
                return vm->tools.reachability->state() == reachability::State::Unreachable;
            });
        };
        EXPECT_TRUE(runUntil(know));
        for (std::size_t i = first; i <= last; i++) {
            shareStatus(*vms_[i]);
        }
    }

    /// Starts the process of a VM, or starts it again.
    void start(TestVm &vm)
    {
        vm.forwarder = Forwarder::create(vm.tools);
        vm.callers = listen([raw = vm.forwarder.get()](http1::ExchangePtr exchange) { raw->handle(std::move(exchange)); });
        vm.peers = listen([raw = vm.forwarder.get()](http1::ExchangePtr exchange) { raw->handleRelayed(std::move(exchange)); });
        vm.peerLink = std::make_unique<http1::TestLink>(*loop_, vm.peers->port());
        shareStatus(vm);
    }

    void shareStatus(TestVm &vm)
    {
        vm.status = {loop_->now(),
            vm.tools.reachability->state() == reachability::State::Unreachable,
            vm.tools.reachability->sinceContact(),
            static_cast<double>(vm.forwarder->openRequests()),
            vm.manifests->current()->manifest().version};
        const auto outcomes = vm.tools.outliers->outcomesToShare();
        for (const auto &other : vms_) {
            if (other.get() != &vm) {
                other->tools.outliers->applyPeerOutcomes(vm.name, outcomes);
            }
        }
    }

    std::vector<relay::RelayCandidate> relayCandidates(const TestVm &self, std::uint64_t version) const
    {
        std::vector<relay::RelayCandidate> candidates;
        for (const auto &vm : vms_) {
            const TestVm::Status &status = vm->status;
            if (vm.get() == &self || vm->isDraining || status.reachesNoServer || status.manifestVersion < version) {
                continue;
            }
            const auto since = status.sinceServerContact;
            candidates.push_back({{vm->name, vm->zone, vm->peerLink->endpoint()},
                status.openRequests,
                0,
                since ? std::optional(*since + (loop_->now() - status.at)) : std::nullopt,
                false,
                vm->loopLag});
        }
        return candidates;
    }

    std::shared_ptr<http1::HttpServer> listen(std::function<void(http1::ExchangePtr)> onRequest)
    {
        http1::ServerHandlers handlers;
        handlers.onRequest = std::move(onRequest);
        handlers.onRejected = [](int) {
        };
        return http1::HttpServer::listen(*loop_, {"127.0.0.1", 0}, {}, std::move(handlers)).value();
    }

    void addLink(TestVm &vm, const std::string &instance, std::uint16_t port)
    {
        vm.links[instance] = std::make_unique<http1::TestLink>(*loop_, port);
        directory::BackendServer server;
        server.name = instance;
        server.instance = instance;
        server.service = "service";
        server.endpoint = vm.links[instance]->endpoint();
        server.zone = fmt::format("zone-{}", vm.links.size() % 3);
        server.slots = 64;
        vm.directory->put(std::move(server));
    }

    TestRequest &send(std::size_t vm, const std::string &path, const std::string &more = {})
    {
        TestRequest request;
        request.id = fmt::format("id-{}", requests_.size());
        request.vm = vm;
        request.sentAt = loop_->now();
        request.isStream = path.starts_with("/stream/") || path.starts_with("/resumed/");
        request.client = std::make_unique<http1::RawClient>(vms_[vm]->callers->port());
        request.client->send(fmt::format("POST {} HTTP/1.1\r\nHost: a\r\nConnection: close\r\nX-Attempt-Id: {}\r\nX-Credential: key\r\nX-Deadline-Ms: "
                                         "4000\r\n{}Content-Length: 4\r\n\r\nbody",
            path,
            request.id,
            more));
        requests_.push_back(std::move(request));
        return requests_.back();
    }

    /// Lets @p by pass as the event loop would, with a clock that moves in small steps; calls @p onStep at each.
    void pass(
        Duration by, const std::function<void()> &onStep = [] {})
    {
        constexpr Duration Step = milliseconds(50);
        constexpr int Rounds = 8;
        clock_.pause();
        const TimePoint end = loop_->now() + by;
        while (loop_->now() < end) {
            onStep();
            for (int i = 0; i < Rounds; i++) {
                loop_->runDue();
                std::this_thread::sleep_for(std::chrono::microseconds(500));
            }
            clock_.advance(Step);
            tick();
        }
    }

    void tick()
    {
        const bool isDue = loop_->now() - tickedAt_ >= reachability::ReachabilityTracker::TickPeriod;
        for (const auto &vm : vms_) {
            vm->manifests->confirm(loop_->now());
            if (loop_->now() - vm->status.at >= StatusPeriod) {
                shareStatus(*vm);
            }
            if (isDue) {
                vm->tools.reachability->tick();
                vm->tools.pool->tick();
                vm->tools.relays->tick();
                vm->tools.outliers->tick();
                vm->forwarder->tick();
            }
        }
        tickedAt_ = isDue ? loop_->now() : tickedAt_;
    }

    /// Sends a request at each VM every 50 ms for @p time, and lets all of them end.
    void load(Duration time, const std::string &path)
    {
        pass(time, [&] {
            for (std::size_t vm = 0; vm < Vms; vm++) {
                send(vm, path);
            }
        });
    }

    /// Of the requests sent at the VMs @p first to @p last, from @p from on.
    struct Served {
        int sent = 0;
        int served = 0;
    };

    Served countServed(std::size_t first, std::size_t last, TimePoint from = {}, TimePoint until = TimePoint::max())
    {
        Served counts;
        for (const TestRequest &request : requests_) {
            if (request.vm < first || request.vm > last || request.sentAt < from || request.sentAt >= until) {
                continue;
            }
            counts.sent++;
            counts.served += request.isServed() ? 1 : 0;
        }
        return counts;
    }

    int runsOf(const std::string &id) const
    {
        int sum = 0;
        for (const auto &[instance, backend] : backends_) {
            const auto found = backend->runs.find(id);
            sum += found == backend->runs.end() ? 0 : found->second;
        }
        return sum;
    }

    int mostRuns() const
    {
        int most = 0;
        for (const TestRequest &request : requests_) {
            most = std::max(most, runsOf(request.id));
        }
        return most;
    }

    std::map<std::string, std::unique_ptr<AnsweringBackend>> backends_;
    std::vector<std::unique_ptr<TestVm>> vms_;
    std::vector<TestRequest> requests_;
    TimePoint tickedAt_;
};

} // namespace cardamomlift::forwarding
