#pragma once

#include "membership/gossip.h"
#include "membership/members.h"

#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

namespace cardamomlift::membership {

/// A report, spread by gossip, that a backend server refuses connections. Of several reports the highest version wins.
struct UnreachableReport {
    std::uint64_t version = 0;
    std::string reporter;
    bool confirmed = false; ///< By a second VM, or by three refusals on one VM. Only a confirmed report excludes the server.
    WallTime until; ///< The report is valid, and the server excluded if it is confirmed, until then.
};

/// The connections that one backend server refused to this VM within the refusal window.
struct LocalRefusals {
    unsigned count = 0;
    WallTime first; ///< Start of the window.
};

/// The report this VM publishes after a refusal that it saw itself; none if @p held says as much already.
/// @p held is the latest report about the server, if any.
std::optional<UnreachableReport> nextUnreachableReport(
    const std::string &self, const LocalRefusals &local, const std::optional<UnreachableReport> &held, WallTime now);

/// Synchronises Members with the gossip: publishes leaving marks, newly listed VMs and unreachable servers that this VM
/// learns of, applies those that other VMs publish, and keeps the gossip's neighbours up to date.
class MembershipGossip
{
public:
    static std::shared_ptr<MembershipGossip> create(EventLoop &loop, std::shared_ptr<Members> members, std::shared_ptr<Gossip> gossip);
    /// Publishes a VM that this VM saw in the platform's list for the first time.
    void publishListed(const Vm &vm);

private:
    MembershipGossip() = default;
    void updateNeighbours();
    void onLeaving(const Rumour &rumour);
    void onListed(const Rumour &rumour);
    void onRefusal(const std::string &instance);
    void onUnreachable(const Rumour &rumour);
    void publishReport(const std::string &instance, const UnreachableReport &report);
    EventLoop *loop_ = nullptr;
    std::shared_ptr<Members> members_;
    std::shared_ptr<Gossip> gossip_;
    std::unordered_map<std::string, LocalRefusals> refusals_;
};

} // namespace cardamomlift::membership
