#include "presence/presence.h"
#include "presence/statussummary.h"

#include <algorithm>
#include <set>
#include <utility>

namespace cardamomlift::presence {

namespace {

/// The holder of the duty lease in another group hears the counts of usage every few rounds, 1.4 s: a report waits for 3 s
/// after its window, so that two of them may be lost.
constexpr int RoundsPerHolder = 4;
/// While a rollout is not over, 0.7 s: what a bad version did must be known to the holder within a fraction of the five
/// seconds in which it is to be left.
constexpr int RoundsPerHolderInRollout = 2;
/// A holder that was not heard of for this long has likely ended, and its successor hears from all anew.
constexpr Duration HolderHeardWithin = std::chrono::seconds(3);
/// Group mates that were heard within this are in the summary. It covers the loss of three statuses in a row: each change of
/// the members makes the sums incomparable with the last ones.
constexpr Duration MemberHeardWithin = std::chrono::seconds(3);
} // namespace

void Presence::regroup()
{
    std::set<std::string> zones{tools_.zone};
    for (const auto &[instance, peer] : peers_) {
        zones.insert(peer.zone);
    }
    const GroupLayout layout = layoutFor(peers_.size() + 1, zones.size());
    const bool isOther = layout != layout_;
    layout_ = layout;
    group_ = groupOf(layout_, tools_.instance, tools_.zone);
    groupPeerCount_ = 0;
    members_.clear();
    for (auto &[instance, peer] : peers_) {
        peer.group = groupOf(layout_, instance, peer.zone);
        if (peer.group == group_) {
            groupPeerCount_++;
            continue;
        }
        members_[peer.group].push_back(instance);
        if (isOther) {
            // Its part is in the sums of its group from now on.
            peer.status.reset();
        }
    }
    std::erase_if(groups_, [this](const auto &entry) { return !members_.contains(entry.first); });
    for (auto &[name, members] : members_) {
        std::sort(members.begin(), members.end(), [this](const std::string &a, const std::string &b) {
            return rendezvousRank(tools_.instance, a) > rendezvousRank(tools_.instance, b);
        });
        const auto [place, isNew] = groups_.try_emplace(name);
        if (isNew) {
            place->second.group = name;
            place->second.zone = peers_.at(members.front()).zone;
            place->second.listedAt = tools_.loop->now();
        }
    }
    if (isOther) {
        noteRegrouped();
    }
}

void Presence::noteRegrouped() const
{
    tools_.log->write(eventlog::Event::PeersRegrouped,
        {{eventlog::Attribute::Server, group_},
            {eventlog::Attribute::Count, static_cast<std::int64_t>(groupPeerCount_)},
            {eventlog::Attribute::Present, static_cast<std::int64_t>(groups_.size())}});
    for (const auto &handler : regrouped_) {
        handler();
    }
}

// A question to a group and the answer to one from it cost as much as two statuses.
std::size_t Presence::contacts() const
{
    return groupPeerCount_ + 2 * groups_.size();
}

void Presence::askGroups(const Status &partial)
{
    Status question = partial;
    question.requestsSummary = true;
    const int rounds = fullRounds();
    std::vector<std::string> asked;
    int index = 0;
    for (const auto &[name, members] : members_) {
        index++;
        if ((round_ + index) % rounds == 0) {
            const auto chosen = peerSelector_.select(members, tools_.loop->now());
            asked.insert(asked.end(), chosen.begin(), chosen.end());
        }
    }
    // NOTE Only now: an answer may bring rows by which the VMs are divided anew.
    for (const std::string &instance : asked) {
        if (const auto peer = peers_.find(instance); peer != peers_.end()) {
            sendTo(peer->second, question, partial.isStoreReader);
        }
    }
}

// The holder of another group; one of this VM's group hears the counts in full statuses.
void Presence::tellHolder(const Status &full, const Status &partial)
{
    const int rounds = full.rollouts.empty() ? RoundsPerHolder : RoundsPerHolderInRollout;
    if ((round_ + nameHash(tools_.instance)) % rounds != 0) {
        return;
    }
    for (const Peer *group : recentlyHeard(HolderHeardWithin)) {
        const auto holder = peers_.find(group->status->leaseHolder);
        if (holder != peers_.end() && holder->second.group != group_) {
            // NOTE Another sequence than a question's of this round, of which the holder takes only one.
            Status told = partial;
            told.sequence = nextSequence();
            told.usage = full.usage;
            told.rollouts = full.rollouts;
            sendTo(holder->second, told, false);
        }
    }
}

Status Presence::summary() const
{
    std::vector<MemberStatus> members{{&own_, tools_.loop->now() - ownAt_}};
    for (const auto &[instance, peer] : peers_) {
        const bool isHeard = peer.heardAt && tools_.loop->now() - *peer.heardAt <= MemberHeardWithin;
        if (peer.group == group_ && isHeard && peer.status && !peer.status->isPartial) {
            members.push_back({&*peer.status, tools_.loop->now() - *peer.heardAt});
        }
    }
    Status summary = summarize(group_, members);
    summary.instance = own_.instance;
    summary.incarnation = own_.incarnation;
    summary.tables = own_.tables;
    summary.manifestVersion = own_.manifestVersion;
    summary.sinceStoreOutage = own_.sinceStoreOutage;
    return summary;
}

void Presence::answer(const Peer &peer)
{
    if (!summary_) {
        summary_ = summary();
    }
    Status told = *summary_;
    told.sequence = nextSequence();
    for (auto &[table, news] : told.tables) {
        news.age += tools_.loop->now() - ownAt_;
    }
    sendTo(peer, told, true);
}

// The tables and the sequence are those of the VM that answers, the rest is its group's.
void Presence::takeSummary(Peer &peer, Status status, std::optional<TimePoint> provenAt)
{
    Status teller;
    teller.instance = status.instance;
    teller.incarnation = status.incarnation;
    teller.sequence = status.sequence;
    teller.tables = status.tables;
    teller.manifestVersion = status.manifestVersion;
    teller.sinceStoreOutage = status.sinceStoreOutage;
    teller.isPartial = true;
    merge(peer, std::move(teller));
    const auto group = groups_.find(status.summaryOf);
    if (group == groups_.end() || peer.group != group->first) {
        return;
    }
    status.instance = status.summaryOf;
    status.incarnation = status.membersHash;
    tellHandlers(status, provenAt);
    group->second.heardAt = tools_.loop->now();
    group->second.status = std::move(status);
}

} // namespace cardamomlift::presence
