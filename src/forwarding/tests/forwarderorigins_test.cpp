// Streams stay at the software version that began them.

#include "forwarding/tests/fakeversiongate.h"
#include "forwarding/tests/forwardertest.h"
#include "forwarding/tests/vmfleettest.h"
#include "origins/tests/fakenetwork.h"
#include "rows/memoryrowstore.h"

#include <set>

namespace cardamomlift::forwarding {

namespace {

/// A forwarder with a server of each of two versions.
class Origins : public ForwarderTest
{
protected:
    Origins()
    {
        setVersion("one", "v1");
        setVersion("two", "v2");
    }

    void setVersion(const std::string &instance, const std::string &version)
    {
        directory::BackendServer server = directory_->find(instance)->server;
        server.version = version;
        directory_->put(std::move(server));
    }

    std::string versionOf(const http1::ExchangePtr &exchange) const
    {
        return directory_->find(exchange->head().fields.get("X-Expect-Instance"))->server.version;
    }

    /// Adds one server of @p version and several of another.
    void addServers(const std::string &version)
    {
        addBackend("same", version);
        for (const char *instance : {"other-1", "other-2", "other-3", "other-4", "other-5"}) {
            addBackend(instance, "v3");
        }
    }

    /// Sends the first event of a stream and waits until the caller has it.
    void begin(http1::RawClient &client, const http1::ExchangePtr &exchange)
    {
        exchange->begin(signedHead());
        exchange->send("id: 1\ndata: a\n\n");
        EXPECT_TRUE(runUntil([&] { return client.received().find("data: a") != std::string::npos; }));
    }
};

// Guards against a stream that goes on at another version within one answer.
TEST_F(Origins, AStreamIsResumedAtItsVersionOnly)
{
    const auto client = call(request("/resumed/1"));
    const auto first = nextRequest();
    const std::string version = versionOf(first);
    addServers(version);
    begin(*client, first);
    first->abort();
    const auto second = nextRequest();
    ASSERT_TRUE(second);
    EXPECT_EQ(versionOf(second), version);
    second->begin(signedHead());
    second->send("id: 2\ndata: b\n\n");
    second->end();
    EXPECT_TRUE(runUntil([&] { return client->received().ends_with("0\r\n\r\n"); }));
}

TEST_F(Origins, AStreamWhoseVersionIsGoneEndsWithoutItsLastChunk)
{
    const auto client = call(request("/resumed/1"));
    const auto first = nextRequest();
    begin(*client, first);
    first->abort();
    EXPECT_TRUE(runUntil([&] { return client->hasEnded() || arrivals() > 1; }));
    EXPECT_TRUE(client->hasEnded());
    EXPECT_FALSE(client->received().ends_with("0\r\n\r\n"));
    EXPECT_EQ(arrivals(), 1);
}

// Guards against versions that bind requests of which no event has come.
TEST_F(Origins, AStreamWithoutAnEventBeginsAnewAtAnyVersion)
{
    const auto client = call(request("/resumed/1"));
    const auto first = nextRequest();
    first->begin(signedHead());
    first->abort();
    const auto second = nextRequest();
    EXPECT_NE(versionOf(second), versionOf(first));
}

// Guards against a run whose memory is moved to another version.
TEST_F(Origins, ARunIsMovedToItsVersionOnly)
{
    const auto client = call(request("/stream/1"));
    const auto first = nextRequest();
    const std::string version = versionOf(first);
    addServers(version);
    begin(*client, first);
    reclaim(std::string(first->head().fields.get("X-Expect-Instance")));
    const auto moveCall = nextRequest();
    ASSERT_TRUE(moveCall);
    first->abort();
    http1::ResponseHead done;
    done.status = 200;
    moveCall->answer(std::move(done), R"({"handle":"h1","created":1})");
    const auto second = nextRequest();
    ASSERT_TRUE(second);
    EXPECT_EQ(versionOf(second), version);
}

TEST_F(Origins, ARunIsNotMovedWhereItsVersionIsGone)
{
    const auto client = call(request("/stream/1"));
    const auto first = nextRequest();
    begin(*client, first);
    reclaim(std::string(first->head().fields.get("X-Expect-Instance")));
    clock_.advance(milliseconds(400));
    first->send("id: 2\ndata: b\n\n");
    first->end();
    ASSERT_TRUE(runUntil([&] { return client->received().ends_with("0\r\n\r\n"); }));
    EXPECT_EQ(logLines_.find("\"event\":\"stream_moved\""), std::string::npos) << "there is no server to move it to";
}

/// As above; the VM knows the origin of streams of earlier attempts.
class KnownOrigins : public Origins
{
protected:
    KnownOrigins()
    {
        network_->loop = loop_.get();
        origins::OriginTools tools;
        tools.loop = loop_.get();
        tools.self = {"vm", "zone", {"127.0.0.1", 1000}, 1};
        tools.socket = std::make_shared<origins::FakeSocket>(network_, tools.self.endpoint);
        tools.others = [] {
            return std::optional(std::vector<origins::OriginVm>());
        };
        tools_.origins = origins::OriginTracker::create(std::move(tools));
        restart();
    }

