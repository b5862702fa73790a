#pragma once

#include "presence/statussummary.h"
#include "routeadmission/routeadmission.h"

#include <algorithm>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace cardamomlift::routeadmission {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Requests of one kind.
struct Load {
    int priority = 0;
    std::uint64_t customer = 0;
    double perSecond = 0;
    milliseconds goal{200};
    Duration from{0};
    Duration to = seconds(3600);
    std::int64_t tokens = 100;
    double largeShare = 0; ///< Of the requests; these have four times the tokens.
};

/// What became of the requests of a load that came within the measured time.
struct Outcome {
    int asked = 0;
    int served = 0;
    int inTime = 0;
    int refused = 0; ///< By the gate or by servers.
    int refusedIdle = 0; ///< While fewer than half of the slots were taken.
    int large = 0;
    int largeServed = 0;
    int returns = 0; ///< Requests that came back after a refusal.
    int returnsServed = 0;
    Duration longestRefusal{0};

    double servedShare() const
    {
        return asked > 0 ? static_cast<double>(served) / asked : 1;
    }
    double inTimeShare() const
    {
        return asked > 0 ? static_cast<double>(inTime) / asked : 1;
    }
};

/// What callers do after a refusal.
enum class Returns { Never, AsTold, AtOnce };

/// Entry VMs with their gates, which exchange statuses, and servers with slots and short queues, on a simulated clock.
class FleetModel
{
public:
    struct Layout {
        std::size_t vms = 4;
        std::size_t groups = 1;
        std::size_t servers = 8;
        int slots = 2;
        int queue = 6;
        milliseconds workTime{60};
        bool hasGates = true;
        unsigned seed = 1;
    };

    explicit FleetModel(Layout layout)
        : layout_(layout)
        , random_(layout.seed)
        , loop_(std::move(EventLoop::create(clock_)).value())
        , servers_(layout.servers)
        , vms_(layout.vms)
    {
        for (std::size_t i = 0; i < vms_.size(); i++) {
            vms_[i].group = i % layout_.groups;
            vms_[i].statusDueAt = clock_.now() + milliseconds(random_() % 350);
            start(i);
        }
    }

    void start(std::size_t i)
    {
        RouteAdmissionTools tools;
        tools.loop = loop_.get();
        tools.seed = 0x9e3779b97f4a7c15ULL * (i + 1) + random_();
        tools.slots = [this](const std::string &) {
            return static_cast<double>(layout_.slots) * static_cast<double>(servers_.size());
        };
        tools.goal = [this](const std::string &) {
            return Duration(goal_);
        };
        tools.vmCount = [this] {
            return vms_.size();
        };
        tools.reporterCount = [this] {
            return vms_.size() / layout_.groups + layout_.groups - 1;
        };
        vms_[i].gate = RouteAdmission::create(std::move(tools));
        vms_[i].open = 0;
        vms_[i].life++;
        vms_[i].tickAt = clock_.now() + milliseconds(random_() % 100);
    }

    /// All processes of entry VMs end and start anew; their requests are lost.
    void restartAll()
    {
        for (std::size_t i = 0; i < vms_.size(); i++) {
            start(i);
        }
        for (Server &server : servers_) {
            server = Server();
        }
        requests_.clear();
    }

    void stopVm(std::size_t i)
    {
        vms_[i].isUp = false;
    }

    void loseServers(std::size_t count)
    {
        for (std::size_t i = 0; i < count; i++) {
            for (const std::uint64_t id : servers_.back().running) {
                end(id, false);
            }
            for (const std::uint64_t id : servers_.back().waiting) {
                end(id, false);
            }
            servers_.pop_back();
        }
    }

    std::vector<Outcome> run(const std::vector<Load> &loads, Duration time, Duration measuredFrom, Returns returns = Returns::Never)
    {
        loads_ = loads;
        returns_ = returns;
        outcomes_.assign(loads.size(), Outcome());
        goal_ = milliseconds(0);
        for (const Load &load : loads) {
            goal_ = goal_.count() == 0 ? load.goal : std::min(goal_, load.goal);
        }
        runStartedAt_ = clock_.now();
        measuredFrom_ = runStartedAt_ + measuredFrom;
        servedAtServers_ = 0;
        measuredUntil_ = runStartedAt_ + time;
        // What came last ends after it.
        const TimePoint until = measuredUntil_ + milliseconds(500);
        while (clock_.now() < until) {
            step();
        }
        return outcomes_;
    }

    bool isShortAnywhere() const
    {
        return std::any_of(vms_.begin(), vms_.end(), [](const Vm &vm) { return vm.gate->isShort("service"); });
    }

    std::size_t toldEntries() const
    {
        std::size_t most = 0;
        for (const Vm &vm : vms_) {
            most = std::max(most, vm.gate->demandsToShare().size());
        }
        return most;
    }

