#include "streams/streamregistry.h"

#include "kernel/log.h"
#include "streams/internal/streamregistryentry.h"
#include "streams/streamcodec.h"
#include "text/digest.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace cardamomlift::streams {

namespace {

constexpr std::size_t IdBytes = 6;
constexpr std::size_t MostPlaces = 3; ///< VMs tried for one copy.
constexpr Duration SweepPeriod = std::chrono::seconds(1);
constexpr Duration AvoidFailedHolder = std::chrono::seconds(5);

} // namespace

std::shared_ptr<StreamRegistry> StreamRegistry::create(StreamRegistryTools tools)
{
    std::shared_ptr<StreamRegistry> registry(new StreamRegistry);
    registry->self_ = tools.session.members->self();
    registry->sender_ = CopySender::create(*tools.session.loop, tools.transport, tools.session.metrics);
    registry->tools_ = std::move(tools);
    registry->handleTopics();
    const std::weak_ptr<StreamRegistry> weak = registry;
    registry->tools_.session.members->onChange([weak] {
        if (const auto self = weak.lock()) {
            self->onMembersChange();
        }
    });
    registry->tools_.session.loop->every(SweepPeriod, [weak] {
        if (const auto self = weak.lock()) {
            self->sweep();
        }
    });
    return registry;
}

void StreamRegistry::handleTopics()
{
    const std::weak_ptr<StreamRegistry> weak = weak_from_this();
    tools_.transport->handle("streams.copy", [weak](const std::string &from, const std::string &payload, const peers::Reply &reply) {
        const auto self = weak.lock();
        reply(self ? Result<std::string>(self->onCopies(from, payload)) : failure(ErrorKind::Unavailable, "stopping"));
    });
    tools_.transport->handle("streams.take", [weak](const std::string &from, const std::string &payload, const peers::Reply &reply) {
        const auto self = weak.lock();
        reply(self ? Result<std::string>(self->onTake(from, payload)) : failure(ErrorKind::Unavailable, "stopping"));
    });
}

std::string StreamRegistry::newRequestId()
{
    const auto ranked = holders({self_, tools_.zone, {}});
    const std::string unique = fmt::format("{}{}", text::randomHex(IdBytes), nextNumber_++);
    return makeRequestId(unique, {self_, tools_.zone, ranked.empty() ? std::string() : ranked.front()});
}

std::vector<std::string> StreamRegistry::holders(const RequestIdParts &id) const
{
    std::vector<membership::Vm> entries;
    for (const auto &[instance, vm] : tools_.session.members->all()) {
        if (vm.role == membership::VmRole::Entry) {
            entries.push_back(vm);
        }
    }
    auto ranked = rankHolders(id.home, id.homeZone, entries);
    std::erase(ranked, self_);
    // A VM that did not answer a moment ago comes last.
    const TimePoint now = tools_.session.loop->now();
    std::stable_partition(ranked.begin(), ranked.end(), [&](const std::string &instance) {
        const auto failed = failedHolders_.find(instance);
        return failed == failedHolders_.end() || failed->second < now;
    });
    return ranked;
}

StreamRegistry::EntryPtr StreamRegistry::add(StreamState state)
{
    removeEntry(state.requestId);
    auto entry = std::make_shared<Entry>();
    entry->requestId = state.requestId;
    entry->customer = state.customer;
    entry->owner = self_;
    entry->since = tools_.session.loop->now();
    entry->session = StreamSession::create(tools_.session, std::move(state));
    entries_[entry->requestId] = entry;
    // The copy must name the stream that a new owner can join.
    entry->session->onNewAttempt([this, weak = std::weak_ptr<Entry>(entry)] {
        const EntryPtr current = weak.lock();
        if (current && current->session) {
            placeCopy(current, [](bool) {});
        }
    });
    return entry;
}

std::shared_ptr<StreamSession> StreamRegistry::open(StreamState state, std::function<void()> onAccepted)
{
    const EntryPtr entry = add(std::move(state));
    // NOTE Before the copy, which then names the first attempt.
    entry->session->start();
    if (entry->session->hasEnded()) {
        tools_.session.loop->post(std::move(onAccepted));
        return entry->session;
    }
    placeCopy(entry, [this, entry, onAccepted = std::move(onAccepted)](bool stored) {
        tools_.session.metrics->observe("copy_seconds", tools_.session.loop->now() - entry->since);
        if (!stored) {
            tools_.session.metrics->add("copies_missing_total");
        }
        onAccepted();
    });
    return entry->session;
}

