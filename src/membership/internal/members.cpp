#include "membership/members.h"

#include <algorithm>

namespace cardamomlift::membership {

std::shared_ptr<Members> Members::create(std::string self)
{
    std::shared_ptr<Members> members(new Members);
    members->self_ = std::move(self);
    return members;
}

const std::string &Members::self() const
{
    return self_;
}

void Members::applyList(std::span<const Vm> list)
{
    std::map<std::string, Vm> next;
    for (const Vm &vm : list) {
        Vm &entry = next[vm.instance];
        entry = vm;
        if (vm.state == VmState::Leaving) {
            leaving_.insert(vm.instance);
        }
        if (leaving_.contains(vm.instance) && entry.state == VmState::Live) {
            entry.state = VmState::Leaving;
        }
    }
    if (next == vms_) {
        return;
    }
    vms_ = std::move(next);
    notify();
}

bool Members::markLeaving(const std::string &instance)
{
    if (!leaving_.insert(instance).second) {
        return false;
    }
    const auto found = vms_.find(instance);
    if (found != vms_.end() && found->second.state == VmState::Live) {
        found->second.state = VmState::Leaving;
    }
    notify();
    return true;
}

bool Members::isLeaving(const std::string &instance) const
{
    return leaving_.contains(instance);
}

const Vm *Members::find(const std::string &instance) const
{
    const auto found = vms_.find(instance);
    return found == vms_.end() ? nullptr : &found->second;
}

std::vector<Vm> Members::backends(VmRole role, std::string_view name) const
{
    std::vector<Vm> result;
    for (const auto &[instance, vm] : vms_) {
        const bool serves = std::find(vm.serves.begin(), vm.serves.end(), name) != vm.serves.end();
        if (vm.role == role && vm.state == VmState::Live && serves) {
            result.push_back(vm);
        }
    }
    return result;
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
    handlers_.push_back(std::move(handler));
}

void Members::notify()
{
    for (const auto &handler : handlers_) {
        handler();
    }
}

peers::PeerAddress peerAddress(const Vm &vm)
{
    return {vm.instance, vm.address, vm.peerPort};
}

} // namespace cardamomlift::membership
