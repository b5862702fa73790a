#include "origins/origintracker.h"

#include "http1/tests/looptest.h"
#include "http1/tests/mutatedbytes.h"
#include "origins/originsformat.h"
#include "origins/ownerrules.h"
#include "origins/tests/fakenetwork.h"

#include <algorithm>
#include <cstdio>
#include <numeric>

namespace cardamomlift::origins {

namespace {

constexpr SoftwareId Software = 7;

/// Several entry VMs in three failure domains, on a clock that stands still.
class OriginTrackerTest : public http1::LoopTest
{
protected:
    OriginTrackerTest()
    {
        clock_.pause();
        network_->loop = loop_.get();
    }

    void startVms(std::size_t count)
    {
        for (std::size_t i = 0; i < count; i++) {
            vms_.push_back({"vm-" + std::to_string(i), "zone-" + std::to_string(i % 3), {"127.0.0.1", static_cast<std::uint16_t>(1000 + i)}, 0});
            trackers_.emplace_back();
        }
        for (std::size_t i = 0; i < count; i++) {
            startVm(i);
        }
        pass(std::chrono::milliseconds(500));
    }

    /// Starts the VM's process, or starts it again: it has forgotten everything.
    void startVm(std::size_t index)
    {
        trackers_[index].reset();
        vms_[index].incarnation++;
        OriginTools tools;
        tools.loop = loop_.get();
        tools.self = vms_[index];
        tools.socket = std::make_shared<FakeSocket>(network_, vms_[index].endpoint);
        tools.others = [this, index]() -> std::optional<std::vector<OriginVm>> {
            if (!isFleetKnown_) {
                return std::nullopt;
            }
            std::vector<OriginVm> others = vms_;
            others.erase(others.begin() + static_cast<std::ptrdiff_t>(index));
            return others;
        };
        trackers_[index] = OriginTracker::create(std::move(tools));
    }

    void pass(Duration time)
    {
        constexpr Duration Step = std::chrono::milliseconds(1);
        constexpr int StepsPerTick = 250;
        for (Duration passed{0}; passed < time; passed += Step) {
            clock_.advance(Step);
            loop_->runDue();
            if (++steps_ % StepsPerTick == 0) {
                for (const auto &tracker : trackers_) {
                    if (tracker) {
                        tracker->tick();
                    }
                }
                loop_->runDue();
            }
        }
    }

    FoundOrigin find(std::size_t vm, StreamId stream)
    {
        std::optional<FoundOrigin> result;
        trackers_[vm]->find(stream, [&](const FoundOrigin &found) { result = found; });
        for (int i = 0; i < 400 && !result; i++) {
            pass(std::chrono::milliseconds(1));
        }
        EXPECT_TRUE(result);
        return result.value_or(FoundOrigin());
    }