    void restart()
    {
        restartForwarder();
        clock_.advance(ForwardingSettings().retryWindow);
        manifests_->confirm(loop_->now());
    }

    static std::string resumption(const std::string &first)
    {
        return request("/resumed/1", "Last-Event-Id: 1\r\nResumes: " + first + "\r\n");
    }

    std::shared_ptr<origins::FakeNetwork> network_ = std::make_shared<origins::FakeNetwork>();
};

// Guards against a stream that is resumed at the service that its new attempt draws.
TEST_F(KnownOrigins, AStreamGoesOnAtTheServiceThatBeganIt)
{
    manifest::Manifest manifest = testManifest(2);
    manifest.routes[3].shares = {{"service", 1'000'000}, {"other", 1}};
    manifests_->update(manifest);
    addBackend("of-other", "v1");
    directory::BackendServer server = directory_->find("of-other")->server;
    server.service = "other";
    directory_->put(std::move(server));
    tools_.origins->noteBegun(origins::streamId("customer", "first"), origins::softwareId("other", "v1"));
    const auto client = call(resumption("first"));
    const auto exchange = nextRequest();
    ASSERT_TRUE(exchange);
    EXPECT_EQ(exchange->head().fields.get("X-Expect-Instance"), "of-other");
}

// Guards against a stream of a service that the route has left.
TEST_F(KnownOrigins, AStreamOfAnotherServiceIsRefused)
{
    tools_.origins->noteBegun(origins::streamId("customer", "first"), origins::softwareId("other", "v1"));
    const auto client = call(resumption("first"));
    ASSERT_TRUE(runUntil([&] { return hasStatus(*client, "503"); }));
    EXPECT_NE(logLines_.find("origin_gone"), std::string::npos);
    EXPECT_EQ(arrivals(), 0);
}

// Guards against a rollout that sends a stream to another version.
TEST_F(KnownOrigins, AStreamWhoseVersionARolloutExcludesIsRefused)
{
    const auto versions = std::make_shared<FakeVersionGate>();
    versions->versionOnTrial = "v2";
    tools_.versions = versions;
    restart();
    tools_.origins->noteBegun(origins::streamId("customer", "first"), origins::softwareId("service", "v2"));
    const auto client = call(resumption("first"));
    ASSERT_TRUE(runUntil([&] { return hasStatus(*client, "503"); }));
    EXPECT_EQ(arrivals(), 0);
}

// Guards against a customer that goes on with another's stream.
TEST_F(KnownOrigins, AnotherCustomersStreamIsNotKnown)
{
    tools_.origins->noteBegun(origins::streamId("another", "first"), origins::softwareId("service", "v1"));
    const auto client = call(resumption("first"));
    ASSERT_TRUE(runUntil([&] { return hasStatus(*client, "503"); }));
    EXPECT_NE(logLines_.find("origin_unknown"), std::string::npos);
    EXPECT_NE(logLines_.find("\"event\":\"stream_origin\""), std::string::npos);
}

/// As above; the store knows with which versions streams may have begun.
class RecordedOrigins : public KnownOrigins
{
protected:
    RecordedOrigins()
    {
        store_ = rows::MemoryRowStore::create(*loop_, std::make_shared<rows::MemoryRows>());
        tools_.softwareHistory = origins::SoftwareHistory::create({loop_.get(), directory_, store_});
        restart();
    }

    std::shared_ptr<rows::MemoryRowStore> store_;
};

// Guards against a stream that begins at a version of which the store does not know: a VM that missed the version would resume it at another.
TEST_F(RecordedOrigins, AStreamBeginsOnceItsVersionIsRecorded)
{
    store_->faults.down = true;
    const auto client = call(request("/resumed/1"));
    int rounds = 0;
    ASSERT_TRUE(runUntil([&rounds] { return ++rounds > 30; }));
    EXPECT_EQ(arrivals(), 0);
    EXPECT_EQ(client->received(), "") << "it waits";
    store_->faults.down = false;
    EXPECT_TRUE(runUntil([this] {
        clock_.advance(milliseconds(5));
        tools_.softwareHistory->tick();
        return arrivals() > 0;
    }));
}

// Requests that are not resumed need no record.
TEST_F(RecordedOrigins, OtherRequestsDoNotWait)
{
    store_->faults.down = true;
    const auto stream = call(request("/stream/1"));
    nextRequest()->answer(signedHead(), "id: 1\ndata: a\n\n");
    EXPECT_TRUE(runUntil([&] { return hasStatus(*stream, "200"); }));
    const auto plain = call(request("/safe/1"));
    nextRequest()->answer(signedHead(), "a");
    EXPECT_TRUE(runUntil([&] { return hasStatus(*plain, "200"); }));
}

/// Five entry VMs and servers of two versions.
class OriginsOfFleet : public VmFleetTest
{
protected:
    OriginsOfFleet()
    {
        network_->loop = loop_.get();
        for (const auto &vm : vms_) {
            originVms_.push_back({vm->name, vm->zone, {"127.0.0.1", static_cast<std::uint16_t>(1000 + originVms_.size())}, 1});
        }
        for (std::size_t i = 0; i < vms_.size(); i++) {
            trackers_.push_back(createTracker(i));
            vms_[i]->tools.origins = trackers_.back();
            vms_[i]->tools.settings.retrySlack = 200;
            start(*vms_[i]);
            setVersions(*vms_[i]);
        }
        clock_.advance(ForwardingSettings().retryWindow);
        tick();
    }

