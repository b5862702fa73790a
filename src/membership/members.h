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

/// All VMs this VM knows of, from the platform's list and from what VMs see themselves.
///
/// Leaving is sticky: once an instance is marked, no reading of the list and no other VM makes it live again.
class Members
{
public:
    using MarkHandler = std::function<void(const std::string &instance, const LeavingMark &mark)>;

    /// @p self is this VM's own instance. @p clock dates the marks and must outlive the object; without one they have
    /// no date and are kept for good.
    static std::shared_ptr<Members> create(std::string self, const Clock *clock = nullptr);

    const std::string &self() const;
    /// Takes over a reading of the platform's list. A leaving mark set before stays.
    void applyList(std::span<const Vm> list);
    /// Adds a VM that the list does not show yet. It is forgotten some minutes later unless the list shows it by then, and
    /// at once when the heartbeats find that it failed.
    void addProvisional(const Vm &vm);
    /// Marks an instance as leaving, for good. Says whether that is news.
    bool markLeaving(const std::string &instance, LeavingSource source = LeavingSource::Notice);
    /// Takes over a mark that another VM made. Says whether that is news.
    bool applyRemoteMark(const std::string &instance, LeavingMark mark);
    bool isLeaving(const std::string &instance) const;
    std::optional<LeavingMark> leavingMark(const std::string &instance) const;
    /// The VM of this instance, or null.
    const Vm *find(const std::string &instance) const;
    /// Live servers of a model or plain service. Those that refuse connections are left out, unless all do.
    std::vector<Vm> backends(VmRole role, std::string_view name) const;
    /// Entry VMs but this one, also leaving ones.
    std::vector<Vm> peers() const;
    const std::map<std::string, Vm> &all() const;
    /// Calls @p handler after each change of the set or of a mark.
    void onChange(std::function<void()> handler);
    /// Calls @p handler for each mark made on this VM, to spread it. Marks taken over from others are not reported.
    void onLocalMark(MarkHandler handler);

    /// This VM could not connect to a backend server. With the word of another VM it becomes unreachable for a while.
    void reportUnreachable(const std::string &instance);
    /// Calls @p handler for each reportUnreachable().
    void onUnreachableReport(std::function<void(const std::string &instance)> handler);
    /// Leaves a backend server out of backends() until @p until.
    void setUnreachable(const std::string &instance, WallTime until);
    bool isUnreachable(const std::string &instance) const;
    std::size_t unreachableCount() const;

    /// What the heartbeats say about an entry VM; Alive if they said nothing.
    Health healthOf(const std::string &instance) const;
    void setHealth(const std::string &instance, Health health);

    /// Forgets what is too old: provisional VMs, and marks of instances that the list has not shown for a day.
    void removeExpired();
    std::size_t markCount() const;

private:
    struct Provisional {
        Vm vm;
        WallTime until;
    };
    struct Mark {
        LeavingMark mark;
        WallTime lastListed;
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
    std::map<std::string, Mark> marks_;
    std::map<std::string, WallTime> unreachable_;
    std::map<std::string, Health> health_;
    std::vector<std::function<void()>> changeHandlers_;
    std::vector<MarkHandler> markHandlers_;
    std::vector<std::function<void(const std::string &)>> unreachableHandlers_;
};

/// Where @p vm listens for its peers.
peers::PeerAddress peerAddress(const Vm &vm);

} // namespace cardamomlift::membership