    /// The shares of a priority that a tenth of the VMs stay under, and nine tenths.
    std::pair<double, double> shares(int priority) const
    {
        std::vector<double> shares;
        for (const Vm &vm : vms_) {
            shares.push_back(vm.gate->admittedShare("service", priority));
        }
        std::sort(shares.begin(), shares.end());
        return {shares[shares.size() / 10], shares[shares.size() - 1 - shares.size() / 10]};
    }

    /// Requests that servers have answered during the last run, in the measured time.
    int servedAtServers() const
    {
        return servedAtServers_;
    }

private:
    struct Request {
        std::size_t load = 0;
        std::size_t vm = 0;
        int life = 0; ///< Of the VM's process.
        TimePoint arrivedAt;
        bool isReturn = false;
        bool isLarge = false;
        bool isMeasured = false;
        std::uint64_t ticket = 0;
    };
    struct Server {
        std::deque<std::uint64_t> running;
        std::deque<TimePoint> endsAt;
        std::deque<std::uint64_t> waiting;
    };
    struct Vm {
        std::shared_ptr<RouteAdmission> gate;
        std::size_t group = 0;
        std::uint32_t open = 0;
        RateMeter answers;
        int life = 0;
        bool isUp = true;
        TimePoint tickAt;
        TimePoint statusDueAt;
        presence::Status status;
    };

    void step()
    {
        clock_.advance(milliseconds(1));
        loop_->runDue();
        for (Server &server : servers_) {
            advance(server);
        }
        for (std::size_t i = 0; i < loads_.size(); i++) {
            const Load &load = loads_[i];
            const Duration at = clock_.now() - runStartedAt_;
            if (at < load.from || at >= load.to) {
                continue;
            }
            const int count = std::poisson_distribution<int>(load.perSecond / 1000)(random_);
            for (int n = 0; n < count; n++) {
                arrive(i, false);
            }
        }
        while (!returnsDue_.empty() && returnsDue_.begin()->first <= clock_.now()) {
            const std::size_t load = returnsDue_.begin()->second;
            returnsDue_.erase(returnsDue_.begin());
            arrive(load, true);
        }
        for (std::size_t i = 0; i < vms_.size(); i++) {
            Vm &vm = vms_[i];
            if (!vm.isUp) {
                continue;
            }
            if (vm.tickAt <= clock_.now()) {
                vm.tickAt += milliseconds(100);
                vm.gate->tick();
            }
            if (vm.statusDueAt <= clock_.now()) {
                vm.statusDueAt += milliseconds(350);
                sendStatus(i);
            }
        }
    }

    // One in twenty statuses is lost.
    void sendStatus(std::size_t i)
    {
        Vm &vm = vms_[i];
        vm.status = presence::Status();
        vm.status.instance = "vm-" + std::to_string(i);
        presence::ServiceLoad load;
        load.service = presence::nameHash("service");
        load.open = vm.open;
        load.answersPerSecond = vm.answers.perSecond(clock_.now(), TimePoint());
        vm.status.services = {load};
        vm.status.classDemands = vm.gate->demandsToShare();
        for (std::size_t other = 0; other < vms_.size(); other++) {
            if (other != i && vms_[other].group == vm.group && vms_[other].isUp && random_() % 20 != 0) {
                vms_[other].gate->applyPeer(vm.status);
            }
        }
        if (layout_.groups == 1) {
            return;
        }
        // This VM gets the summaries of the other groups.
        for (std::size_t group = 0; group < layout_.groups; group++) {
            if (group == vm.group || random_() % 20 == 0) {
                continue;
            }
            std::vector<presence::MemberStatus> members;
            for (const Vm &member : vms_) {
                if (member.group == group && member.isUp) {
                    members.push_back({&member.status, Duration(0)});
                }
            }
            presence::Status summary = presence::summarize("group-" + std::to_string(group), members);
            summary.instance = summary.summaryOf;
            vm.gate->applyPeer(summary);
        }
    }

    std::size_t openAtServers() const
    {
        std::size_t open = 0;
        for (const Server &server : servers_) {
            open += server.running.size() + server.waiting.size();
        }
        return open;
    }

    std::size_t anyVm()
    {
        std::size_t vm = random_() % vms_.size();
        while (!vms_[vm].isUp) {
            vm = random_() % vms_.size();
        }
        return vm;
    }

    void arrive(std::size_t index, bool isReturn)
    {
        const Load &load = loads_[index];
        const std::uint64_t id = nextId_++;
        Request &request = requests_[id];
        request.load = index;
        request.vm = anyVm();
        request.life = vms_[request.vm].life;
        request.arrivedAt = clock_.now();
        request.isReturn = isReturn;
        request.isLarge = std::uniform_real_distribution<double>(0, 1)(random_) < load.largeShare;
        request.isMeasured = clock_.now() >= measuredFrom_ && clock_.now() < measuredUntil_;
        Outcome &outcome = outcomes_[index];
        if (request.isMeasured) {
            outcome.asked += isReturn ? 0 : 1;
            outcome.returns += isReturn ? 1 : 0;
            outcome.large += request.isLarge ? 1 : 0;
        }
        vms_[request.vm].open++;
        if (!layout_.hasGates) {
            dispatch(id);
            return;
        }
        forwarding::AdmissionQuestion question;
        question.service = "service";
        question.priority = load.priority;
        question.customer = load.customer;
        question.promptTokens = load.tokens * (request.isLarge ? 4 : 1);
        question.latencyGoal = load.goal;
        question.arrivedAt = clock_.now();
        question.deadline = clock_.now() + seconds(20);
        question.salt = random_();
        const std::uint64_t ticket = vms_[request.vm].gate->ask(question, [this, id](const forwarding::AdmissionVerdict &verdict) {
            if (!requests_.contains(id)) {
                return;
            }
            if (verdict.isAdmitted) {
                dispatch(id);
            } else {
                refuse(id, verdict.retryAfter);
            }
        });
        // It may have been refused already.
        if (const auto found = requests_.find(id); found != requests_.end()) {
            found->second.ticket = ticket;
        }
    }

