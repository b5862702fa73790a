#include "membership/gossip.h"

#include "membership/membership.pb.h"

#include <span>
#include <utility>

namespace cardamomlift::membership {

namespace {

constexpr char PushTopic[] = "gossip.push";
constexpr char CompareTopic[] = "gossip.compare";
constexpr char ExchangeTopic[] = "gossip.exchange";
constexpr Duration ComparePeriod = std::chrono::seconds(5);
constexpr Duration CallTimeout = std::chrono::seconds(2);
// Rumours that expire within this margin are left out of a comparison: with slightly different clocks, one VM may have
// dropped them already while the other still holds them, and the digests would differ.
constexpr Duration HorizonMargin = std::chrono::minutes(1);
constexpr std::size_t MaxExchangeBytes = 512 * 1024;

std::int64_t toMs(WallTime time)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(time.time_since_epoch()).count();
}

WallTime fromMs(std::int64_t ms)
{
    return WallTime(std::chrono::milliseconds(ms));
}

void toWire(const Rumour &rumour, wire::Rumour &out)
{
    out.set_topic(rumour.topic);
    out.set_key(rumour.key);
    out.set_version(rumour.version);
    out.set_payload(rumour.payload);
    out.set_expires_at_ms(toMs(rumour.expires));
}

Rumour fromWire(const wire::Rumour &in)
{
    return {in.topic(), in.key(), in.version(), in.payload(), fromMs(in.expires_at_ms())};
}

/// Adds the rumours of @p ids to @p message until it exceeds MaxExchangeBytes. The next comparison brings the rest.
template<class Message>
void addRumours(const RumourStore &store, std::span<const std::uint64_t> ids, Message &message)
{
    std::size_t bytes = 0;
    for (const std::uint64_t id : ids) {
        const Rumour *rumour = store.findById(id);
        if (!rumour || bytes > MaxExchangeBytes) {
            continue;
        }
        toWire(*rumour, *message.add_rumours());
        bytes += rumour->payload.size() + rumour->key.size();
    }
}

} // namespace

std::shared_ptr<Gossip> Gossip::create(EventLoop &loop, std::shared_ptr<peers::PeerTransport> transport)
{
    std::shared_ptr<Gossip> gossip(new Gossip);
    gossip->loop_ = &loop;
    gossip->transport_ = std::move(transport);
    Gossip *raw = gossip.get();
    raw->transport_->handle(PushTopic, [raw](const std::string &from, const std::string &payload, const peers::Reply &reply) {
        raw->onPush(from, payload);
        reply(std::string());
    });
    raw->transport_->handle(
        CompareTopic, [raw](const std::string &, const std::string &payload, const peers::Reply &reply) { reply(raw->answerCompare(payload)); });
    raw->transport_->handle(
        ExchangeTopic, [raw](const std::string &from, const std::string &payload, const peers::Reply &reply) { reply(raw->answerExchange(from, payload)); });
    return gossip;
}

void Gossip::setNeighbours(std::vector<peers::PeerAddress> neighbours)
{
    const bool isFirst = neighbours_.empty() && !neighbours.empty();
    neighbours_ = std::move(neighbours);
    if (isFirst) {
        compareNow();
    }
}

const std::vector<peers::PeerAddress> &Gossip::neighbours() const
{
    return neighbours_;
}

void Gossip::start()
{
    loop_->every(ComparePeriod, [this] {
        store_.dropExpired(loop_->clock().wallNow());
        compareNow();
    });
}

bool Gossip::publish(const std::string &topic, const std::string &key, std::uint64_t version, std::string payload, Duration ttl)
{
    return accept({topic, key, version, std::move(payload), loop_->clock().wallNow() + ttl}, "");
}

void Gossip::onRumour(const std::string &topic, Handler handler)
{
    store_.forEach(topic, handler);
    handlers_[topic].push_back(std::move(handler));
}

const Rumour *Gossip::find(const std::string &topic, const std::string &key) const
{
    return store_.find(topic, key);
}

void Gossip::forEach(const std::string &topic, const Handler &visit) const
{
    store_.forEach(topic, visit);
}

std::size_t Gossip::size() const
{
    return store_.size();
}

const GossipCounters &Gossip::counters() const
{
    return counters_;
}

