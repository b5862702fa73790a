#include "presence/presence.h"

#include "http/json.h"
#include "presence/statusformat.h"

#include <algorithm>
#include <iterator>
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
/// With many VMs a peer hears less often, so that one VM sends some sixty full statuses a second at most.
constexpr Duration PeriodPerPeer = std::chrono::milliseconds(15);
/// Changes within this go out together.
constexpr Duration SendNowDelay = std::chrono::milliseconds(20);
/// Sequences whose sending time is kept: an echo older than that proves nothing of use.
constexpr std::size_t SentKept = 32;
/// Packed changes of one table that a datagram may hold: three VMs send them to all others at once, and the smallest links
/// carry a megabyte a second. A failure domain's servers fit; a large manifest does not and is read from the store. With
/// 8,000 a new manifest kept the links of such VMs busy for 1.6 s.
constexpr std::size_t MostPacked = 2500;
/// A peer that was silent this long is logged as lost.
constexpr Duration LostAfter = std::chrono::seconds(5);
const std::string NoChanges;
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
    partial.storeBack = status.storeBack;
    partial.isFast = status.isFast;
    partial.upFor = status.upFor;
    std::copy_if(
        status.demands.begin(), status.demands.end(), std::back_inserter(partial.demands), [](const CustomerDemand &demand) { return demand.isPressed; });
    partial.holdsLease = status.holdsLease;
    partial.lacksStore = status.lacksStore;
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
    raw->tools_.datagrams->onDatagram([raw](std::string_view bytes) { raw->onDatagram(bytes); });
    rows::WatchHandlers handlers;
    handlers.onAll = [raw](const std::vector<rows::Row> &rows) {
        raw->peers_.clear();
        raw->takeRows(rows);
    };
    handlers.onChanges = [raw](const std::vector<rows::Row> &rows) {
        raw->takeRows(rows);
    };
    handlers.onConfirmed = [](TimePoint) {
    };
    handlers.onReachable = [](bool, rows::StoreFailure) {
    };
    raw->watch_ = rows::RowWatch::start(*raw->tools_.loop, raw->tools_.store, Table, WatchWait, std::move(handlers));
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

// Rounds from one full status to the next to the same peer.
int Presence::fullRounds() const
{
    const Duration wanted = PeriodPerPeer * static_cast<std::int64_t>(peers_.size());
    return std::max(1, static_cast<int>((wanted + Round - Duration(1)) / Round));
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
    status.sequence = ++sequence_;
    status.upFor = upFor();
    for (const auto &fill : fillers_) {
        fill(status);
    }
    status.isFast = isFast_ && isFast_();
    sent_.push_back({sequence_, tools_.loop->now()});
    if (sent_.size() > SentKept) {
        sent_.erase(sent_.begin());
    }
    return status;
}

// Changes go only from the VMs that follow the store, and only to those that have not heard of them.
void Presence::sendTo(const Peer &peer, const Status &status)
{
    StatusMessage message;
    message.status = status;
    message.echo = peer.status ? peer.status->sequence : 0;
    std::map<std::string, std::string> packed;
    for (auto &[table, news] : message.status.tables) {
        const auto known = peer.status ? peer.status->tables.find(table) : status.tables.end();
        const bool isKnown = peer.status && known != peer.status->tables.end();
        const bool tells = status.isFast && isKnown && known->second.version < news.version;
        const std::string &changes = tells ? packedChanges(table, known->second.version, news) : NoChanges;
        if (changes.empty()) {
            news.since = news.version;
        } else {
            packed[table] = changes;
        }
        news.changes.clear();
    }
    tools_.datagrams->send(peer.endpoint, encodeStatus(message, packed));
}

// Most peers lack the same changes, so they are packed once a round. Empty: too much for a datagram.
const std::string &Presence::packedChanges(const std::string &table, std::uint64_t has, const rows::TableNews &news)
{
    const auto [place, isNew] = packed_.try_emplace({table, has});
    if (!isNew) {
        return place->second;
    }
    std::vector<rows::Row> missed;
    std::copy_if(news.changes.begin(), news.changes.end(), std::back_inserter(missed), [has](const rows::Row &row) { return row.version > has; });
    std::string changes = packChanges(missed);
    if (changes.size() <= MostPacked) {
        place->second = std::move(changes);
    }
    return place->second;
}

