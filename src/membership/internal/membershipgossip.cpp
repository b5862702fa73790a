#include "membership/membershipgossip.h"

#include "kernel/log.h"
#include "membership/membership.pb.h"
#include "membership/overlay.h"
#include "membership/wirevm.h"
#include "text/digest.h"

namespace cardamomlift::membership {

namespace {

constexpr char LeavingTopic[] = "leaving";
constexpr char ListedTopic[] = "vm";
constexpr char UnreachableTopic[] = "unreachable";
constexpr Duration LeavingTtl = std::chrono::hours(24);
constexpr Duration ListedTtl = std::chrono::minutes(10);
constexpr Duration UnreachableDuration = std::chrono::seconds(10);
constexpr Duration RefusalWindow = std::chrono::seconds(10);
constexpr unsigned RefusalsToConfirm = 3;
constexpr std::size_t MaxTrackedServers = 4096;
constexpr std::uint64_t ReporterBits = 16;

std::int64_t toMs(WallTime time)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(time.time_since_epoch()).count();
}

WallTime fromMs(std::int64_t ms)
{
    return WallTime(std::chrono::milliseconds(ms));
}

/// Orders reports by the period that their end time falls in, then confirmed above unconfirmed ones, then by a hash of the
/// reporter. The hash gives simultaneous reports of two VMs different versions, so that one of the two accepts the other's
/// report as new and confirms it.
std::uint64_t reportVersion(const UnreachableReport &report)
{
    const auto period = static_cast<std::uint64_t>(report.until.time_since_epoch() / UnreachableDuration);
    const std::uint64_t reporter = text::stableHash(report.reporter) >> (64 - ReporterBits);
    return ((period * 2 + (report.confirmed ? 1 : 0)) << ReporterBits) + reporter;
}

std::optional<UnreachableReport> parseReport(const Rumour &rumour)
{
    wire::Unreachable in;
    if (!in.ParseFromString(rumour.payload)) {
        return std::nullopt;
    }
    return UnreachableReport{rumour.version, in.reporter(), in.confirmed(), fromMs(in.until_ms())};
}

} // namespace

std::optional<UnreachableReport> nextUnreachableReport(
    const std::string &self, const LocalRefusals &local, const std::optional<UnreachableReport> &held, WallTime now)
{
    const bool isHeld = held && held->until > now;
    if (isHeld && held->confirmed) {
        return std::nullopt;
    }
    UnreachableReport report{0, self, false, now + UnreachableDuration};
    report.confirmed = local.count >= RefusalsToConfirm || (isHeld && held->reporter != self);
    if (isHeld && !report.confirmed) {
        return std::nullopt;
    }
    report.version = reportVersion(report);
    return report;
}

std::shared_ptr<MembershipGossip> MembershipGossip::create(EventLoop &loop, std::shared_ptr<Members> members, std::shared_ptr<Gossip> gossip)
{
    std::shared_ptr<MembershipGossip> membershipGossip(new MembershipGossip);
    MembershipGossip *raw = membershipGossip.get();
    raw->loop_ = &loop;
    raw->members_ = std::move(members);
    raw->gossip_ = std::move(gossip);
    raw->members_->onChange([raw] { raw->updateNeighbours(); });
    raw->members_->onLocalMark([raw](const std::string &instance, const LeavingMark &mark) {
        partLogger("membership")->info("A VM is leaving. vm={} source={}", instance, nameOf(mark.source));
        wire::LeavingMark out;
        out.set_source(static_cast<std::uint32_t>(mark.source));
        out.set_reporter(mark.reporter);
        out.set_seen_at_ms(toMs(mark.seen));
        raw->gossip_->publish(LeavingTopic, instance, 1, out.SerializeAsString(), LeavingTtl);
    });
    raw->members_->onUnreachableReport([raw](const std::string &instance) { raw->onRefusal(instance); });
    raw->gossip_->onRumour(LeavingTopic, [raw](const Rumour &rumour) { raw->onLeaving(rumour); });
    raw->gossip_->onRumour(ListedTopic, [raw](const Rumour &rumour) { raw->onListed(rumour); });
    raw->gossip_->onRumour(UnreachableTopic, [raw](const Rumour &rumour) { raw->onUnreachable(rumour); });
    raw->updateNeighbours();
    return membershipGossip;
}

void MembershipGossip::updateNeighbours()
{
    std::vector<peers::PeerAddress> neighbours;
    for (const std::string &instance : chooseNeighbours(members_->peers(), members_->self())) {
        neighbours.push_back(peerAddress(*members_->find(instance)));
    }
    gossip_->setNeighbours(std::move(neighbours));
}

void MembershipGossip::publishListed(const Vm &vm)
{
    wire::Vm out;
    vmToWire(vm, out);
    gossip_->publish(ListedTopic, vm.instance, 1, out.SerializeAsString(), ListedTtl);
}

void MembershipGossip::onLeaving(const Rumour &rumour)
{
    wire::LeavingMark in;
    if (!in.ParseFromString(rumour.payload)) {
        return;
    }
    LeavingMark mark;
    mark.source = in.source() <= static_cast<std::uint32_t>(LeavingSource::LoadReport) ? static_cast<LeavingSource>(in.source()) : LeavingSource::Notice;
    mark.reporter = in.reporter();
    mark.seen = fromMs(in.seen_at_ms());
    if (members_->applyRemoteMark(rumour.key, mark)) {
        partLogger("membership")->info("A VM is leaving. vm={} source={} reporter={}", rumour.key, nameOf(mark.source), mark.reporter);
    }
}

void MembershipGossip::onListed(const Rumour &rumour)
{
    wire::Vm in;
    if (in.ParseFromString(rumour.payload) && in.instance() == rumour.key) {
        members_->addProvisional(vmFromWire(in));
    }
}

void MembershipGossip::onRefusal(const std::string &instance)
{
    const WallTime now = loop_->clock().wallNow();
    if (refusals_.size() >= MaxTrackedServers) {
        std::erase_if(refusals_, [now](const auto &entry) { return entry.second.first + RefusalWindow <= now; });
    }
    LocalRefusals &local = refusals_[instance];
    if (local.count == 0 || local.first + RefusalWindow <= now) {
        local = {0, now};
    }
    local.count++;
    const Rumour *held = gossip_->find(UnreachableTopic, instance);
    const auto report = nextUnreachableReport(members_->self(), local, held ? parseReport(*held) : std::nullopt, now);
    if (report) {
        publishReport(instance, *report);
    }
}

void MembershipGossip::publishReport(const std::string &instance, const UnreachableReport &report)
{
    wire::Unreachable out;
    out.set_reporter(report.reporter);
    out.set_confirmed(report.confirmed);
    out.set_until_ms(toMs(report.until));
    gossip_->publish(UnreachableTopic, instance, report.version, out.SerializeAsString(), 2 * UnreachableDuration);
}

void MembershipGossip::onUnreachable(const Rumour &rumour)
{
    const WallTime now = loop_->clock().wallNow();
    const auto report = parseReport(rumour);
    if (!report || report->until <= now) {
        return;
    }
    if (report->confirmed) {
        members_->setUnreachable(rumour.key, report->until);
        return;
    }
    const auto local = refusals_.find(rumour.key);
    if (local == refusals_.end() || local->second.first + RefusalWindow <= now) {
        return;
    }
    const auto confirmation = nextUnreachableReport(members_->self(), local->second, report, now);
    if (confirmation) {
        publishReport(rumour.key, *confirmation);
    }
}

} // namespace cardamomlift::membership
