#include "presence/grouppeerselector.h"

namespace cardamomlift::presence {

namespace {

/// A VM with this many unanswered requests in a row is taken for dead. One or two datagrams in a row are lost now and then.
constexpr int MaxUnanswered = 3;
/// Such a VM is sent a request again after this time: it may only have been cut off from the network.
constexpr Duration RetryAfter = std::chrono::seconds(5);
/// Number of responsive members that are selected in addition to one with an unanswered request: when a failure domain fails,
/// most members of a group are silent.
constexpr int AdditionalRequests = 2;

} // namespace

std::vector<std::string> GroupPeerSelector::select(std::span<const std::string> members, TimePoint now)
{
    std::vector<std::string> selected;
    int wanted = 1;
    for (const std::string &member : members) {
        RequestRecord &request = requests_[member];
        if (request.unanswered >= MaxUnanswered && now - request.sentAt < RetryAfter) {
            continue;
        }
        const bool hasUnanswered = request.unanswered > 0;
        request.unanswered++;
        request.sentAt = now;
        selected.push_back(member);
        if (hasUnanswered) {
            wanted = AdditionalRequests;
        } else if (--wanted == 0) {
            break;
        }
    }
    return selected;
}

std::string GroupPeerSelector::reachableMember(std::span<const std::string> members) const
{
    for (const std::string &member : members) {
        const auto request = requests_.find(member);
        // One request is in flight most of the time.
        if (request == requests_.end() || request->second.unanswered <= 1) {
            return member;
        }
    }
    return members.empty() ? std::string() : members.front();
}

void GroupPeerSelector::recordAnswer(const std::string &instance)
{
    const auto request = requests_.find(instance);
    if (request != requests_.end()) {
        request->second.unanswered = 0;
    }
}

} // namespace cardamomlift::presence
