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

constexpr char TableName[] = "entry-vms";
/// How long the store may hold a long poll for new rows. New rows are returned at once in any case. A longer wait costs fewer
/// paid calls; a shorter one detects a dead connection sooner.
constexpr Duration LongPollWait = std::chrono::seconds(6);
/// Statuses are sent in rounds, about three a second. Allowance shares, server loads and the leader lease depend on them.
constexpr Duration RoundPeriod = std::chrono::milliseconds(350);
/// With many VMs each peer is sent to less often, so that a VM sends at most about 130 datagrams a second. Up to 46 datagrams
/// (statuses, summary requests and their answers), as for 300 VMs in six zones, still fit into one round: with twice the
/// period, a customer that asks for seven times its usual rate gets up to 0.06 more than its limit in a window (allowance
/// model with 288 VMs).
constexpr Duration PeriodPerDatagram = std::chrono::microseconds(7500);
/// Where VMs are divided into groups, a VM sends this many datagrams at once. A whole round would overflow the queue of a slow link, which
/// drops the rest.
constexpr std::size_t DatagramsPerSlot = 3;
constexpr Duration MinSlot = std::chrono::milliseconds(25);
/// Changes that arrive within this time are broadcast together.
constexpr Duration BroadcastDelay = std::chrono::milliseconds(20);
/// Number of sequences whose send time is kept: about four seconds of them. An older echo gives too early a bound to be useful.
constexpr std::size_t SendTimesKept = 256;
/// A peer of the same group, or another group, from which nothing was received for this long is logged as lost.
constexpr Duration LostAfter = std::chrono::seconds(5);
/// The first sequence is the random incarnation shifted right by this, which leaves room for the sequence to grow.
constexpr unsigned SequenceShift = 8;
constexpr Duration RowRetryDelay = std::chrono::milliseconds(500);

/// The part of @p status that is sent more often than the full status.
Status makePartial(const Status &status)
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
    partial.reachesNoServer = status.reachesNoServer;
    partial.lacksServerRoom = status.lacksServerRoom;
    partial.loopLag = status.loopLag;
    partial.sinceServerContact = status.sinceServerContact;
    partial.isPartial = true;
    return partial;
}

std::string formatRow(const PresenceTools &tools)
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
    // NOTE Does not start at 0: an echo of a sequence of this VM's previous process must not match one of this process.
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
    handlers.onSnapshot = [raw](const rows::TableSnapshot &snapshot) {
        raw->applySnapshot(snapshot);
    };
    handlers.onChanges = [raw](const std::vector<rows::Row> &rows) {
        raw->applyRows(rows);
    };
    handlers.onConfirmed = [](TimePoint) {
    };
    handlers.onReachabilityChanged = [](bool, rows::StoreFailure) {
    };
    raw->watch_ = rows::RowWatch::start({raw->tools_.loop, raw->tools_.store, raw->tools_.log}, TableName, LongPollWait, std::move(handlers));
    raw->writeRow();
    raw->scheduleSlot();
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
    write.table = TableName;
    write.key = tools_.instance;
    write.value = formatRow(tools_);
    tools_.store->write({write}, [weak = weak_from_this()](const rows::WriteResult &result) {
        const auto self = weak.lock();
        if (!self || result.outcome == rows::WriteOutcome::Written) {
            return;
        }
        self->tools_.loop->after(RowRetryDelay, [weak] {
            if (const auto again = weak.lock()) {
                again->writeRow();
            }
        });
    });
}

void Presence::applyRows(const std::vector<rows::Row> &rows)
{
    for (const rows::Row &row : rows) {
        applyRow(row);
    }
    regroup();
}

// Statuses already received are kept: the table is also read whole when the store has dropped its change history, which says
// nothing about the VMs themselves.
void Presence::applySnapshot(const rows::TableSnapshot &snapshot)
{
    std::map<std::string_view, std::string_view> listed;
    for (const rows::Row &row : snapshot.rows) {
        listed[row.key] = row.value;
    }
    // After a restore the store may lack rows of running VMs. These VMs write their rows again, so they are kept.
    if (snapshot.reason != rows::ReadReason::StoreRestored) {
        std::erase_if(peers_, [&listed](const auto &entry) { return !listed.contains(entry.first); });
    }
    if (snapshot.reason != rows::ReadReason::First && listed[tools_.instance] != formatRow(tools_)) {
        writeRow();
    }
    applyRows(snapshot.rows);
}

void Presence::applyRow(const rows::Row &row)
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
        tools_.log->write(Event::PeerLost, {{Attribute::Server, row.key}, {Attribute::Reason, "its row can't be parsed"}});
        return;
    }
    Peer &peer = peers_[row.key];
    peer.endpoint = *endpoint;
    peer.zone = (*json)["zone"].isString() ? (*json)["zone"].asString() : std::string();
    peer.listedAt = tools_.loop->now();
    peer.incarnation = (*json)["incarnation"].isUInt64() ? (*json)["incarnation"].asUInt64() : 0;
}

