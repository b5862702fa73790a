#pragma once

#include "membership/membershiptypes.h"
#include "peers/peertransport.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <span>
#include <string>
#include <vector>

namespace cardamomlift::membership {

/// All VMs this VM knows of, from the platform's list and from what VMs see themselves.
class Members
{
public:
    /// @p self is this VM's own instance.
    static std::shared_ptr<Members> create(std::string self);

    const std::string &self() const;
    /// Takes over a reading of the platform's list. A leaving mark set before stays.
    void applyList(std::span<const Vm> list);
    /// Marks an instance as leaving, for good. Says whether that is news.
    bool markLeaving(const std::string &instance);
    bool isLeaving(const std::string &instance) const;
    /// The VM of this instance, or null.
    const Vm *find(const std::string &instance) const;
    /// Live servers of a model or plain service.
    std::vector<Vm> backends(VmRole role, std::string_view name) const;
    /// Entry VMs but this one, also leaving ones.
    std::vector<Vm> peers() const;
    const std::map<std::string, Vm> &all() const;
    /// Calls @p handler after each change of the set or of a mark.
    void onChange(std::function<void()> handler);

private:
    Members() = default;
    void notify();
    std::string self_;
    std::map<std::string, Vm> vms_;
    std::set<std::string> leaving_;
    std::vector<std::function<void()>> handlers_;
};

/// Where @p vm listens for its peers.
peers::PeerAddress peerAddress(const Vm &vm);

} // namespace cardamomlift::membership
