#include "presence/presence.h"
#include "presence/statussummary.h"

#include <algorithm>
#include <set>
#include <utility>

namespace cardamomlift::presence {

namespace {

/// The leader (the holder of the lease of src/duties) in another group is sent usage counts every 1.4 s. The usage report of a
/// window is made 3 s after its end, so two of these datagrams may be lost.
constexpr int RoundsPerReport = 4;
/// During a rollout the counts are sent every 0.7 s: the leader must learn of the failures of a bad version in a fraction of the
/// five seconds within which traffic must be moved off it.
constexpr int RoundsPerReportInRollout = 2;
/// A lease holder that no status has named for this long has probably ended. Its successor gets the counts from all VMs anew.
constexpr Duration HolderHeardWithin = std::chrono::seconds(3);
/// A summary includes the peers of the group that were heard from within this time. It covers the loss of three statuses in a
/// row: with each change of the set of members, the sums become incomparable with the previous ones.
constexpr Duration MemberHeardWithin = std::chrono::seconds(3);

} // namespace

void Presence::regroup()
{
    std::set<std::string> zones{tools_.zone};
    for (const auto &[instance, peer] : peers_) {
        zones.insert(peer.zone);
    }
    const GroupLayout layout = layoutFor(peers_.size() + 1, zones.size());
    const bool isNewLayout = layout != layout_;
    layout_ = layout;
    group_ = groupOf(layout_, tools_.instance, tools_.zone);
    groupPeerCount_ = 0;
    groupMembers_.clear();
    for (auto &[instance, peer] : peers_) {
        peer.group = groupOf(layout_, instance, peer.zone);
        if (peer.group == group_) {
            groupPeerCount_++;
            continue;
        }
        groupMembers_[peer.group].push_back(instance);
        if (isNewLayout) {
            // From now on its state is part of the summary of its group.
            peer.status.reset();
        }
    }
    std::erase_if(groups_, [this](const auto &entry) { return !groupMembers_.contains(entry.first); });
    for (auto &[name, members] : groupMembers_) {
        std::sort(members.begin(), members.end(), [this](const std::string &a, const std::string &b) {
            return rendezvousRank(tools_.instance, a) > rendezvousRank(tools_.instance, b);
        });
        const auto [entry, isNew] = groups_.try_emplace(name);
        if (isNew) {
            entry->second.group = name;
            entry->second.zone = peers_.at(members.front()).zone;
            entry->second.listedAt = tools_.loop->now();
        }
    }
    if (isNewLayout) {
        notifyRegrouped();
    }
}

void Presence::notifyRegrouped() const
{
    tools_.log->write(eventlog::Event::PeersRegrouped,
        {{eventlog::Attribute::Server, group_},
            {eventlog::Attribute::Count, static_cast<std::int64_t>(groupPeerCount_)},
            {eventlog::Attribute::Present, static_cast<std::int64_t>(groups_.size())}});
    for (const auto &handler : regroupHandlers_) {
        handler();
    }
}

// Each other group costs two datagrams: the summary request sent to it, and the answer to a request that comes from it.
std::size_t Presence::datagramsPerPeriod() const
{
    return groupPeerCount_ + 2 * groups_.size();
}

void Presence::requestSummaries(const Status &partial)
{
    Status request = partial;
    request.requestsSummary = true;
    const int rounds = roundsPerPeriod();
    std::vector<std::string> targets;
    // Counted on from the peers of the group, so that the slots of a round are equally full.
    int index = static_cast<int>(groupPeerCount_);
    for (const auto &[name, members] : groupMembers_) {
        index++;
        if (isInSlot(index) && (round_ + index) % rounds == 0) {
            const auto chosen = peerSelector_.select(members, tools_.loop->now());
            targets.insert(targets.end(), chosen.begin(), chosen.end());
        }
    }
    // NOTE Requests are sent after the loop: an answer that arrives within sendTo() may change groupMembers_, because new rows
    // of entry VMs can change the group layout.
    for (const std::string &instance : targets) {
        if (const auto peer = peers_.find(instance); peer != peers_.end()) {
            sendTo(peer->second, request, partial.isStoreReader);
        }
    }
}

// Only for a lease holder in another group; one in this VM's group gets the counts in full statuses.
void Presence::reportToLeaseHolder(const Status &full, const Status &partial)
{
    const int rounds = full.rollouts.empty() ? RoundsPerReport : RoundsPerReportInRollout;
    if ((round_ + nameHash(tools_.instance)) % rounds != 0) {
        return;
    }
    for (const Peer *group : recentlyHeard(HolderHeardWithin)) {
        const auto holder = peers_.find(group->status->leaseHolder);
        if (holder != peers_.end() && holder->second.group != group_) {
            // NOTE Needs a sequence of its own: a summary request of this round may go to the same VM, which drops the second
            // of two datagrams with the same sequence.
            Status update = partial;
            update.sequence = nextSequence();
            update.usage = full.usage;
            update.rollouts = full.rollouts;
            sendTo(holder->second, update, false);
        }
    }
}

Status Presence::makeSummary() const
{
    std::vector<MemberStatus> members{{&ownStatus_, tools_.loop->now() - ownStatusAt_}};
    for (const auto &[instance, peer] : peers_) {
        const bool isRecent = peer.heardAt && tools_.loop->now() - *peer.heardAt <= MemberHeardWithin;
        if (peer.group == group_ && isRecent && peer.status && !peer.status->isPartial) {
            members.push_back({&*peer.status, tools_.loop->now() - *peer.heardAt});
        }
    }
    Status summary = summarize(group_, members);
    summary.instance = ownStatus_.instance;
    summary.incarnation = ownStatus_.incarnation;
    summary.tables = ownStatus_.tables;
    summary.manifestVersion = ownStatus_.manifestVersion;
    summary.sinceStoreOutage = ownStatus_.sinceStoreOutage;
    return summary;
}

void Presence::sendSummary(const Peer &peer)
{
    if (!summary_) {
        summary_ = makeSummary();
    }
    Status reply = *summary_;
    reply.sequence = nextSequence();
    for (auto &[table, delta] : reply.tables) {
        delta.age += tools_.loop->now() - ownStatusAt_;
    }
    sendTo(peer, reply, true);
}

// The tables, the manifest version and the sequence are those of the VM that answers, the rest is the sum over its group.
void Presence::handleSummary(Peer &peer, Status status, std::optional<TimePoint> sentNotBefore)
{
    Status sender;
    sender.instance = status.instance;
    sender.incarnation = status.incarnation;
    sender.sequence = status.sequence;
    sender.tables = status.tables;
    sender.manifestVersion = status.manifestVersion;
    sender.sinceStoreOutage = status.sinceStoreOutage;
    sender.isPartial = true;
    merge(peer, std::move(sender));
    const auto group = groups_.find(status.summaryOf);
    if (group == groups_.end() || peer.group != group->first) {
        return;
    }
    status.instance = status.summaryOf;
    status.incarnation = status.membersHash;
    notifyStatusHandlers(status, sentNotBefore);
    group->second.heardAt = tools_.loop->now();
    group->second.status = std::move(status);
}

} // namespace cardamomlift::presence
