#pragma once

#include "membership/gossip.h"
#include "membership/members.h"

#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

namespace cardamomlift::membership {

/// One word that a backend server refuses connections; a higher version wins.
struct UnreachableWord {
    std::uint64_t version = 0;
    std::string reporter;
    bool confirmed = false; ///< A second VM, or three refusals: the server is left out until then.
    WallTime until;
};

/// What the own refusals of one server add up to.
struct OwnRefusals {
    unsigned count = 0;
    WallTime first;
};

/// The word this VM spreads after a refusal of its own; none if the held one says as much.
/// @p held is the latest word about the server, if it has not run out.
std::optional<UnreachableWord> nextWord(const std::string &self, const OwnRefusals &own, const std::optional<UnreachableWord> &held, WallTime now);

/// Carries leaving marks, newly listed VMs and unreachable servers between Members and the gossip, both ways.
class MemberSpread
{
public:
    static std::shared_ptr<MemberSpread> create(EventLoop &loop, std::shared_ptr<Members> members, std::shared_ptr<Gossip> gossip);
    /// Tells the others of a VM that this VM's reading of the list shows for the first time.
    void spreadListed(const Vm &vm);

private:
    MemberSpread() = default;
    void updateNeighbours();
    void onLeaving(const Rumour &rumour);
    void onListed(const Rumour &rumour);
    void onRefusal(const std::string &instance);
    void onUnreachable(const Rumour &rumour);
    void spreadWord(const std::string &instance, const UnreachableWord &word);
    EventLoop *loop_ = nullptr;
    std::shared_ptr<Members> members_;
    std::shared_ptr<Gossip> gossip_;
    std::unordered_map<std::string, OwnRefusals> refusals_;
};

} // namespace cardamomlift::membership