    std::shared_ptr<FakeNetwork> network_ = std::make_shared<FakeNetwork>();
    std::vector<OriginVm> vms_;
    std::vector<std::shared_ptr<OriginTracker>> trackers_;
    bool isFleetKnown_ = true; ///< To processes that ask for the other VMs.
    int steps_ = 0;
};

TEST_F(OriginTrackerTest, EachVmFindsOutWhatBeganAStream)
{
    startVms(9);
    trackers_[0]->noteBegun(1, Software);
    for (std::size_t vm = 0; vm < vms_.size(); vm++) {
        pass(std::chrono::milliseconds(5));
        const FoundOrigin found = find(vm, 1);
        EXPECT_EQ(found.software, Software);
        EXPECT_EQ(found.source, vm == 0 ? OriginSource::Own : found.source);
    }
}

// Guards against a damaged datagram of another VM that ends the process.
TEST_F(OriginTrackerTest, DamagedDatagramsAreSurvived)
{
    constexpr unsigned Seed = 20261205;
    constexpr int Rounds = 20'000;
    startVms(3);
    OriginMessage message;
    message.from = vms_[1].endpoint;
    message.origins = {{1, Software, std::chrono::seconds(3)}, {2, Software, Duration(0)}};
    message.asked = {3, 4};
    message.unknown = {5};
    message.toStore = {{6, Software, Duration(0)}};
    const std::string bytes = encodeMessage(message);
    std::mt19937 random(Seed);
    for (int round = 0; round < Rounds; round++) {
        network_->handlers.at(vms_[0].endpoint)(http1::mutatedBytes(bytes, random));
    }
    pass(std::chrono::seconds(1));
    trackers_[1]->noteBegun(7, Software);
    pass(std::chrono::milliseconds(5));
    EXPECT_EQ(find(0, 7).software, Software);
}

TEST_F(OriginTrackerTest, AStreamThatNeverWasIsUnknown)
{
    startVms(9);
    EXPECT_EQ(find(0, 1).source, OriginSource::Unknown);
    startVms(0);
    network_->cutOff = {
        vms_[1].endpoint, vms_[2].endpoint, vms_[3].endpoint, vms_[4].endpoint, vms_[5].endpoint, vms_[6].endpoint, vms_[7].endpoint, vms_[8].endpoint};
    const FoundOrigin found = find(0, 2);
    EXPECT_EQ(found.source, OriginSource::Unanswered);
    EXPECT_FALSE(found.software);
}

// Guards against origins that end with the VM at which the stream began, and with a part of those that keep it.
TEST_F(OriginTrackerTest, OriginsOutliveTheVmThatToldThem)
{
    startVms(9);
    for (StreamId stream = 1; stream <= 50; stream++) {
        trackers_[0]->noteBegun(stream, Software);
    }
    pass(std::chrono::milliseconds(5));
    trackers_[0].reset();
    trackers_[1].reset();
    for (StreamId stream = 1; stream <= 50; stream++) {
        EXPECT_EQ(find(2, stream).software, Software) << stream;
    }
}

// Guards against a rolling restart in which one VM after the other forgets.
TEST_F(OriginTrackerTest, OriginsOutliveARestartOfOneVmAfterTheOther)
{
    startVms(9);
    for (StreamId stream = 1; stream <= 50; stream++) {
        trackers_[stream % 9]->noteBegun(stream, Software);
    }
    pass(std::chrono::milliseconds(5));
    for (std::size_t vm = 0; vm < vms_.size(); vm++) {
        startVm(vm);
        pass(std::chrono::milliseconds(600));
    }
    for (StreamId stream = 1; stream <= 50; stream++) {
        EXPECT_EQ(find(4, stream).software, Software) << stream;
    }
}

// Guards against a process that has just started, asks nobody, and takes the stream for one that nobody knows.
TEST_F(OriginTrackerTest, AQuestionWaitsForTheListOfVms)
{
    startVms(4);
    trackers_[0]->noteBegun(1, Software);
    pass(std::chrono::milliseconds(5));
    isFleetKnown_ = false;
    startVm(3);
    std::optional<FoundOrigin> result;
    trackers_[3]->find(1, [&](const FoundOrigin &found) { result = found; });
    pass(std::chrono::milliseconds(50));
    EXPECT_FALSE(result);
    isFleetKnown_ = true;
    pass(std::chrono::milliseconds(100));
    ASSERT_TRUE(result);
    EXPECT_EQ(result->software, Software);

    isFleetKnown_ = false;
    startVm(3);
    EXPECT_EQ(find(3, 1).source, OriginSource::Unanswered) << "it may be known later";
}

// Guards against a question that is lost with one datagram.
TEST_F(OriginTrackerTest, AQuestionIsAskedAgain)
{
    startVms(4);
    trackers_[0]->noteBegun(1, Software);
    pass(std::chrono::milliseconds(5));
    // The owners are the three others or all but one of them, so a VM that does not keep it must ask.
    trackers_[3].reset();
    startVm(3);
    network_->cutOff.insert(vms_[3].endpoint);
    std::optional<FoundOrigin> result;
    trackers_[3]->find(1, [&](const FoundOrigin &found) { result = found; });
    pass(std::chrono::milliseconds(20));
    EXPECT_FALSE(result);
    network_->cutOff.clear();
    pass(std::chrono::milliseconds(60));
    ASSERT_TRUE(result);
    EXPECT_EQ(result->software, Software);
}

TEST_F(OriginTrackerTest, OriginsAreForgotten)
{
    startVms(3);
    trackers_[0]->noteBegun(1, Software);
    pass(OriginLifetime / 2);
    trackers_[0]->noteBegun(1, Software);
    pass(OriginLifetime * 3 / 4);
    EXPECT_EQ(trackers_[0]->size(), 1U) << "it was resumed";
    pass(OriginLifetime);
    for (const auto &tracker : trackers_) {
        EXPECT_EQ(tracker->size(), 0U);
    }
}

TEST_F(OriginTrackerTest, AFloodOfStreamsTakesABoundedAmount)
{
    startVms(1);
    for (StreamId stream = 1; stream <= 250'000; stream++) {
        trackers_[0]->noteBegun(stream, Software);
    }
    EXPECT_EQ(trackers_[0]->size(), 100'000U);
    EXPECT_EQ(find(0, 250'000).software, Software);
    EXPECT_EQ(find(0, 1).source, OriginSource::Unknown);
}

TEST_F(OriginTrackerTest, BytesThatAreNoMessageAreIgnored)
{
    startVms(2);
    network_->handlers.at(vms_[0].endpoint)("\xff no message");
    EXPECT_EQ(find(0, 1).source, OriginSource::Unknown);
}

// At the size of docs/CAPACITY.md, as if all requests were streams that may be resumed.
TEST_F(OriginTrackerTest, AFullFleetStaysWithinItsControlTraffic)
{
    constexpr std::size_t Vms = 380;
    constexpr int StreamsPerSecond = 8100;
    constexpr int Seconds = 1;
    constexpr std::size_t PacketHeader = 28; // IPv4 and UDP.
    constexpr std::size_t ControlBytesPerSecond = 14'000;
    startVms(Vms);
    StreamId stream = 0;
    for (int i = 0; i < Seconds * 100; i++) {
        for (int j = 0; j < StreamsPerSecond / 100; j++, stream++) {
            trackers_[stream % Vms]->noteBegun(stream, Software);
        }
        pass(std::chrono::milliseconds(10));
    }
    const std::size_t bytes = (network_->bytes + network_->datagrams * PacketHeader) / Vms / Seconds;
    const std::size_t kept =
        std::accumulate(trackers_.begin(), trackers_.end(), std::size_t(0), [](std::size_t sum, const auto &tracker) { return sum + tracker->size(); });
    std::printf("measured: %zu datagrams, %zu bytes a second and VM sent, %zu origins a VM and second kept\n",
        network_->datagrams / Vms / Seconds,
        bytes,
        kept / Vms / Seconds);
    EXPECT_LE(2 * bytes, ControlBytesPerSecond) << "sent and received";
    network_->datagrams = network_->bytes = 0;
    startVm(1);
    pass(std::chrono::milliseconds(300));
    std::printf("measured: %zu datagrams, %zu bytes over all VMs when one starts again\n", network_->datagrams, network_->bytes);
    EXPECT_EQ(find(0, 1).software, Software);
}

TEST(OwnerRules, OwnersAreInDifferentFailureDomainsAndStayWhereTheyAre)
{
    constexpr int Vms = 12;
    std::vector<OriginVm> vms;
    vms.reserve(Vms);
    for (int i = 0; i < Vms; i++) {
        vms.push_back({"vm-" + std::to_string(i), "zone-" + std::to_string(i % 4), {}, 0});
    }
    int moved = 0;
    for (StreamId stream = 0; stream < 200; stream++) {
        const auto owners = chooseOwners(stream, vms);
        ASSERT_EQ(owners.size(), Owners);
        std::set<std::string> zones;
        for (const std::size_t owner : owners) {
            zones.insert(vms[owner].zone);
        }
        EXPECT_EQ(zones.size(), Owners);
        const std::vector<OriginVm> fewer(vms.begin(), vms.end() - 1);
        const auto without = chooseOwners(stream, fewer);
        moved += std::count_if(owners.begin(), owners.end(), [&](std::size_t owner) {
            return owner < fewer.size() && std::find(without.begin(), without.end(), owner) == without.end();
        });
    }
    EXPECT_LT(moved, 20) << "a VM that goes moves little but its own";
    EXPECT_EQ(chooseOwners(1, std::span(vms).first(2)).size(), 2U);
}

TEST(OriginIds, TheBorderBetweenTheTextsCounts)
{
    EXPECT_NE(softwareId("ab", "c"), softwareId("a", "bc"));
    EXPECT_NE(streamId("customer", "id"), streamId("other", "id")) << "a customer can't name another's stream";
}

} // namespace

} // namespace cardamomlift::origins