// Number of rounds between two full statuses, or two summary requests, to the same receiver.
int Presence::roundsPerPeriod() const
{
    const Duration wanted = PeriodPerDatagram * static_cast<std::int64_t>(datagramsPerPeriod());
    return std::max(1, static_cast<int>((wanted + RoundPeriod - Duration(1)) / RoundPeriod));
}

Duration Presence::period() const
{
    return RoundPeriod * roundsPerPeriod();
}

int Presence::slotsPerRound() const
{
    if (groups_.empty()) {
        return 1;
    }
    const std::size_t slots = (groupPeerCount_ + groups_.size()) / DatagramsPerSlot;
    return std::clamp(static_cast<int>(slots), 1, static_cast<int>(RoundPeriod / MinSlot));
}

bool Presence::isInSlot(int index) const
{
    return index % slotsPerRound() == slot_;
}

void Presence::scheduleSlot()
{
    timer_ = tools_.loop->after(RoundPeriod / slotsPerRound(), [this] {
        slot_++;
        if (slot_ >= slotsPerRound()) {
            slot_ = 0;
            round_++;
            logLivenessChanges();
        }
        sendSlot();
        scheduleSlot();
    });
}

Status Presence::makeStatus()
{
    Status status;
    status.instance = tools_.instance;
    status.incarnation = tools_.incarnation;
    status.sequence = nextSequence();
    status.uptime = uptime();
    for (const auto &fill : statusContributors_) {
        fill(status);
    }
    status.isStoreReader = isStoreReader_ && isStoreReader_();
    return status;
}

std::uint64_t Presence::nextSequence()
{
    sendTimes_.push_back(tools_.loop->now());
    if (sendTimes_.size() > SendTimesKept) {
        sendTimes_.pop_front();
    }
    return ++sequence_;
}

// The delta of a table is included only if the receiver's last known version is older.
void Presence::sendTo(const Peer &peer, const Status &status, bool includesDeltas)
{
    std::map<std::string, PackedDelta> deltas;
    if (includesDeltas) {
        for (const auto &[table, delta] : status.tables) {
            if (auto packedDelta = packedDeltaFor(peer, table, delta)) {
                deltas.emplace(table, std::move(*packedDelta));
            }
        }
    }
    tools_.socket->send(peer.endpoint, encodeStatus(status, peer.status ? peer.status->sequence : 0, deltas));
}

// Most peers lack the same changes, so each delta is packed once a round and reused.
std::optional<PackedDelta> Presence::packedDeltaFor(const Peer &peer, const std::string &table, const rows::TableDelta &delta)
{
    if (!peer.status) {
        return std::nullopt;
    }
    const auto known = peer.status->tables.find(table);
    if (known == peer.status->tables.end() || known->second.version >= delta.version) {
        return std::nullopt;
    }
    const rows::StoreVersion knownVersion = known->second.version;
    const auto [entry, isNew] = packedDeltas_.try_emplace({table, knownVersion, delta.version});
    if (isNew) {
        entry->second = packDeltaSince(delta, knownVersion);
    }
    return entry->second;
}

void Presence::sendSlot()
{
    packedDeltas_.clear();
    ownStatus_ = makeStatus();
    ownStatusAt_ = tools_.loop->now();
    summary_.reset();
    const Status partial = makePartial(ownStatus_);
    sendToGroup(ownStatus_, partial);
    requestSummaries(partial);
    if (slot_ == 0) {
        reportToLeaseHolder(ownStatus_, partial);
    }
}

// Each peer of the group gets a full status every few rounds. In the other rounds a partial status is sent only from store
// readers, to keep the peers' tables up to date, and to store readers, whose echo of it bounds the age of the tables that
// they send.
void Presence::sendToGroup(const Status &full, const Status &partial)
{
    const int rounds = roundsPerPeriod();
    int index = 0;
    for (const auto &[instance, peer] : peers_) {
        if (peer.group != group_) {
            continue;
        }
        index++;
        if (!isInSlot(index)) {
            continue;
        }
        if ((round_ + index) % rounds == 0) {
            sendTo(peer, full, full.isStoreReader);
        } else if (full.isStoreReader || (peer.status && peer.status->isStoreReader)) {
            sendTo(peer, partial, full.isStoreReader);
        }
    }
}

