#pragma once

#include "membership/membershiptypes.h"
#include "peers/peertransport.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace cardamomlift::membership {

/// All VMs this VM knows of, from the platform's list and from what VMs report themselves.
///
/// Leaving is final: once an instance is marked as leaving, neither the platform's list nor another VM makes it live again.
class Members
{
public:
    using MarkHandler = std::function<void(const std::string &instance, const LeavingMark &mark)>;

    /// @p self is this VM's own instance. @p clock gives the time of marks and must outlive the object; without a clock,
    /// marks carry no time and nothing expires.
    static std::shared_ptr<Members> create(std::string self, const Clock *clock = nullptr);

    const std::string &self() const;
    /// Replaces the listed VMs by what was read from the platform's list. Leaving marks set before stay.
    void applyList(std::span<const Vm> list);
    /// Adds a VM that the list does not show yet. It is removed after some minutes unless the list shows it by then, and at
    /// once when the heartbeats report it as failed.
    void addProvisional(const Vm &vm);
    /// Marks an instance as leaving, for good. Returns true if it was not marked before.
    bool markLeaving(const std::string &instance, LeavingSource source = LeavingSource::Notice);
    /// Applies a mark that another VM made. Returns true if the instance was not marked before.
    bool applyRemoteMark(const std::string &instance, LeavingMark mark);
    bool isLeaving(const std::string &instance) const;
    std::optional<LeavingMark> leavingMark(const std::string &instance) const;
    /// The VM of this instance, or null.
    const Vm *find(const std::string &instance) const;
    /// The live backend servers of a model or plain service. Unreachable ones are left out, unless all are unreachable.
    std::vector<Vm> backends(VmRole role, std::string_view name) const;
    /// The other entry VMs, including leaving ones.
    std::vector<Vm> peers() const;
    const std::map<std::string, Vm> &all() const;
    /// Calls @p handler after each change of the known VMs or of a leaving mark.
    void onChange(std::function<void()> handler);
    /// Calls @p handler for each mark made on this VM, so that it can be published. Not called for marks of other VMs.
    void onLocalMark(MarkHandler handler);

    /// Reports that this VM could not connect to a backend server. The server becomes unreachable for a while once another
    /// VM reports the same, or this VM reports it several times; see UnreachableReport.
    void reportUnreachable(const std::string &instance);
    /// Calls @p handler for each call of reportUnreachable().
    void onUnreachableReport(std::function<void(const std::string &instance)> handler);
    /// Makes a backend server unreachable until @p until: backends() leaves it out.
    void setUnreachable(const std::string &instance, WallTime until);
    bool isUnreachable(const std::string &instance) const;
    std::size_t unreachableCount() const;

    /// The health of an entry VM as reported by the heartbeats; Alive if nothing was reported.
    Health healthOf(const std::string &instance) const;
    void setHealth(const std::string &instance, Health health);

    /// Removes what has expired: provisional VMs, unreachable servers, marks of instances that the list has not shown for a
    /// day, and the health of VMs that are no longer known.
    void removeExpired();
    std::size_t markCount() const;

private:
    struct Provisional {
        Vm vm;
        WallTime until;
    };
    struct MarkEntry {
        LeavingMark mark;
        WallTime lastListed; ///< When the list last showed the instance, or when the mark was made if it has not since.
    };
    Members() = default;
    WallTime now() const;
    bool addMark(const std::string &instance, LeavingMark mark);
    void applyMark(const std::string &instance);
    void rebuild();
    void notify();
    std::string self_;
    const Clock *clock_ = nullptr;
    std::map<std::string, Vm> listed_;
    std::map<std::string, Provisional> provisional_;
    std::map<std::string, Vm> vms_; ///< Listed and provisional, with the marks applied.
    std::map<std::string, MarkEntry> marks_;
    std::map<std::string, WallTime> unreachable_;
    std::map<std::string, Health> health_;
    std::vector<std::function<void()>> changeHandlers_;
    std::vector<MarkHandler> markHandlers_;
    std::vector<std::function<void(const std::string &)>> unreachableHandlers_;
};

/// The address at which @p vm listens for its peers.
peers::PeerAddress peerAddress(const Vm &vm);

} // namespace cardamomlift::membership