    std::shared_ptr<origins::OriginTracker> createTracker(std::size_t index, std::shared_ptr<origins::StoredOrigins> stored = nullptr)
    {
        origins::OriginTools tools;
        tools.stored = std::move(stored);
        tools.loop = loop_.get();
        tools.self = originVms_[index];
        tools.socket = std::make_shared<origins::FakeSocket>(network_, tools.self.endpoint);
        tools.others = [this, index] {
            std::vector<origins::OriginVm> others = originVms_;
            others.erase(others.begin() + static_cast<std::ptrdiff_t>(index));
            return std::optional(others);
        };
        return origins::OriginTracker::create(std::move(tools));
    }

    static std::string versionOf(const std::string &instance)
    {
        return (instance.back() - '0') % 2 == 0 ? "v1" : "v2";
    }

    static void setVersions(TestVm &vm)
    {
        std::vector<directory::BackendServer> servers;
        for (const auto &[instance, known] : vm.directory->all()) {
            servers.push_back(known->server);
        }
        for (directory::BackendServer &server : servers) {
            server.version = versionOf(server.instance);
            vm.directory->put(server);
        }
    }

    void setEventGap(Duration gap)
    {
        for (const auto &[instance, backend] : backends_) {
            backend->eventGap = gap;
            backend->events = 20;
        }
    }

    /// No VM reaches the servers any more that have run the request; connections that are open live on.
    void refuseNewAtServersOf(const std::string &id)
    {
        for (const auto &[instance, backend] : backends_) {
            for (const auto &vm : vms_) {
                if (backend->runs.contains(id)) {
                    vm->links.at(instance)->refuseNew();
                }
            }
        }
    }

    void healAll()
    {
        for (const auto &vm : vms_) {
            heal(*vm);
        }
        pass(milliseconds(3000));
    }

    /// Versions of the servers that ran any of these requests.
    std::set<std::string> versionsOf(const std::vector<std::string> &ids) const
    {
        std::set<std::string> versions;
        for (const auto &[instance, backend] : backends_) {
            for (const std::string &id : ids) {
                if (backend->runs.contains(id)) {
                    versions.insert(versionOf(instance));
                }
            }
        }
        return versions;
    }

    std::shared_ptr<origins::FakeNetwork> network_ = std::make_shared<origins::FakeNetwork>();
    std::vector<origins::OriginVm> originVms_;
    std::vector<std::shared_ptr<origins::OriginTracker>> trackers_;
};

// Guards against a stream whose rest is handed over to a VM that does not know what began it.
TEST_F(OriginsOfFleet, AStreamThatIsHandedOverGoesOnAtItsVersion)
{
    setEventGap(milliseconds(50));
    for (int i = 0; i < 6; i++) {
        TestRequest &request = send(0, "/resumed/");
        pass(milliseconds(300));
        EXPECT_NE(request.client->received().find("data: 2"), std::string::npos);
        refuseNewAtServersOf(request.id);
        cut(*vms_[0], Cut::Reset);
        pass(milliseconds(3000));
        EXPECT_TRUE(request.isServed()) << request.client->received();
        EXPECT_EQ(runsOf(request.id), 2);
        EXPECT_EQ(versionsOf({request.id}).size(), 1U);
        healAll();
    }
}

// Guards against a stream that another VM has begun for this one, and that goes on elsewhere at another version.
TEST_F(OriginsOfFleet, AStreamThatWasBegunBehindAHandOverGoesOnAtItsVersion)
{
    setEventGap(milliseconds(50));
    cutOff(0, 0);
    for (int i = 0; i < 6; i++) {
        TestRequest &request = send(0, "/resumed/");
        pass(milliseconds(300));
        EXPECT_NE(request.client->received().find("data: 2"), std::string::npos);
        refuseNewAtServersOf(request.id);
        for (std::size_t vm = 1; vm < Vms; vm++) {
            vms_[vm]->peerLink->reset();
            vms_[vm]->peerLink->open();
        }
        pass(milliseconds(3000));
        EXPECT_TRUE(request.isServed()) << request.client->received();
        EXPECT_EQ(versionsOf({request.id}).size(), 1U);
        healAll();
        cutOff(0, 0);
    }
}

// Guards against a caller that comes again with its last event and is served by another version.
TEST_F(OriginsOfFleet, AStreamThatACallerTakesUpGoesOnAtItsVersion)
{
    setEventGap(milliseconds(50));
    for (std::size_t vm = 1; vm < Vms; vm++) {
        TestRequest &first = send(0, "/resumed/");
        pass(milliseconds(300));
        first.client->close();
        const std::string firstId = first.id;
        TestRequest &second = send(vm, "/resumed/", "Last-Event-Id: 2\r\nResumes: " + firstId + "\r\n");
        pass(milliseconds(2500));
        EXPECT_TRUE(second.isServed()) << second.client->received();
        EXPECT_EQ(versionsOf({firstId, second.id}).size(), 1U);
    }
}

/// The VMs write down what begins their streams, and which versions serve.
class StoredOriginsOfFleet : public OriginsOfFleet
{
protected:
    StoredOriginsOfFleet()
    {
        for (std::size_t i = 0; i < vms_.size(); i++) {
            startWithStore(i);
        }
        passWithHistories(milliseconds(2000));
    }

