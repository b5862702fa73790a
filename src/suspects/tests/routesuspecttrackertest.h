#pragma once

#include "suspects/routesuspecttracker.h"

#include <gtest/gtest.h>

#include <chrono>
#include <string>
#include <vector>

namespace cardamomlift::suspects {

/// The tracker of one VM, with the list of servers that it reads.
class TrackerVm
{
public:
    explicit TrackerVm(EventLoop &loop)
        : loop_(loop)
    {
        RouteSuspectTools tools;
        tools.loop = &loop;
        tools.directory = directory;
        tools.log = eventlog::EventLog::create(loop.clock(), "vm", [](std::string_view) { return true; });
        tools.metrics = metrics::Metrics::create();
        tracker = RouteSuspectTracker::create(std::move(tools));
    }

    void list(const std::string &instance, directory::ServerState state = directory::ServerState::Ready)
    {
        directory::BackendServer server;
        server.name = instance;
        server.instance = instance;
        server.service = "service";
        server.state = state;
        directory->put(std::move(server));
    }

    /// The list is known to be complete now.
    void confirmList()
    {
        directory->noteListComplete({0, ++listVersion_}, loop_.now());
    }

    void unlist(const std::string &instance)
    {
        directory->remove(instance, loop_.now());
        confirmList();
    }

    void breakConnection(const std::string &instance, Fingerprint fingerprint, Duration ranFor = std::chrono::milliseconds(10))
    {
        tracker->noteConnectionBroken(instance, {fingerprint, 0, ranFor, {}});
    }

    void breakRun(const std::string &instance, Fingerprint fingerprint, std::vector<PartKey> parts)
    {
        tracker->noteConnectionBroken(instance, {fingerprint, 0, std::chrono::milliseconds(10), std::move(parts)});
    }

    void answer(std::vector<PartKey> parts)
    {
        tracker->noteAnswered(parts);
    }

    /// How a request that no server has run yet may run with @p parts.
    SuspectState stateOfParts(const std::vector<PartKey> &parts)
    {
        return tracker->judge({NewRequest, parts}).state;
    }

    SuspectState stateOf(Fingerprint fingerprint)
    {
        return tracker->judge({fingerprint, {}}).state;
    }

    static constexpr Fingerprint NewRequest = 999;

    std::shared_ptr<directory::Directory> directory = directory::Directory::create();
    std::shared_ptr<RouteSuspectTracker> tracker;

private:
    EventLoop &loop_;
    std::uint64_t listVersion_ = 0;
};

class RouteSuspectTrackerTest : public testing::Test
{
protected:
    RouteSuspectTrackerTest()
    {
        for (int i = 1; i <= 5; i++) {
            vm_.list("server-" + std::to_string(i));
            peer_.list("server-" + std::to_string(i));
        }
    }

    void advance(Duration time)
    {
        clock_.advance(time);
        vm_.tracker->tick();
        peer_.tracker->tick();
    }

    /// The request runs on the server, which crashes; its entry is removed some seconds later.
    void crash(const std::string &instance, Fingerprint fingerprint)
    {
        vm_.breakConnection(instance, fingerprint);
        advance(std::chrono::seconds(4));
        vm_.unlist(instance);
        advance(std::chrono::milliseconds(500));
    }

    void exchange()
    {
        peer_.tracker->applyPeerUpdate("vm", vm_.tracker->updateToShare());
        vm_.tracker->applyPeerUpdate("peer", peer_.tracker->updateToShare());
    }

    ManualClock clock_;
    std::unique_ptr<EventLoop> loop_ = std::move(EventLoop::create(clock_).value());
    TrackerVm vm_{*loop_};
    TrackerVm peer_{*loop_};
};

} // namespace cardamomlift::suspects