// A peer hears a full status every few rounds; in the others only what keeps knowledge of the store fresh (from the VMs
// that follow it, and to them, whose echo proves the age) and the use of allowances that run low.
void Presence::sendRound()
{
    packed_.clear();
    const Status full = makeStatus();
    const Status partial = partialOf(full);
    const int rounds = fullRounds();
    round_++;
    int index = 0;
    for (const auto &[instance, peer] : peers_) {
        index++;
        if ((round_ + index) % rounds == 0) {
            sendTo(peer, full);
        } else if (full.isFast || !partial.demands.empty() || (peer.status && peer.status->isFast)) {
            sendTo(peer, partial);
        }
    }
}

void Presence::sendNow()
{
    if (std::exchange(sendNowPosted_, true)) {
        return;
    }
    tools_.loop->after(SendNowDelay, [weak = weak_from_this()] {
        const auto self = weak.lock();
        if (!self) {
            return;
        }
        self->sendNowPosted_ = false;
        self->packed_.clear();
        const Status partial = partialOf(self->makeStatus());
        for (const auto &[instance, peer] : self->peers_) {
            if (partial.isFast) {
                self->sendTo(peer, partial);
            }
        }
    });
}

// The sender had seen our status @p echo, so it sent its own after we sent that one, whatever the clocks say.
std::optional<TimePoint> Presence::provenTime(std::uint64_t echo) const
{
    for (const Sent &sent : sent_) {
        if (sent.sequence == echo) {
            return sent.at;
        }
    }
    return std::nullopt;
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
    const auto provenAt = provenTime(message->echo);
    // NOTE Handlers see what was sent: what a partial status lacks would count twice if it were merged first.
    for (const auto &handler : handlers_) {
        handler(message->status, provenAt);
    }
    merge(peer, std::move(message->status));
}

void Presence::merge(Peer &peer, Status status)
{
    if (!status.isPartial || !peer.status || peer.status->incarnation != status.incarnation) {
        peer.status = std::move(status);
        return;
    }
    peer.status->sequence = status.sequence;
    peer.status->tables = std::move(status.tables);
    peer.status->storeBack = status.storeBack;
    peer.status->isFast = status.isFast;
    peer.status->upFor = status.upFor;
    peer.status->holdsLease = status.holdsLease;
    peer.status->lacksStore = status.lacksStore;
    peer.status->isDraining = status.isDraining;
}

void Presence::setFast(std::function<bool()> isFast)
{
    isFast_ = std::move(isFast);
}

const std::shared_ptr<rows::RowWatch> &Presence::watch() const
{
    return watch_;
}

void Presence::notePeers()
{
    const TimePoint now = tools_.loop->now();
    for (const auto &[instance, peer] : peers_) {
        const bool isSilent = !peer.heardAt || now - *peer.heardAt > LostAfter;
        bool &wasSilent = silent_[instance];
        if (isSilent && !wasSilent && peer.heardAt) {
            tools_.log->write(Event::PeerLost, {{Attribute::Server, instance}, {Attribute::Zone, peer.zone}});
            wasSilent = true;
        } else if (!isSilent && wasSilent) {
            tools_.log->write(Event::PeerRegained, {{Attribute::Server, instance}, {Attribute::Zone, peer.zone}});
            wasSilent = false;
        }
    }
}

void Presence::contribute(std::function<void(Status &status)> fill)
{
    fillers_.push_back(std::move(fill));
}

void Presence::onStatus(std::function<void(const Status &status, std::optional<TimePoint> provenAt)> handler)
{
    handlers_.push_back(std::move(handler));
}

const std::map<std::string, Peer> &Presence::peers() const
{
    return peers_;
}

std::size_t Presence::heardWithin(Duration age) const
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

Duration Presence::upFor() const
{
    return tools_.loop->now() - startedAt_;
}

Duration Presence::upFor(const Peer &peer) const
{
    return peer.status && peer.heardAt ? peer.status->upFor + (tools_.loop->now() - *peer.heardAt) : Duration(0);
}

std::uint64_t Presence::incarnation() const
{
    return tools_.incarnation;
}

} // namespace cardamomlift::presence