    void dispatch(std::uint64_t id)
    {
        for (int tries = 0; tries < 2; tries++) {
            Server *server = &servers_[random_() % servers_.size()];
            Server *other = &servers_[random_() % servers_.size()];
            if (other->running.size() + other->waiting.size() < server->running.size() + server->waiting.size()) {
                server = other;
            }
            if (server->running.size() < static_cast<std::size_t>(layout_.slots)) {
                server->running.push_back(id);
                server->endsAt.push_back(clock_.now() + layout_.workTime);
                return;
            }
            if (server->waiting.size() < static_cast<std::size_t>(layout_.queue)) {
                server->waiting.push_back(id);
                return;
            }
        }
        loop_->post([this, id] {
            const auto found = requests_.find(id);
            if (found == requests_.end()) {
                return;
            }
            const Request &request = found->second;
            if (layout_.hasGates && vms_[request.vm].life == request.life) {
                vms_[request.vm].gate->noteServerFull(request.ticket);
                refuse(id, vms_[request.vm].gate->retryAfter("service", loads_[request.load].priority));
            } else {
                refuse(id, milliseconds(500));
            }
        });
    }

    void advance(Server &server)
    {
        while (!server.endsAt.empty() && server.endsAt.front() <= clock_.now()) {
            const std::uint64_t id = server.running.front();
            server.running.pop_front();
            server.endsAt.pop_front();
            end(id, true);
            if (!server.waiting.empty()) {
                server.running.push_back(server.waiting.front());
                server.endsAt.push_back(clock_.now() + layout_.workTime);
                server.waiting.pop_front();
            }
        }
    }

    void end(std::uint64_t id, bool isServed)
    {
        const auto found = requests_.find(id);
        if (found == requests_.end()) {
            return;
        }
        const Request request = found->second;
        requests_.erase(found);
        leave(request);
        vms_[request.vm].answers.note(clock_.now(), isServed ? 1 : 0);
        Outcome &outcome = outcomes_[request.load];
        if (!isServed || !request.isMeasured) {
            return;
        }
        servedAtServers_++;
        outcome.largeServed += request.isLarge ? 1 : 0;
        if (request.isReturn) {
            outcome.returnsServed++;
            return;
        }
        outcome.served++;
        outcome.inTime += clock_.now() - request.arrivedAt <= loads_[request.load].goal ? 1 : 0;
    }

    void refuse(std::uint64_t id, Duration retryAfter)
    {
        const Request request = requests_.at(id);
        requests_.erase(id);
        leave(request);
        Outcome &outcome = outcomes_[request.load];
        if (request.isMeasured) {
            outcome.refused += request.isReturn ? 0 : 1;
            outcome.refusedIdle += openAtServers() * 2 < servers_.size() * static_cast<std::size_t>(layout_.slots) ? 1 : 0;
            outcome.longestRefusal = std::max(outcome.longestRefusal, clock_.now() - request.arrivedAt);
        }
        if (returns_ == Returns::AsTold) {
            returnsDue_.emplace(clock_.now() + retryAfter, request.load);
        } else if (returns_ == Returns::AtOnce) {
            returnsDue_.emplace(clock_.now() + milliseconds(50), request.load);
        }
    }

    void leave(const Request &request)
    {
        Vm &vm = vms_[request.vm];
        if (vm.life != request.life) {
            return;
        }
        vm.open -= std::min(vm.open, 1U);
        if (request.ticket != 0) {
            vm.gate->release(request.ticket);
        }
    }

    Layout layout_;
    std::mt19937 random_;
    ManualClock clock_;
    std::unique_ptr<EventLoop> loop_;
    std::vector<Server> servers_;
    std::vector<Vm> vms_;
    std::vector<Load> loads_;
    std::vector<Outcome> outcomes_;
    std::map<std::uint64_t, Request> requests_;
    std::multimap<TimePoint, std::size_t> returnsDue_;
    Returns returns_ = Returns::Never;
    milliseconds goal_{0};
    TimePoint runStartedAt_;
    TimePoint measuredFrom_;
    TimePoint measuredUntil_;
    std::uint64_t nextId_ = 1;
    int servedAtServers_ = 0;
};

} // namespace cardamomlift::routeadmission
