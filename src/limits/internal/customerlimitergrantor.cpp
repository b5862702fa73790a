// The part of CustomerLimiter that chooses the grantor of a customer, and grants quota where this VM is the grantor.

#include "limits/customerlimiter.h"

#include "kernel/log.h"
#include "limits/limits.pb.h"
#include "limitshare.h"

#include <algorithm>
#include <iterator>

namespace cardamomlift::limits {

namespace {

/// A new grantor grants nothing for this time, in which the grants of the earlier one are used up.
constexpr Duration GrantorWarmUp = std::chrono::seconds(1);
constexpr std::size_t ProbesAfterTimeout = 4;

} // namespace

void CustomerLimiter::onEntriesChanged()
{
    const std::string &self = tools_.members->self();
    std::vector<std::string> entries;
    if (!tools_.members->isLeaving(self)) {
        entries.push_back(self);
    }
    listedEntryCount_ = 1;
    std::size_t liveEntries = entries.size();
    for (const membership::Vm &vm : tools_.members->peers()) {
        listedEntryCount_++;
        liveEntries += vm.state == membership::VmState::Live ? 1 : 0;
        if (vm.state == membership::VmState::Live && !unreachable_.contains(vm.instance)) {
            entries.push_back(vm.instance);
        }
    }
    // A VM that reaches no more than half of the live entry VMs may itself be partitioned from the rest.
    hasMajority_ = entries.size() * 2 > liveEntries;
    const bool hasChanged = entries != entries_;
    if (hasChanged) {
        entries_ = std::move(entries);
        entriesChangedAt_ = tools_.loop->now();
    }
    std::erase_if(pools_, [this, &self](const auto &entry) { return grantor(entry.first) != self; });
    for (auto &[customer, pool] : pools_) {
        // A VM that is no longer listed runs no requests. One that is only partitioned may, so it keeps its slots.
        std::erase_if(pool.holders, [this, &self](const auto &holder) { return holder.first != self && !tools_.members->find(holder.first); });
    }
    for (const auto &[customer, share] : shares_) {
        if (hasChanged && share->slotsHeld > 0) {
            scheduleGrantRequest(share, SlotReturnDelay);
        }
    }
}

std::string_view CustomerLimiter::grantor(const std::string &customer) const
{
    return hasMajority_ ? grantorOf(customer, entries_) : std::string_view();
}

wire::GrantReply CustomerLimiter::grant(const std::string &instance, const wire::GrantAsk &request)
{
    const std::string &customer = request.customer();
    const auto contract = tools_.contracts->find(customer);
    const std::string_view grantorInstance = grantor(customer);
    if (!contract || grantorInstance != tools_.members->self()) {
        // The requesting VM may have noticed before this one that the grantor has failed.
        if (!grantorInstance.empty() && contract) {
            probe(std::string(grantorInstance));
        }
        return {};
    }
    auto pool = pools_.find(customer);
    if (pool == pools_.end()) {
        if (tools_.loop->now() - entriesChangedAt_ < GrantorWarmUp) {
            return {};
        }
        pool = pools_.emplace(customer, GrantPool()).first;
        pool->second.requests.updatedAt = entriesChangedAt_;
        // The bucket starts with a quarter of its capacity: the earlier grantor may just have granted the tokens of a whole minute.
        pool->second.tokens = {tokenRate(contract->contract.limits).capacity / 4, entriesChangedAt_};
    }
    return grantFrom(pool->second, contract->contract.limits, instance, request, tools_.loop->now());
}

void CustomerLimiter::markUnreachable(const std::string &instance)
{
    if (unreachable_.insert(instance).second) {
        partLogger("limits")->warn("An entry VM does not answer limit requests. instance={}", instance);
        onEntriesChanged();
        probeRandom(ProbesAfterTimeout);
    }
}

// Distinguishes a failed peer from a partition around this VM: each peer that does not answer triggers a few more probes.
void CustomerLimiter::probeRandom(std::size_t count)
{
    std::vector<std::string> targets;
    std::sample(entries_.begin(), entries_.end(), std::back_inserter(targets), count, random_);
    for (const std::string &target : targets) {
        probe(target);
    }
}

void CustomerLimiter::probe(const std::string &instance)
{
    const membership::Vm *vm = tools_.members->find(instance);
    if (!vm || instance == tools_.members->self()) {
        return;
    }
    const std::weak_ptr<CustomerLimiter> weak = weak_from_this();
    tools_.peers->send(membership::peerAddress(*vm), ProbeTopic, std::string(), CallTimeout, [weak, instance](const Result<std::string> &answer) {
        const auto self = weak.lock();
        if (!self) {
            return;
        }
        if (!answer) {
            self->markUnreachable(instance);
        } else if (self->unreachable_.erase(instance) > 0) {
            self->onEntriesChanged();
        }
    });
}

void CustomerLimiter::probeUnreachable()
{
    std::erase_if(unreachable_, [this](const std::string &instance) { return !tools_.members->find(instance); });
    for (const std::string &instance : unreachable_) {
        probe(instance);
    }
}

} // namespace cardamomlift::limits