bool Gossip::accept(const Rumour &rumour, const std::string &from)
{
    const OfferOutcome outcome = store_.offer(rumour, loop_->clock().wallNow());
    if (outcome != OfferOutcome::Accepted) {
        (outcome == OfferOutcome::Known ? counters_.duplicates : counters_.rejected)++;
        return false;
    }
    counters_.accepted++;
    if (pending_.empty()) {
        loop_->post([this] { sendPending(); });
    }
    pending_.push_back({rumour, from});
    const auto found = handlers_.find(rumour.topic);
    if (found == handlers_.end()) {
        return true;
    }
    // NOTE A handler may publish rumours or register handlers, which modifies handlers_; iterate over a copy.
    const std::vector<Handler> handlers = found->second;
    for (const Handler &handler : handlers) {
        handler(rumour);
    }
    return true;
}

// Sends all rumours accepted since the last call, in one message to each neighbour.
void Gossip::sendPending()
{
    const std::vector<PendingRumour> rumours = std::exchange(pending_, {});
    for (const peers::PeerAddress &peer : neighbours_) {
        wire::Push push;
        for (const PendingRumour &pending : rumours) {
            if (pending.from != peer.instance) {
                toWire(pending.rumour, *push.add_rumours());
            }
        }
        if (push.rumours().empty()) {
            continue;
        }
        counters_.pushes++;
        transport_->send(peer, PushTopic, push.SerializeAsString(), CallTimeout, [](const Result<std::string> &) {});
    }
}

void Gossip::onPush(const std::string &from, const std::string &payload)
{
    wire::Push push;
    if (!push.ParseFromString(payload)) {
        return;
    }
    for (const wire::Rumour &rumour : push.rumours()) {
        accept(fromWire(rumour), from);
    }
}

void Gossip::compareNow()
{
    if (isComparing_ || neighbours_.empty()) {
        return;
    }
    isComparing_ = true;
    counters_.comparisons++;
    const peers::PeerAddress peer = neighbours_[nextCompareIndex_++ % neighbours_.size()];
    const WallTime horizon = loop_->clock().wallNow() + HorizonMargin;
    wire::CompareRequest request;
    request.set_digest(store_.digest(horizon));
    request.set_horizon_ms(toMs(horizon));
    transport_->send(peer, CompareTopic, request.SerializeAsString(), CallTimeout, [this, peer, horizon](const Result<std::string> &reply) {
        isComparing_ = false;
        if (reply) {
            onCompareReply(peer, horizon, reply.value());
        }
    });
}

std::string Gossip::answerCompare(const std::string &payload)
{
    wire::CompareRequest request;
    wire::CompareReply reply;
    if (!request.ParseFromString(payload)) {
        return {};
    }
    const WallTime horizon = fromMs(request.horizon_ms());
    reply.set_equal(store_.digest(horizon) == request.digest());
    if (!reply.equal()) {
        for (const RumourSummary &summary : store_.summaries(horizon)) {
            wire::Summary *held = reply.add_held();
            held->set_id(summary.id);
            held->set_version(summary.version);
        }
    }
    return reply.SerializeAsString();
}

void Gossip::onCompareReply(const peers::PeerAddress &peer, WallTime horizon, const std::string &payload)
{
    wire::CompareReply reply;
    if (!reply.ParseFromString(payload) || reply.equal()) {
        return;
    }
    counters_.mismatches++;
    std::vector<RumourSummary> theirs;
    theirs.reserve(static_cast<std::size_t>(reply.held_size()));
    for (const wire::Summary &summary : reply.held()) {
        theirs.push_back({summary.id(), summary.version()});
    }
    const RumourDifference difference = compareSummaries(store_.summaries(horizon), theirs);
    wire::ExchangeRequest request;
    addRumours(store_, difference.offered, request);
    request.mutable_wanted()->Add(difference.wanted.begin(), difference.wanted.end());
    transport_->send(peer, ExchangeTopic, request.SerializeAsString(), CallTimeout, [this, from = peer.instance](const Result<std::string> &answer) {
        wire::ExchangeReply exchanged;
        if (!answer || !exchanged.ParseFromString(answer.value())) {
            return;
        }
        for (const wire::Rumour &rumour : exchanged.rumours()) {
            accept(fromWire(rumour), from);
        }
    });
}

std::string Gossip::answerExchange(const std::string &from, const std::string &payload)
{
    wire::ExchangeRequest request;
    if (!request.ParseFromString(payload)) {
        return {};
    }
    for (const wire::Rumour &rumour : request.rumours()) {
        accept(fromWire(rumour), from);
    }
    wire::ExchangeReply reply;
    addRumours(store_, {request.wanted().data(), static_cast<std::size_t>(request.wanted_size())}, reply);
    return reply.SerializeAsString();
}

} // namespace cardamomlift::membership