void StreamRegistry::placeCopy(const EntryPtr &entry, std::function<void(bool stored)> done)
{
    auto targets = holders(parseRequestId(entry->requestId).value_or(RequestIdParts()));
    std::erase(targets, entry->owner);
    targets.resize(std::min(targets.size(), MostPlaces));
    entry->copiedAt = tools_.session.loop->now();
    tryPlace(entry, std::move(targets), std::move(done));
}

void StreamRegistry::tryPlace(const EntryPtr &entry, std::vector<std::string> targets, std::function<void(bool stored)> done)
{
    auto &members = *tools_.session.members;
    const membership::Vm *vm = nullptr;
    while (!targets.empty() && !vm) {
        vm = members.find(targets.front());
        vm = members.isLeaving(targets.front()) ? nullptr : vm;
        if (!vm) {
            targets.erase(targets.begin());
        }
    }
    if (!vm) {
        tools_.session.loop->post([done = std::move(done)] { done(false); });
        return;
    }
    const peers::PeerAddress target = membership::peerAddress(*vm);
    targets.erase(targets.begin());
    sender_->copy(target, entry->state(), entry->owner, [this, entry, target, targets, done](CopyResult result) {
        if (result == CopyResult::Stored) {
            entry->addPlace(target.instance);
            done(true);
            return;
        }
        if (result == CopyResult::Superseded) {
            if (entry->session) {
                entry->session->handOver();
            }
            done(true);
            return;
        }
        if (result == CopyResult::RefusedAsLeaving) {
            tools_.session.members->markLeaving(target.instance);
        }
        failedHolders_[target.instance] = tools_.session.loop->now() + AvoidFailedHolder;
        tryPlace(entry, targets, done);
    });
}

std::string StreamRegistry::onCopies(const std::string &from, const std::string &payload)
{
    wire::Copies message;
    wire::CopiesReply reply;
    if (!message.ParseFromString(payload)) {
        return reply.SerializeAsString();
    }
    if (message.sender_is_leaving()) {
        tools_.session.members->markLeaving(from);
    }
    for (const wire::Drop &drop : message.drops()) {
        dropCopy(drop);
    }
    reply.set_refused_as_leaving(isLeaving_);
    for (const wire::Copy &copy : message.copies()) {
        storeCopy(copy, reply);
    }
    evictCopies();
    return reply.SerializeAsString();
}

void StreamRegistry::storeCopy(const wire::Copy &copy, wire::CopiesReply &reply)
{
    const std::string &requestId = copy.state().request_id();
    const auto found = entries_.find(requestId);
    const Holding offered{Role::Copy, copy.owner(), copy.state().generation(), static_cast<std::uint64_t>(copy.state().tokens_size())};
    const bool isKnown = found != entries_.end();
    const Holding mine = isKnown ? found->second->holding() : Holding();
    if (isSuperseded(isKnown ? &mine : nullptr, offered)) {
        reply.add_superseded(requestId);
        return;
    }
    const bool isOwner = isKnown && found->second->session;
    if (!isNewer(isKnown ? &mine : nullptr, offered) || (isLeaving_ && !isOwner)) {
        return;
    }
    if (isOwner) {
        // Another VM took it over, though this one still drives it: the newer owner reads the engine's stream now.
        found->second->session->handOver();
        found->second->places.clear();
    }
    removeEntry(requestId);
    auto entry = std::make_shared<Entry>();
    entry->requestId = requestId;
    entry->customer = copy.state().customer();
    entry->owner = copy.owner();
    entry->since = tools_.session.loop->now();
    entry->copy = readState(copy.state());
    entry->bytes = copy.ByteSizeLong();
    copyBytes_ += entry->bytes;
    entries_[requestId] = entry;
    const std::string notified = ownerToNotify(isKnown ? &mine : nullptr, offered);
    if (const membership::Vm *vm = tools_.session.members->find(notified)) {
        sender_->copy(membership::peerAddress(*vm), entry->copy, entry->owner, [](CopyResult) {});
    }
}

void StreamRegistry::dropCopy(const wire::Drop &drop)
{
    const auto found = entries_.find(drop.request_id());
    if (found == entries_.end() || found->second->session || found->second->copy.generation > drop.generation()) {
        return;
    }
    removeEntry(drop.request_id());
}

