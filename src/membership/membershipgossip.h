#pragma once

#include "membership/gossip.h"
#include "membership/members.h"

#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

namespace cardamomlift::membership {

/// One word that a backend server refuses connections; a higher version wins.
struct UnreachableReport {
    std::uint64_t version = 0;
    std::string reporter;
    bool confirmed = false; ///< A second VM, or three refusals: the server is left out until then.
    WallTime until;
};

/// What the own refusals of one server add up to.
struct LocalRefusals {
    unsigned count = 0;
    WallTime first;
};

/// The word this VM spreads after a refusal of its own; none if the held one says as much.
/// @p held is the latest word about the server, if it has not run out.
std::optional<UnreachableReport> nextUnreachableReport(
    const std::string &self, const LocalRefusals &local, const std::optional<UnreachableReport> &held, WallTime now);

/// Carries leaving marks, newly listed VMs and unreachable servers between Members and the gossip, both ways.
class MembershipGossip
{
public:
    static std::shared_ptr<MembershipGossip> create(EventLoop &loop, std::shared_ptr<Members> members, std::shared_ptr<Gossip> gossip);
    /// Tells the others of a VM that this VM's reading of the list shows for the first time.
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
