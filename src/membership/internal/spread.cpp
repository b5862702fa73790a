#include "membership/spread.h"

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
constexpr Duration KeepLeaving = std::chrono::hours(24);
constexpr Duration KeepListed = std::chrono::minutes(10);
constexpr Duration UnreachableTime = std::chrono::seconds(10);
constexpr Duration RefusalWindow = std::chrono::seconds(10);
constexpr unsigned RefusalsToConfirm = 3;
constexpr std::size_t MostRefusals = 4096;
constexpr std::uint64_t ReporterBits = 16;

std::int64_t toMs(WallTime time)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(time.time_since_epoch()).count();
}

WallTime fromMs(std::int64_t ms)
{
    return WallTime(std::chrono::milliseconds(ms));
}

/// Orders words: by the period they fall in, confirmed ones above single ones, then by reporter. Two reporters that speak at
/// once thus have different versions, and one of them hears the other.
std::uint64_t wordVersion(const UnreachableWord &word)
{
    const auto period = static_cast<std::uint64_t>(word.until.time_since_epoch() / UnreachableTime);
    const std::uint64_t reporter = text::stableHash(word.reporter) >> (64 - ReporterBits);
    return ((period * 2 + (word.confirmed ? 1 : 0)) << ReporterBits) + reporter;
}

std::optional<UnreachableWord> readWord(const Rumour &rumour)
{
    wire::Unreachable in;
    if (!in.ParseFromString(rumour.payload)) {
        return std::nullopt;
    }
    return UnreachableWord{rumour.version, in.reporter(), in.confirmed(), fromMs(in.until_ms())};
}

} // namespace

std::optional<UnreachableWord> nextWord(const std::string &self, const OwnRefusals &own, const std::optional<UnreachableWord> &held, WallTime now)
{
    const bool isHeld = held && held->until > now;
    if (isHeld && held->confirmed) {
        return std::nullopt;
    }
    UnreachableWord word{0, self, false, now + UnreachableTime};
    word.confirmed = own.count >= RefusalsToConfirm || (isHeld && held->reporter != self);
    if (isHeld && !word.confirmed) {
        return std::nullopt;
    }
    word.version = wordVersion(word);
    return word;
}

std::shared_ptr<MemberSpread> MemberSpread::create(EventLoop &loop, std::shared_ptr<Members> members, std::shared_ptr<Gossip> gossip)
{
    std::shared_ptr<MemberSpread> spread(new MemberSpread);
    MemberSpread *raw = spread.get();
    raw->loop_ = &loop;
    raw->members_ = std::move(members);
    raw->gossip_ = std::move(gossip);
    raw->members_->onChange([raw] { raw->updateNeighbours(); });
    raw->members_->onOwnMark([raw](const std::string &instance, const LeavingMark &mark) {
        partLogger("membership")->info("A VM is leaving. vm={} source={}", instance, nameOf(mark.source));
        wire::LeavingMark out;
        out.set_source(static_cast<std::uint32_t>(mark.source));
        out.set_reporter(mark.reporter);
        out.set_seen_at_ms(toMs(mark.seen));
        raw->gossip_->publish(LeavingTopic, instance, 1, out.SerializeAsString(), KeepLeaving);
    });
    raw->members_->onUnreachableReport([raw](const std::string &instance) { raw->onRefusal(instance); });
    raw->gossip_->onRumour(LeavingTopic, [raw](const Rumour &rumour) { raw->onLeaving(rumour); });
    raw->gossip_->onRumour(ListedTopic, [raw](const Rumour &rumour) { raw->onListed(rumour); });
    raw->gossip_->onRumour(UnreachableTopic, [raw](const Rumour &rumour) { raw->onUnreachable(rumour); });
    raw->updateNeighbours();
    return spread;
}

void MemberSpread::updateNeighbours()
{
    std::vector<peers::PeerAddress> neighbours;
    for (const std::string &instance : chooseNeighbours(members_->peers(), members_->self())) {
        neighbours.push_back(peerAddress(*members_->find(instance)));
    }
    gossip_->setNeighbours(std::move(neighbours));
}

void MemberSpread::spreadListed(const Vm &vm)
{
    wire::Vm out;
    vmToWire(vm, out);
    gossip_->publish(ListedTopic, vm.instance, 1, out.SerializeAsString(), KeepListed);
}

void MemberSpread::onLeaving(const Rumour &rumour)
{
    wire::LeavingMark in;
    if (!in.ParseFromString(rumour.payload)) {
        return;
    }
    LeavingMark mark;
    mark.source = in.source() <= static_cast<std::uint32_t>(LeavingSource::LoadReport) ? static_cast<LeavingSource>(in.source()) : LeavingSource::Notice;
    mark.reporter = in.reporter();
    mark.seen = fromMs(in.seen_at_ms());
    if (members_->takeMark(rumour.key, mark)) {
        partLogger("membership")->info("A VM is leaving. vm={} source={} reporter={}", rumour.key, nameOf(mark.source), mark.reporter);
    }
}

void MemberSpread::onListed(const Rumour &rumour)
{
    wire::Vm in;
    if (in.ParseFromString(rumour.payload) && in.instance() == rumour.key) {
        members_->addProvisional(vmFromWire(in));
    }
}

void MemberSpread::onRefusal(const std::string &instance)
{
    const WallTime now = loop_->clock().wallNow();
    if (refusals_.size() >= MostRefusals) {
        std::erase_if(refusals_, [now](const auto &entry) { return entry.second.first + RefusalWindow <= now; });
    }
    OwnRefusals &own = refusals_[instance];
    if (own.count == 0 || own.first + RefusalWindow <= now) {
        own = {0, now};
    }
    own.count++;
    const Rumour *held = gossip_->find(UnreachableTopic, instance);
    const auto word = nextWord(members_->self(), own, held ? readWord(*held) : std::nullopt, now);
    if (word) {
        spreadWord(instance, *word);
    }
}

void MemberSpread::spreadWord(const std::string &instance, const UnreachableWord &word)
{
    wire::Unreachable out;
    out.set_reporter(word.reporter);
    out.set_confirmed(word.confirmed);
    out.set_until_ms(toMs(word.until));
    gossip_->publish(UnreachableTopic, instance, word.version, out.SerializeAsString(), 2 * UnreachableTime);
}

void MemberSpread::onUnreachable(const Rumour &rumour)
{
    const WallTime now = loop_->clock().wallNow();
    const auto word = readWord(rumour);
    if (!word || word->until <= now) {
        return;
    }
    if (word->confirmed) {
        members_->setUnreachable(rumour.key, word->until);
        return;
    }
    const auto own = refusals_.find(rumour.key);
    if (own == refusals_.end() || own->second.first + RefusalWindow <= now) {
        return;
    }
    const auto confirmation = nextWord(members_->self(), own->second, word, now);
    if (confirmation) {
        spreadWord(rumour.key, *confirmation);
    }
}

} // namespace cardamomlift::membership
