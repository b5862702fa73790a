#include "routing/serverindex.h"

#include "text/digest.h"

namespace cardamomlift::routing {

namespace {

/// Returns a hash of all properties that routing uses.
std::uint64_t signatureOf(const std::map<std::string, membership::Vm> &vms)
{
    std::uint64_t hash = 1;
    for (const auto &[instance, vm] : vms) {
        hash = text::stableHash(instance, hash);
        hash = text::stableHash(vm.address, hash + vm.port);
        hash = text::stableHash(vm.zone, hash + static_cast<std::uint64_t>(vm.microsPerHour));
        hash = hash * 31 + static_cast<std::uint64_t>(vm.state) * 7 + static_cast<std::uint64_t>(vm.role);
        for (const std::string &name : vm.serves) {
            hash = text::stableHash(name, hash);
        }
    }
    return hash;
}

} // namespace

void ServerIndex::refresh(const membership::Members &members)
{
    const std::uint64_t signature = signatureOf(members.all());
    if (signature == signature_) {
        return;
    }
    signature_ = signature;
    rebuild(members);
}

void ServerIndex::rebuild(const membership::Members &members)
{
    rebuilds_++;
    groups_.clear();
    for (const auto &[instance, vm] : members.all()) {
        if (vm.role == membership::VmRole::Entry || vm.state != membership::VmState::Live) {
            continue;
        }
        for (const std::string &name : vm.serves) {
            ServerGroup &group = groups_[{vm.role, name}];
            group.vms.push_back(vm);
            group.states.push_back(state(instance));
        }
    }
    for (auto &[key, group] : groups_) {
        std::vector<std::string> instances;
        for (const membership::Vm &vm : group.vms) {
            instances.push_back(vm.instance);
        }
        group.ring = ServerRing::create(instances);
    }
    // Removes servers that are no longer listed and have no attempt in flight.
    std::erase_if(states_, [&](const auto &entry) { return !members.find(entry.first) && entry.second->inFlight == 0; });
}

const ServerGroup *ServerIndex::find(membership::VmRole role, std::string_view name) const
{
    const auto found = groups_.find(GroupKey(role, name));
    return found == groups_.end() ? nullptr : &found->second;
}

std::shared_ptr<ServerState> ServerIndex::state(const std::string &instance)
{
    auto &state = states_[instance];
    if (!state) {
        state = std::make_shared<ServerState>();
    }
    return state;
}

std::uint64_t ServerIndex::rebuilds() const
{
    return rebuilds_;
}

} // namespace cardamomlift::routing