    /// Also as after a restart: the VM remembers nothing.
    void startWithStore(std::size_t index)
    {
        TestVm &vm = *vms_[index];
        const auto store = rows::MemoryRowStore::create(*loop_, rows_);
        trackers_[index].reset();
        vm.tools.origins.reset();
        trackers_[index] = createTracker(index, origins::StoredOrigins::create({loop_.get(), store, vm.name}));
        vm.tools.origins = trackers_[index];
        vm.tools.softwareHistory = origins::SoftwareHistory::create({loop_.get(), vm.directory, store});
        start(vm);
    }

    void passWithHistories(Duration time)
    {
        constexpr Duration Step = milliseconds(250);
        for (Duration passed{0}; passed < time; passed += Step) {
            for (const auto &vm : vms_) {
                vm->tools.softwareHistory->tick();
            }
            pass(Step);
        }
    }

    std::shared_ptr<rows::MemoryRows> rows_ = std::make_shared<rows::MemoryRows>();
};

// Guards against streams that a VM refuses, or takes for those of another version, while it hears no other VM.
TEST_F(StoredOriginsOfFleet, AStreamThatIsTakenUpAtAVmThatIsCutOffGoesOnAtItsVersion)
{
    setEventGap(milliseconds(50));
    for (int i = 0; i < 6; i++) {
        TestRequest &first = send(0, "/resumed/");
        passWithHistories(milliseconds(750));
        first.client->close();
        const std::string firstId = first.id;
        startWithStore(1);
        passWithHistories(milliseconds(500));
        network_->cutOff.insert(originVms_[1].endpoint);
        TestRequest &second = send(1, "/resumed/", "Last-Event-Id: 2\r\nResumes: " + firstId + "\r\n");
        passWithHistories(milliseconds(3000));
        EXPECT_TRUE(second.isServed()) << second.client->received();
        EXPECT_EQ(versionsOf({firstId, second.id}).size(), 1U);
        network_->cutOff.clear();
    }
    EXPECT_GT(vms_[1]->tools.metrics->counter("streams_resumed_total{origin=\"store\"}"), 0U);
}

// Guards against a stream that is guessed at: its id is another's, or never was.
TEST_F(OriginsOfFleet, AStreamThatNobodyKnowsIsRefusedAtOnce)
{
    TestRequest &request = send(0, "/resumed/", "Last-Event-Id: 2\r\nResumes: never-was\r\n");
    pass(milliseconds(200));
    EXPECT_TRUE(request.client->received().starts_with("HTTP/1.1 503")) << request.client->received();
    EXPECT_EQ(request.client->received().find("Retry-After"), std::string::npos) << "it won't be known later";
    EXPECT_EQ(versionsOf({request.id}).size(), 0U);
    for (const origins::OriginVm &vm : originVms_) {
        network_->cutOff.insert(vm.endpoint);
    }
    TestRequest &unanswered = send(0, "/resumed/", "Last-Event-Id: 2\r\nResumes: never-was\r\n");
    pass(milliseconds(500));
    EXPECT_TRUE(unanswered.client->received().starts_with("HTTP/1.1 503")) << unanswered.client->received();
    EXPECT_NE(unanswered.client->received().find("Retry-After: 0.2"), std::string::npos);
}

} // namespace

} // namespace cardamomlift::forwarding
