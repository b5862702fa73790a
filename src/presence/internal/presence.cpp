#include "presence/presence.h"

#include "http/json.h"
#include "presence/statusformat.h"

#include <algorithm>
#include <string_view>
#include <utility>

namespace cardamomlift::presence {

namespace {

using eventlog::Attribute;
using eventlog::Event;

constexpr char Table[] = "entry-vms";
/// How long the store may hold the question for new rows. They come at once whatever this is; it bounds how long a
/// connection that fell silent goes unnoticed, and each answer is paid for.
constexpr Duration WatchWait = std::chrono::seconds(6);
/// Statuses go out in rounds. Shares of an allowance, loads and the lease are judged by them: three in a second.
constexpr Duration Round = std::chrono::milliseconds(350);
/// With many VMs a peer hears less often, so that one VM sends some 130 datagrams a second at most. Up to 46 group mates and
/// questions, as of 300 VMs in six zones, are told in each round: with twice the period, a customer that asks seven times its
/// usual gets up to 0.06 more than its limit in a window (model of the allowances with 288 VMs).
constexpr Duration PeriodPerPeer = std::chrono::microseconds(7500);
/// Changes within this go out together.
constexpr Duration BroadcastDelay = std::chrono::milliseconds(20);
/// Sequences whose sending time is kept: some four seconds of them. An echo older than that proves nothing of use.
constexpr std::size_t SentKept = 256;
/// A group mate, or a group, that was silent this long is logged as lost.
constexpr Duration LostAfter = std::chrono::seconds(5);
/// Leaves room above the first sequence, which is drawn at random.
constexpr unsigned SequenceShift = 8;
constexpr Duration RowRetry = std::chrono::milliseconds(500);

/// What is repeated more often than the rest.
Status partialOf(const Status &status)
{
    Status partial;
    partial.instance = status.instance;
    partial.incarnation = status.incarnation;
    partial.sequence = status.sequence;
    partial.tables = status.tables;
    partial.manifestVersion = status.manifestVersion;
    partial.sinceStoreOutage = status.sinceStoreOutage;
    partial.isStoreReader = status.isStoreReader;
    partial.uptime = status.uptime;
    partial.holdsLease = status.holdsLease;
    partial.isStoreUnavailable = status.isStoreUnavailable;
    partial.isDraining = status.isDraining;
    partial.isPartial = true;
    return partial;
}

std::string rowText(const PresenceTools &tools)
{
    Json::Value row;
    row["endpoint"] = http1::formatEndpoint(tools.endpoint);
    row["zone"] = tools.zone;
    row["incarnation"] = static_cast<Json::UInt64>(tools.incarnation);
    return http::writeJson(row);
}

} // namespace

Presence::Presence(PresenceTools tools)
    : tools_(std::move(tools))
    // NOTE Not from 0: an echo of what an earlier process of this VM has sent must prove nothing.
    , sequence_(tools_.incarnation >> SequenceShift)
    , startedAt_(tools_.loop->now())
{
}

std::shared_ptr<Presence> Presence::start(PresenceTools tools)
{
    std::shared_ptr<Presence> presence(new Presence(std::move(tools)));
    Presence *raw = presence.get();
    raw->tools_.socket->onDatagram([raw](std::string_view bytes) { raw->onDatagram(bytes); });
    rows::WatchHandlers handlers;
    handlers.onSnapshot = [raw](const rows::TableSnapshot &whole) {
        raw->replaceRows(whole);
    };
    handlers.onChanges = [raw](const std::vector<rows::Row> &rows) {
        raw->takeRows(rows);
    };
    handlers.onConfirmed = [](TimePoint) {
    };
    handlers.onReachabilityChanged = [](bool, rows::StoreFailure) {
    };
    raw->watch_ = rows::RowWatch::start({raw->tools_.loop, raw->tools_.store, raw->tools_.log}, Table, WatchWait, std::move(handlers));
    raw->writeRow();
    raw->sendSoon();
    return presence;
}

Presence::~Presence()
{
    watch_->stop();
    tools_.loop->cancel(timer_);
}

void Presence::writeRow()
{
    rows::RowWrite write;
    write.table = Table;
    write.key = tools_.instance;
    write.value = rowText(tools_);
    tools_.store->write({write}, [weak = weak_from_this()](const rows::WriteResult &result) {
        const auto self = weak.lock();
        if (!self || result.outcome == rows::WriteOutcome::Written) {
            return;
        }
        self->tools_.loop->after(RowRetry, [weak] {
            if (const auto again = weak.lock()) {
                again->writeRow();
            }
        });
    });
}

void Presence::takeRows(const std::vector<rows::Row> &rows)
{
    for (const rows::Row &row : rows) {
        takeRow(row);
    }
    regroup();
}

// What the VMs have told stays: with a lost history of the store nothing has become of them.
void Presence::replaceRows(const rows::TableSnapshot &whole)
{
    std::map<std::string_view, std::string_view> listed;
    for (const rows::Row &row : whole.rows) {
        listed[row.key] = row.value;
    }
    // VMs that an older copy of the store lacks write their rows again.
    if (whole.reason != rows::ReadReason::StoreRestored) {
        std::erase_if(peers_, [&listed](const auto &entry) { return !listed.contains(entry.first); });
    }
    if (whole.reason != rows::ReadReason::First && listed[tools_.instance] != rowText(tools_)) {
        writeRow();
    }
    takeRows(whole.rows);
}

void Presence::takeRow(const rows::Row &row)
{
    if (row.key == tools_.instance) {
        ownRowSeen_ = true;
        return;
    }
    if (row.isDeleted) {
        peers_.erase(row.key);
        return;
    }
    const auto json = http::parseJson(row.value);
    const auto endpoint = json && json->isObject() && (*json)["endpoint"].isString() ? http1::parseEndpoint((*json)["endpoint"].asString()) : std::nullopt;
    if (!endpoint) {
        tools_.log->write(Event::PeerLost, {{Attribute::Server, row.key}, {Attribute::Reason, "its row can't be read"}});
        return;
    }
    Peer &peer = peers_[row.key];
    peer.endpoint = *endpoint;
    peer.zone = (*json)["zone"].isString() ? (*json)["zone"].asString() : std::string();
    peer.listedAt = tools_.loop->now();
    peer.incarnation = (*json)["incarnation"].isUInt64() ? (*json)["incarnation"].asUInt64() : 0;
}

// Rounds from one full status, or question, to the next to the same receiver.
int Presence::fullRounds() const
{
    const Duration wanted = PeriodPerPeer * static_cast<std::int64_t>(contacts());
    return std::max(1, static_cast<int>((wanted + Round - Duration(1)) / Round));
}

Duration Presence::period() const
{
    return Round * fullRounds();
}

void Presence::sendSoon()
{
    timer_ = tools_.loop->after(Round, [this] {
        sendRound();
        notePeers();
        sendSoon();
    });
}

Status Presence::makeStatus()
{
    Status status;
    status.instance = tools_.instance;
    status.incarnation = tools_.incarnation;
    status.sequence = nextSequence();
    status.uptime = uptime();
    for (const auto &fill : fillers_) {
        fill(status);
    }
    status.isStoreReader = isStoreReader_ && isStoreReader_();
    return status;
}

std::uint64_t Presence::nextSequence()
{
    sentAt_.push_back(tools_.loop->now());
    if (sentAt_.size() > SentKept) {
        sentAt_.pop_front();
    }
    return ++sequence_;
}

// Changes go only to those that have not heard of them.
void Presence::sendTo(const Peer &peer, const Status &status, bool tellsChanges)
{
    std::map<std::string, TableDelta> told;
    if (tellsChanges) {
        for (const auto &[table, news] : status.tables) {
            if (auto changes = changesFor(peer, table, news)) {
                told.emplace(table, std::move(*changes));
            }
        }
    }
    tools_.socket->send(peer.endpoint, encodeStatus(status, peer.status ? peer.status->sequence : 0, told));
}

// Most peers lack the same changes, so they are packed once a round.
std::optional<TableDelta> Presence::changesFor(const Peer &peer, const std::string &table, const rows::TableDelta &news)
{
    if (!peer.status) {
        return std::nullopt;
    }
    const auto known = peer.status->tables.find(table);
    if (known == peer.status->tables.end() || known->second.version >= news.version) {
        return std::nullopt;
    }
    const rows::StoreVersion has = known->second.version;
    const auto [place, isNew] = packed_.try_emplace({table, has, news.version});
    if (isNew) {
        place->second = deltaSince(news, has);
    }
    return place->second;
}

void Presence::sendRound()
{
    packed_.clear();
    own_ = makeStatus();
    ownAt_ = tools_.loop->now();
    summary_.reset();
    round_++;
    const Status partial = partialOf(own_);
    sendToGroup(own_, partial);
    askGroups(partial);
    tellHolder(own_, partial);
}

// A group mate hears a full status every few rounds; in the others only what keeps knowledge of the store fresh: from the
// VMs that follow it, and to them, whose echo proves the age.
void Presence::sendToGroup(const Status &full, const Status &partial)
{
    const int rounds = fullRounds();
    int index = 0;
    for (const auto &[instance, peer] : peers_) {
        if (peer.group != group_) {
            continue;
        }
        index++;
        if ((round_ + index) % rounds == 0) {
            sendTo(peer, full, full.isStoreReader);
        } else if (full.isStoreReader || (peer.status && peer.status->isStoreReader)) {
            sendTo(peer, partial, full.isStoreReader);
        }
    }
}

void Presence::scheduleChangeBroadcast(BroadcastScope scope)
{
    const bool isPosted = pendingBroadcast_.has_value();
    pendingBroadcast_ = isPosted ? std::max(*pendingBroadcast_, scope) : scope;
    if (isPosted) {
        return;
    }
    tools_.loop->after(BroadcastDelay, [weak = weak_from_this()] {
        if (const auto self = weak.lock()) {
            self->broadcastChanges(*std::exchange(self->pendingBroadcast_, std::nullopt));
        }
    });
}

// The VM of another group that hears it tells its group mates.
void Presence::broadcastChanges(BroadcastScope scope)
{
    packed_.clear();
    const Status partial = partialOf(makeStatus());
    for (const auto &[instance, peer] : peers_) {
        if (peer.group == group_) {
            sendTo(peer, partial, true);
        }
    }
    // A VM that does not follow the store may have read it all the same; then only its group may lack the change.
    if (scope == BroadcastScope::Group || !partial.isStoreReader) {
        return;
    }
    std::vector<std::string> told;
    for (const auto &[name, members] : members_) {
        told.push_back(peerSelector_.reachableMember(members));
    }
    for (const std::string &instance : told) {
        if (const auto peer = peers_.find(instance); peer != peers_.end()) {
            sendTo(peer->second, partial, true);
        }
    }
}

// The sender had seen our status @p echo, so it sent its own after we sent that one, whatever the clocks say.
std::optional<TimePoint> Presence::provenTime(std::uint64_t echo) const
{
    const std::uint64_t oldest = sequence_ - sentAt_.size() + 1;
    if (echo < oldest || echo > sequence_) {
        return std::nullopt;
    }
    return sentAt_[echo - oldest];
}

void Presence::tellHandlers(const Status &status, std::optional<TimePoint> provenAt) const
{
    for (const auto &handler : handlers_) {
        handler(status, provenAt);
    }
}

void Presence::onDatagram(std::string_view bytes)
{
    auto message = decodeStatus(bytes);
    if (!message) {
        return;
    }
    const auto found = peers_.find(message->status.instance);
    if (found == peers_.end()) {
        return;
    }
    Peer &peer = found->second;
    const Status &status = message->status;
    // What an earlier process of that VM has sent may still be on its way; the row names the newest one.
    const bool isOther = status.incarnation != peer.incarnation;
    const bool isOld = peer.status && peer.status->incarnation == status.incarnation && peer.status->sequence >= status.sequence;
    if (isOther || isOld) {
        return;
    }
    peer.heardAt = tools_.loop->now();
    peerSelector_.recordAnswer(status.instance);
    const auto provenAt = provenTime(message->echo);
    if (!status.summaryOf.empty()) {
        takeSummary(peer, std::move(message->status), provenAt);
        return;
    }
    // A VM of another group, which counts the VMs otherwise for now: its part is in the sums of its group.
    if (peer.group != group_ && !status.isPartial) {
        message->status = partialOf(status);
    }
    const bool asks = status.requestsSummary;
    // NOTE Handlers see what was sent: what a partial status lacks would count twice if it were merged first.
    tellHandlers(message->status, provenAt);
    merge(peer, std::move(message->status));
    if (asks && layout_.groupsPerZone > 0) {
        answer(peer);
    }
}

void Presence::merge(Peer &peer, Status status)
{
    if (!status.isPartial || !peer.status || peer.status->incarnation != status.incarnation) {
        peer.status = std::move(status);
        return;
    }
    peer.status->sequence = status.sequence;
    peer.status->tables = std::move(status.tables);
    peer.status->manifestVersion = status.manifestVersion;
    peer.status->sinceStoreOutage = status.sinceStoreOutage;
    peer.status->isStoreReader = status.isStoreReader;
    peer.status->uptime = status.uptime;
    peer.status->holdsLease = status.holdsLease;
    peer.status->isStoreUnavailable = status.isStoreUnavailable;
    peer.status->isDraining = status.isDraining;
}

void Presence::setStoreReaderCheck(std::function<bool()> isStoreReader)
{
    isStoreReader_ = std::move(isStoreReader);
}

const std::shared_ptr<rows::RowWatch> &Presence::watch() const
{
    return watch_;
}

void Presence::notePeers()
{
    for (const auto &[instance, peer] : peers_) {
        if (peer.group == group_) {
            noteHeard(instance, peer);
        }
    }
    for (const auto &[name, group] : groups_) {
        noteHeard(name, group);
    }
}

void Presence::noteHeard(const std::string &name, const Peer &peer)
{
    const bool isSilent = !peer.heardAt || tools_.loop->now() - *peer.heardAt > LostAfter;
    bool &wasSilent = silent_[name];
    if (isSilent && !wasSilent && peer.heardAt) {
        tools_.log->write(Event::PeerLost, {{Attribute::Server, name}, {Attribute::Zone, peer.zone}});
        wasSilent = true;
    } else if (!isSilent && wasSilent) {
        tools_.log->write(Event::PeerRegained, {{Attribute::Server, name}, {Attribute::Zone, peer.zone}});
        wasSilent = false;
    }
}

void Presence::addStatusContributor(std::function<void(Status &status)> fill)
{
    fillers_.push_back(std::move(fill));
}

void Presence::onStatus(std::function<void(const Status &status, std::optional<TimePoint> provenAt)> handler)
{
    handlers_.push_back(std::move(handler));
}

void Presence::onRegrouped(std::function<void()> handler)
{
    regrouped_.push_back(std::move(handler));
}

const std::map<std::string, Peer> &Presence::peers() const
{
    return peers_;
}

const std::map<std::string, Peer> &Presence::groups() const
{
    return groups_;
}

std::vector<const Peer *> Presence::recentlyHeard(Duration age) const
{
    std::vector<const Peer *> heard;
    const TimePoint now = tools_.loop->now();
    for (const auto *sources : {&peers_, &groups_}) {
        for (const auto &[name, peer] : *sources) {
            if (peer.status && peer.heardAt && now - *peer.heardAt <= age) {
                heard.push_back(&peer);
            }
        }
    }
    return heard;
}

const std::string &Presence::group() const
{
    return group_;
}

bool Presence::isInOwnGroup(const std::string &instance) const
{
    const auto peer = peers_.find(instance);
    return peer != peers_.end() && peer->second.group == group_;
}

std::size_t Presence::countPeersHeardWithin(Duration age) const
{
    const TimePoint now = tools_.loop->now();
    return std::count_if(peers_.begin(), peers_.end(), [&](const auto &entry) { return entry.second.heardAt && now - *entry.second.heardAt <= age; });
}

std::optional<std::size_t> Presence::vmCount() const
{
    return ownRowSeen_ ? std::optional(peers_.size() + 1) : std::nullopt;
}

const std::string &Presence::instance() const
{
    return tools_.instance;
}

Duration Presence::uptime() const
{
    return tools_.loop->now() - startedAt_;
}

Duration Presence::uptime(const Peer &peer) const
{
    return peer.status && peer.heardAt ? peer.status->uptime + (tools_.loop->now() - *peer.heardAt) : Duration(0);
}

std::uint64_t Presence::incarnation() const
{
    return tools_.incarnation;
}

} // namespace cardamomlift::presence