void Presence::scheduleChangeBroadcast(BroadcastScope scope)
{
    const bool isScheduled = pendingBroadcast_.has_value();
    pendingBroadcast_ = isScheduled ? std::max(*pendingBroadcast_, scope) : scope;
    if (isScheduled) {
        return;
    }
    tools_.loop->after(BroadcastDelay, [weak = weak_from_this()] {
        if (const auto self = weak.lock()) {
            self->broadcastChanges(*std::exchange(self->pendingBroadcast_, std::nullopt));
        }
    });
}

// The receiver in another group broadcasts the changes within its own group.
void Presence::broadcastChanges(BroadcastScope scope)
{
    packedDeltas_.clear();
    const Status partial = makePartial(makeStatus());
    for (const auto &[instance, peer] : peers_) {
        if (peer.group == group_) {
            sendTo(peer, partial, true);
        }
    }
    // A VM that is not a store reader may have read the store too; then only its own group may lack the change.
    if (scope == BroadcastScope::Group || !partial.isStoreReader) {
        return;
    }
    std::vector<std::string> receivers;
    for (const auto &[name, members] : groupMembers_) {
        receivers.push_back(peerSelector_.reachableMember(members));
    }
    for (const std::string &instance : receivers) {
        if (const auto peer = peers_.find(instance); peer != peers_.end()) {
            sendTo(peer->second, partial, true);
        }
    }
}

// The sender of a status had received this VM's status @p echo, so it sent its own after that one was sent. The bound is on
// this VM's clock and needs no agreement with the sender's.
std::optional<TimePoint> Presence::sendTimeLowerBound(std::uint64_t echo) const
{
    const std::uint64_t oldest = sequence_ - sendTimes_.size() + 1;
    if (echo < oldest || echo > sequence_) {
        return std::nullopt;
    }
    return sendTimes_[echo - oldest];
}

void Presence::notifyStatusHandlers(const Status &status, std::optional<TimePoint> sentNotBefore) const
{
    for (const auto &handler : statusHandlers_) {
        handler(status, sentNotBefore);
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
    // Datagrams of a previous process of that VM may still be in flight; the row holds the incarnation of the current one.
    const bool isOtherProcess = status.incarnation != peer.incarnation;
    const bool isOutdated = peer.status && peer.status->incarnation == status.incarnation && peer.status->sequence >= status.sequence;
    if (isOtherProcess || isOutdated) {
        return;
    }
    peer.heardAt = tools_.loop->now();
    peerSelector_.recordAnswer(status.instance);
    const auto sentNotBefore = sendTimeLowerBound(message->echo);
    if (!status.summaryOf.empty()) {
        handleSummary(peer, std::move(message->status), sentNotBefore);
        return;
    }
    // A VM of another group sends a full status only while it has another view of the group layout. Its share is already in
    // the summary of its group, so it must not be counted again.
    if (peer.group != group_ && !status.isPartial) {
        message->status = makePartial(status);
    }
    const bool summaryRequested = status.requestsSummary;
    // NOTE Handlers get the status as it was sent: after the merge, the fields that a partial status lacks would be counted
    // twice.
    notifyStatusHandlers(message->status, sentNotBefore);
    merge(peer, std::move(message->status));
    if (summaryRequested && layout_.groupsPerZone > 0) {
        sendSummary(peer);
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
    peer.status->reachesNoServer = status.reachesNoServer;
    peer.status->lacksServerRoom = status.lacksServerRoom;
    peer.status->loopLag = status.loopLag;
    peer.status->sinceServerContact = status.sinceServerContact;
}

void Presence::setStoreReaderCheck(std::function<bool()> isStoreReader)
{
    isStoreReader_ = std::move(isStoreReader);
}

const std::shared_ptr<rows::RowWatch> &Presence::rowWatch() const
{
    return watch_;
}

void Presence::logLivenessChanges()
{
    for (const auto &[instance, peer] : peers_) {
        if (peer.group == group_) {
            logLivenessChange(instance, peer);
        }
    }
    for (const auto &[name, group] : groups_) {
        logLivenessChange(name, group);
    }
}

void Presence::logLivenessChange(const std::string &name, const Peer &peer)
{
    const bool isSilent = !peer.heardAt || tools_.loop->now() - *peer.heardAt > LostAfter;
    bool &wasSilent = loggedAsLost_[name];
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
    statusContributors_.push_back(std::move(fill));
}

void Presence::onStatus(std::function<void(const Status &status, std::optional<TimePoint> sentNotBefore)> handler)
{
    statusHandlers_.push_back(std::move(handler));
}

void Presence::onRegrouped(std::function<void()> handler)
{
    regroupHandlers_.push_back(std::move(handler));
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

std::vector<std::string> Presence::vmNames() const
{
    if (!ownRowSeen_) {
        return {};
    }
    std::vector<std::string> names{tools_.instance};
    for (const auto &[instance, peer] : peers_) {
        names.push_back(instance);
    }
    return names;
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
