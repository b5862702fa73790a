// The grantor's side of a keeper: which entry VM grants, and what it grants.

#include "limits/limitkeeper.h"

#include "kernel/log.h"
#include "limits/limits.pb.h"
#include "limitshare.h"

#include <algorithm>
#include <iterator>

namespace cardamomlift::limits {

namespace {

constexpr Duration WarmUp = std::chrono::seconds(1); ///< Before a new grantor grants: older grants are used up by then.
constexpr std::size_t ProbedAfterSilence = 4;

} // namespace

void LimitKeeper::onEntriesChanged()
{
    const std::string &self = tools_.members->self();
    std::vector<std::string> entries;
    if (!tools_.members->isLeaving(self)) {
        entries.push_back(self);
    }
    listedEntries_ = 1;
    std::size_t liveEntries = entries.size();
    for (const membership::Vm &vm : tools_.members->peers()) {
        listedEntries_++;
        liveEntries += vm.state == membership::VmState::Live ? 1 : 0;
        if (vm.state == membership::VmState::Live && !suspects_.contains(vm.instance)) {
            entries.push_back(vm.instance);
        }
    }
    // A VM that reaches no more than half of the others may itself be the one that is cut off.
    hasMajority_ = entries.size() * 2 > liveEntries;
    const bool isNews = entries != entries_;
    if (isNews) {
        entries_ = std::move(entries);
        entriesSince_ = tools_.loop->now();
    }
    std::erase_if(pools_, [this, &self](const auto &entry) { return grantor(entry.first) != self; });
    for (auto &[customer, pool] : pools_) {
        // A VM that is no longer listed can run nothing; one that is only cut off may, and keeps its slots.
        std::erase_if(pool.holders, [this, &self](const auto &holder) { return holder.first != self && !tools_.members->find(holder.first); });
    }
    for (const auto &[customer, share] : shares_) {
        if (isNews && share->openHeld > 0) {
            askSoon(share, ReturnSlotAfter);
        }
    }
}

std::string_view LimitKeeper::grantor(const std::string &customer) const
{
    return hasMajority_ ? grantorOf(customer, entries_) : std::string_view();
}

wire::GrantReply LimitKeeper::grant(const std::string &instance, const wire::GrantAsk &ask)
{
    const std::string &customer = ask.customer();
    const auto contract = tools_.contracts->find(customer);
    const std::string_view holder = grantor(customer);
    if (!contract || holder != tools_.members->self()) {
        // The asker may know that the grantor is dead before this VM does.
        if (!holder.empty() && contract) {
            probe(std::string(holder));
        }
        return {};
    }
    auto pool = pools_.find(customer);
    if (pool == pools_.end()) {
        if (tools_.loop->now() - entriesSince_ < WarmUp) {
            return {};
        }
        pool = pools_.emplace(customer, Pool()).first;
        pool->second.requests.updatedAt = entriesSince_;
        // A quarter at once: a minute's tokens may just have been used up at an earlier grantor.
        pool->second.tokens = {tokenRate(contract->contract.limits).capacity / 4, entriesSince_};
    }
    return grantFrom(pool->second, contract->contract.limits, instance, ask, tools_.loop->now());
}

void LimitKeeper::suspect(const std::string &instance)
{
    if (suspects_.insert(instance).second) {
        partLogger("limits")->warn("An entry VM does not answer. instance={}", instance);
        onEntriesChanged();
        probeSome(ProbedAfterSilence);
    }
}

// Tells a peer that is gone from a cut around this VM: each VM that is silent leads to a few more probes.
void LimitKeeper::probeSome(std::size_t count)
{
    std::vector<std::string> targets;
    std::sample(entries_.begin(), entries_.end(), std::back_inserter(targets), count, random_);
    for (const std::string &target : targets) {
        probe(target);
    }
}

void LimitKeeper::probe(const std::string &instance)
{
    const membership::Vm *vm = tools_.members->find(instance);
    if (!vm || instance == tools_.members->self()) {
        return;
    }
    const std::weak_ptr<LimitKeeper> weak = weak_from_this();
    tools_.peers->send(membership::peerAddress(*vm), ProbeTopic, std::string(), AskTimeout, [weak, instance](const Result<std::string> &answer) {
        const auto self = weak.lock();
        if (!self) {
            return;
        }
        if (!answer) {
            self->suspect(instance);
        } else if (self->suspects_.erase(instance) > 0) {
            self->onEntriesChanged();
        }
    });
}

void LimitKeeper::probeSuspects()
{
    std::erase_if(suspects_, [this](const std::string &instance) { return !tools_.members->find(instance); });
    for (const std::string &instance : suspects_) {
        probe(instance);
    }
}

} // namespace cardamomlift::limits
