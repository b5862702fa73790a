#include "membership/members.h"

#include <algorithm>

namespace cardamomlift::membership {

namespace {

constexpr Duration ProvisionalTtl = std::chrono::minutes(3);
constexpr Duration MarkRetention = std::chrono::hours(24); // After the list last showed the instance.

} // namespace

std::shared_ptr<Members> Members::create(std::string self, const Clock *clock)
{
    std::shared_ptr<Members> members(new Members);
    members->self_ = std::move(self);
    members->clock_ = clock;
    return members;
}

const std::string &Members::self() const
{
    return self_;
}

WallTime Members::now() const
{
    return clock_ ? clock_->wallNow() : WallTime();
}

void Members::applyList(std::span<const Vm> list)
{
    listed_.clear();
    for (const Vm &vm : list) {
        listed_[vm.instance] = vm;
        provisional_.erase(vm.instance);
        const auto mark = marks_.find(vm.instance);
        if (mark != marks_.end()) {
            mark->second.lastListed = now();
        }
    }
    for (const Vm &vm : list) {
        if (vm.state == VmState::Leaving && !isLeaving(vm.instance)) {
            const LeavingMark mark{LeavingSource::List, self_, now(), now()};
            addMark(vm.instance, mark);
            for (const auto &handler : markHandlers_) {
                handler(vm.instance, mark);
            }
        }
    }
    rebuild();
}

void Members::addProvisional(const Vm &vm)
{
    if (vm.instance == self_ || listed_.contains(vm.instance)) {
        return;
    }
    provisional_[vm.instance] = {vm, now() + ProvisionalTtl};
    rebuild();
}

bool Members::markLeaving(const std::string &instance, LeavingSource source)
{
    const LeavingMark mark{source, self_, now(), now()};
    if (!addMark(instance, mark)) {
        return false;
    }
    for (const auto &handler : markHandlers_) {
        handler(instance, mark);
    }
    applyMark(instance);
    return true;
}

bool Members::applyRemoteMark(const std::string &instance, LeavingMark mark)
{
    mark.known = now();
    if (!addMark(instance, std::move(mark))) {
        return false;
    }
    applyMark(instance);
    return true;
}

bool Members::addMark(const std::string &instance, LeavingMark mark)
{
    return marks_.emplace(instance, MarkEntry{std::move(mark), now()}).second;
}

bool Members::isLeaving(const std::string &instance) const
{
    return marks_.contains(instance);
}

std::optional<LeavingMark> Members::leavingMark(const std::string &instance) const
{
    const auto found = marks_.find(instance);
    return found == marks_.end() ? std::nullopt : std::optional(found->second.mark);
}

const Vm *Members::find(const std::string &instance) const
{
    const auto found = vms_.find(instance);
    return found == vms_.end() ? nullptr : &found->second;
}

std::vector<Vm> Members::backends(VmRole role, std::string_view name) const
{
    std::vector<Vm> reachable;
    std::vector<Vm> unreachable;
    for (const auto &[instance, vm] : vms_) {
        const bool serves = std::find(vm.serves.begin(), vm.serves.end(), name) != vm.serves.end();
        if (vm.role == role && vm.state == VmState::Live && serves) {
            (isUnreachable(instance) ? unreachable : reachable).push_back(vm);
        }
    }
    // NOTE If no other server is left, one that refused connections a moment ago is still worth a try.
    return reachable.empty() ? unreachable : reachable;
}

std::vector<Vm> Members::peers() const
{
    std::vector<Vm> result;
    for (const auto &[instance, vm] : vms_) {
        if (vm.role == VmRole::Entry && instance != self_ && vm.state != VmState::Gone) {
            result.push_back(vm);
        }
    }
    return result;
}

const std::map<std::string, Vm> &Members::all() const
{
    return vms_;
}

void Members::onChange(std::function<void()> handler)
{
    changeHandlers_.push_back(std::move(handler));
}

void Members::onLocalMark(MarkHandler handler)
{
    markHandlers_.push_back(std::move(handler));
}

void Members::reportUnreachable(const std::string &instance)
{
    for (const auto &handler : unreachableHandlers_) {
        handler(instance);
    }
}

void Members::onUnreachableReport(std::function<void(const std::string &)> handler)
{
    unreachableHandlers_.push_back(std::move(handler));
}

void Members::setUnreachable(const std::string &instance, WallTime until)
{
    unreachable_[instance] = until;
}

bool Members::isUnreachable(const std::string &instance) const
{
    const auto found = unreachable_.find(instance);
    return found != unreachable_.end() && found->second > now();
}

std::size_t Members::unreachableCount() const
{
    return static_cast<std::size_t>(std::count_if(unreachable_.begin(), unreachable_.end(), [this](const auto &entry) { return entry.second > now(); }));
}

Health Members::healthOf(const std::string &instance) const
{
    const auto found = health_.find(instance);
    return found == health_.end() ? Health::Alive : found->second;
}

void Members::setHealth(const std::string &instance, Health health)
{
    if (health == Health::Alive) {
        health_.erase(instance);
        return;
    }
    health_[instance] = health;
    // The rumour that this VM was listed is older than its failure. A VM that has ended must not stay a member for minutes.
    if (health == Health::Failed && provisional_.erase(instance) > 0) {
        rebuild();
    }
}

void Members::removeExpired()
{
    if (!clock_) {
        return;
    }
    std::erase_if(provisional_, [this](const auto &entry) { return entry.second.until <= now(); });
    std::erase_if(unreachable_, [this](const auto &entry) { return entry.second <= now(); });
    std::erase_if(marks_, [this](const auto &entry) { return !listed_.contains(entry.first) && entry.second.lastListed + MarkRetention <= now(); });
    rebuild();
    std::erase_if(health_, [this](const auto &entry) { return !vms_.contains(entry.first); });
}

std::size_t Members::markCount() const
{
    return marks_.size();
}

// NOTE Changes one entry instead of calling rebuild(): when a failure domain goes down, a hundred marks arrive at once.
void Members::applyMark(const std::string &instance)
{
    const auto found = vms_.find(instance);
    if (found != vms_.end() && found->second.state == VmState::Live) {
        found->second.state = VmState::Leaving;
    }
    notify();
}

void Members::notify()
{
    const std::vector<std::function<void()>> handlers = changeHandlers_;
    for (const auto &handler : handlers) {
        handler();
    }
}

// Calls the handlers only if something changed: the list read is usually the same as the one before.
void Members::rebuild()
{
    std::map<std::string, Vm> next = listed_;
    for (const auto &[instance, entry] : provisional_) {
        next[instance] = entry.vm;
    }
    for (auto &[instance, vm] : next) {
        if (vm.state == VmState::Live && isLeaving(instance)) {
            vm.state = VmState::Leaving;
        }
    }
    if (next == vms_) {
        return;
    }
    vms_ = std::move(next);
    notify();
}

peers::PeerAddress peerAddress(const Vm &vm)
{
    return {vm.instance, vm.address, vm.peerPort};
}

} // namespace cardamomlift::membership