std::string StreamRegistry::onTake(const std::string &from, const std::string &payload)
{
    wire::Take question;
    wire::TakeReply reply;
    if (!question.ParseFromString(payload)) {
        return reply.SerializeAsString();
    }
    const auto found = entries_.find(question.request_id());
    const bool isKnown = found != entries_.end() && found->second->customer == question.customer();
    const Holding mine = isKnown ? found->second->holding() : Holding();
    const std::vector<std::string> withoutIt(question.without_it().begin(), question.without_it().end());
    const TakeDecision decision = decideTake(isKnown ? &mine : nullptr, searches_.contains(question.request_id()), {from, withoutIt});
    if (decision.verdict == TakeVerdict::Give) {
        reply.set_verdict(wire::TakeReply::GIVEN);
        writeState(give(found->second, from), *reply.mutable_state());
    } else if (decision.verdict == TakeVerdict::AskOther) {
        reply.set_verdict(wire::TakeReply::ASK_OTHER);
        reply.set_other(decision.other);
    } else if (decision.verdict == TakeVerdict::Busy) {
        reply.set_verdict(wire::TakeReply::BUSY);
    }
    return reply.SerializeAsString();
}

StreamState StreamRegistry::give(const EntryPtr &entry, const std::string &asker)
{
    const Holding left = afterGive(entry->holding(), asker);
    if (entry->session) {
        const auto session = std::exchange(entry->session, nullptr);
        entry->copy = session->state();
        session->handOver();
    }
    entry->copy.generation = left.generation;
    entry->owner = left.owner;
    entry->since = tools_.session.loop->now();
    tools_.session.metrics->add("requests_given_total");
    return entry->copy;
}

void StreamRegistry::onReaderDisconnected(const std::string &requestId)
{
    const auto found = entries_.find(requestId);
    if (found == entries_.end() || !found->second->session) {
        return;
    }
    const EntryPtr entry = found->second;
    entry->session->detach();
    entry->detachedAt = tools_.session.loop->now();
    if (isLeaving_) {
        sendOn(entry);
    }
}

// Nobody reads a detached session here any more, so the copy's holder may have it.
void StreamRegistry::sendOn(const EntryPtr &entry)
{
    sendingOn_++;
    placeCopy(entry, [this, entry](bool stored) {
        if (stored && entry->session && entry->session->isDetached()) {
            entry->session->handOver();
        }
        onSentOn(stored);
    });
}

void StreamRegistry::onSentOn(bool stored)
{
    sendingOn_--;
    sentOn_ += stored ? 1 : 0;
    if (sendingOn_ == 0) {
        partLogger("streams")->info("Handed over. copies={}", sentOn_);
    }
}

void StreamRegistry::startHandover()
{
    isLeaving_ = true;
    sender_->setLeaving();
    tools_.session.members->markLeaving(self_);
    std::size_t count = 0;
    for (const auto &[id, entry] : entries_) {
        const membership::Vm *owner = tools_.session.members->find(entry->owner);
        const bool isOwnerThere = owner && !tools_.session.members->isLeaving(entry->owner);
        if (entry->session || !isOwnerThere) {
            sendOn(entry);
            count++;
        }
    }
    partLogger("streams")->info("Handing over. requests={}", count);
}

void StreamRegistry::finishHandover()
{
    for (const auto &item : entries_) {
        const EntryPtr entry = item.second;
        if (!entry->session || entry->session->hasEnded()) {
            continue;
        }
        sendingOn_++;
        placeCopy(entry, [this, entry](bool stored) {
            if (!stored) {
                tools_.session.metrics->add("requests_cut_total");
                partLogger("streams")->error("A request is cut: no VM takes it. request={}", entry->requestId);
            }
            if (entry->session) {
                entry->session->handOver();
            }
            onSentOn(stored);
        });
    }
}

std::size_t StreamRegistry::openCount() const
{
    std::size_t count = sender_->openCount();
    for (const auto &[id, entry] : entries_) {
        count += entry->session && !entry->session->hasEnded() ? 1 : 0;
    }
    return count;
}

std::size_t StreamRegistry::copyCount() const
{
    return static_cast<std::size_t>(std::count_if(entries_.begin(), entries_.end(), [](const auto &item) { return !item.second->session; }));
}

} // namespace cardamomlift::streams
