#include "routeadmission/fleetlevel.h"

#include <algorithm>
#include <cmath>

namespace cardamomlift::routeadmission {

namespace {

constexpr double MicrosecondsPerSecond = 1e6;
/// Parts of the tightest goal that requests may wait in servers' queues: beyond the first, a service counts as short of room;
/// while it is, the queues are held at the second.
constexpr double ShortQueueShare = 0.45;
constexpr double TargetQueueShare = 0.22;
/// The same where part of the reports come as summaries: the open requests vary more, and must not fall below the slots.
constexpr double TargetQueueShareWithGroups = 0.25;
/// For a service without a goal.
constexpr Duration DefaultGoal = std::chrono::seconds(1);
constexpr double MinShortQueue = 2;
constexpr double MinTargetQueue = 1;
/// If servers refuse for want of room although fewer requests are open than they have slots.
constexpr double RefusingShare = 0.8;
constexpr double ToleratedRefusals = 0.03;
constexpr double MinTargetShare = 0.6;
/// Time in which the open requests are brought to their target: longer than the age of the reports.
constexpr double SettleSeconds = 0.6;
/// The same where part of the reports come as summaries, which are older.
constexpr double SettleSecondsWithGroups = 0.8;
/// Of the served rate that is admitted at least, however many requests are open.
constexpr double MinRateShare = 0.25;
/// A service stays short of room until it is asked for less than this part of what it can serve; with slots free, for less than the
/// second part: the sums are some tenths of a second old.
constexpr double EnoughShare = 0.95;
constexpr double EnoughShareWithRoom = 1.2;
/// Part of the rate that is kept for each priority that would get nothing, and the share of its requests that it covers at most.
constexpr double ReserveShare = 0.02;
constexpr double MinShare = 0.02;
constexpr double MinCost = 0.7;
constexpr double MaxCost = 1.4;

double goalSeconds(const ServiceRoom &room)
{
    const Duration goal = room.goal.count() > 0 ? room.goal : DefaultGoal;
    return static_cast<double>(goal.count()) / MicrosecondsPerSecond;
}

double refusedShare(const ServiceRoom &room)
{
    const double sum = room.refusedPerSecond + room.servedPerSecond;
    return sum > 0 ? room.refusedPerSecond / sum : 0;
}

/// A customer's part of a priority: @c weight customers that ask for @c demand together.
struct Asker {
    std::size_t index = 0;
    double demand = 0;
    double weight = 1;
};

// Equal rates to all, and to none more than it asks for: the smallest askers are served first.
void fillWater(double rate, std::vector<Asker> askers, std::span<ClassShare> shares)
{
    std::sort(askers.begin(), askers.end(), [](const Asker &a, const Asker &b) { return a.demand * b.weight < b.demand * a.weight; });
    double weightLeft = 0;
    for (const Asker &asker : askers) {
        weightLeft += asker.weight;
    }
    double left = rate;
    for (const Asker &asker : askers) {
        const double granted = std::min(asker.demand, left * asker.weight / weightLeft);
        shares[asker.index].share = asker.demand > 0 ? granted / asker.demand : 1;
        left -= granted;
        weightLeft -= asker.weight;
    }
}

// The customers that are not told one by one ask for less than any that is.
void setWeightOfOthers(std::vector<Asker> &askers, std::span<const ClassShare> shares)
{
    double smallest = 0;
    for (const Asker &asker : askers) {
        if (shares[asker.index].key.customer != OtherCustomers && asker.demand > 0 && (smallest == 0 || asker.demand < smallest)) {
            smallest = asker.demand;
        }
    }
    for (Asker &asker : askers) {
        if (shares[asker.index].key.customer == OtherCustomers && smallest > 0) {
            asker.weight = std::max(1.0, asker.demand / smallest);
        }
    }
}

} // namespace

bool isShort(const ServiceRoom &room, double demand, bool wasShort)
{
    if (room.slots <= 0) {
        return false;
    }
    const double queue = std::max(MinShortQueue, room.servedPerSecond * goalSeconds(room) * ShortQueueShare);
    if (room.open > room.slots + queue) {
        return true;
    }
    if (refusedShare(room) > ToleratedRefusals && room.open >= room.slots * RefusingShare) {
        return true;
    }
    return wasShort && demand > admissibleRate(room) * (room.open < room.slots ? EnoughShareWithRoom : EnoughShare);
}

bool isNearlyShort(const ServiceRoom &room)
{
    return room.slots > 0 && room.open > openTarget(room);
}

double openTarget(const ServiceRoom &room)
{
    const double queue =
        std::max(MinTargetQueue, room.servedPerSecond * goalSeconds(room) * (room.hasSummaries ? TargetQueueShareWithGroups : TargetQueueShare));
    const double excess = std::max(0.0, refusedShare(room) - ToleratedRefusals);
    return (room.slots + queue) * std::max(MinTargetShare, 1 - excess);
}

double admissibleRate(const ServiceRoom &room)
{
    const double rate = room.servedPerSecond + (openTarget(room) - room.open) / (room.hasSummaries ? SettleSecondsWithGroups : SettleSeconds);
    return std::max(rate, room.servedPerSecond * MinRateShare);
}

std::vector<ClassShare> distribute(double rate, std::span<const ClassRate> classes)
{
    std::vector<ClassShare> shares;
    shares.reserve(classes.size());
    for (const ClassRate &entry : classes) {
        shares.push_back({entry.key, std::max(0.0, entry.demand), 1});
    }
    std::sort(shares.begin(), shares.end(), [](const ClassShare &a, const ClassShare &b) { return a.key < b.key; });
    double left = rate;
    double mostUrgentShare = 1;
    for (std::size_t first = 0; first < shares.size();) {
        std::vector<Asker> askers;
        double demand = 0;
        std::size_t end = first;
        for (; end < shares.size() && shares[end].key.priority == shares[first].key.priority; end++) {
            askers.push_back({end, shares[end].demand, 1});
            demand += shares[end].demand;
        }
        setWeightOfOthers(askers, shares);
        const double granted = std::clamp(left, 0.0, demand);
        fillWater(granted, std::move(askers), shares);
        const double reserved = std::min({MinShare, mostUrgentShare, demand > 0 ? rate * ReserveShare / demand : 0});
        for (std::size_t i = first; i < end; i++) {
            shares[i].share = std::max(shares[i].share, reserved);
        }
        mostUrgentShare = std::min(mostUrgentShare, demand > 0 ? std::max(granted / demand, reserved) : 1);
        left -= granted;
        first = end;
    }
    return shares;
}

double shareOf(std::span<const ClassShare> shares, const ClassKey &key)
{
    const auto found = std::lower_bound(shares.begin(), shares.end(), key, [](const ClassShare &a, const ClassKey &b) { return a.key < b; });
    if (found != shares.end() && found->key == key) {
        return found->share;
    }
    return shareOfPriority(shares, key.priority);
}

double shareOfPriority(std::span<const ClassShare> shares, int priority)
{
    double demand = 0;
    double admitted = 0;
    bool lessUrgentPasses = false;
    double moreUrgentShare = 1;
    for (const ClassShare &entry : shares) {
        if (entry.key.priority == priority) {
            demand += entry.demand;
            admitted += entry.demand * entry.share;
        } else if (entry.key.priority > priority) {
            lessUrgentPasses = lessUrgentPasses || entry.share > MinShare;
        } else {
            moreUrgentShare = std::min(moreUrgentShare, entry.share);
        }
    }
    if (demand > 0) {
        return admitted / demand;
    }
    return lessUrgentPasses ? 1 : moreUrgentShare;
}

double costOf(double tokens, double meanTokens)
{
    return meanTokens > 0 ? std::clamp(tokens / meanTokens, MinCost, MaxCost) : 1;
}

} // namespace cardamomlift::routeadmission
