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

constexpr std::size_t RandomIdBytes = 6;
constexpr std::size_t MaxCopyTargets = 3; ///< VMs tried for one copy before giving up.
constexpr Duration SweepPeriod = std::chrono::seconds(1);
constexpr Duration FailedHolderCooldown = std::chrono::seconds(5); ///< A VM that failed to store a copy is ranked last for so long.

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
    const auto ranked = rankedHolders({self_, tools_.zone, {}});
    const std::string unique = fmt::format("{}{}", text::randomHex(RandomIdBytes), nextNumber_++);
    return makeRequestId(unique, {self_, tools_.zone, ranked.empty() ? std::string() : ranked.front()});
}

std::vector<std::string> StreamRegistry::rankedHolders(const RequestIdParts &id) const
{
    std::vector<membership::Vm> entries;
    for (const auto &[instance, vm] : tools_.session.members->all()) {
        if (vm.role == membership::VmRole::Entry) {
            entries.push_back(vm);
        }
    }
    auto ranked = rankCopyHolders(id.home, id.homeZone, entries);
    std::erase(ranked, self_);
    // VMs that recently failed to store a copy come last.
    const TimePoint now = tools_.session.loop->now();
    std::stable_partition(ranked.begin(), ranked.end(), [&](const std::string &instance) {
        const auto failed = failedHolders_.find(instance);
        return failed == failedHolders_.end() || failed->second < now;
    });
    return ranked;
}

StreamRegistry::EntryPtr StreamRegistry::addSession(StreamState state)
{
    removeEntry(state.requestId);
    auto entry = std::make_shared<Entry>();
    entry->requestId = state.requestId;
    entry->customer = state.customer;
    entry->owner = self_;
    entry->roleSince = tools_.session.loop->now();
    entry->session = StreamSession::create(tools_.session, std::move(state));
    entries_[entry->requestId] = entry;
    // The copy must name the engine's stream that a new owner can resume.
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
    const EntryPtr entry = addSession(std::move(state));
    // NOTE Starts before the copy is sent, so that the copy names the first attempt.
    entry->session->start();
    if (entry->session->hasEnded()) {
        tools_.session.loop->post(std::move(onAccepted));
        return entry->session;
    }
    placeCopy(entry, [this, entry, onAccepted = std::move(onAccepted)](bool stored) {
        tools_.session.metrics->observe("copy_seconds", tools_.session.loop->now() - entry->roleSince);
        if (!stored) {
            tools_.session.metrics->add("copies_missing_total");
        }
        onAccepted();
    });
    return entry->session;
}

void StreamRegistry::placeCopy(const EntryPtr &entry, std::function<void(bool stored)> done)
{
    auto targets = rankedHolders(parseRequestId(entry->requestId).value_or(RequestIdParts()));
    std::erase(targets, entry->owner);
    targets.resize(std::min(targets.size(), MaxCopyTargets));
    entry->copiedAt = tools_.session.loop->now();
    tryPlaceCopy(entry, std::move(targets), std::move(done));
}

void StreamRegistry::tryPlaceCopy(const EntryPtr &entry, std::vector<std::string> targets, std::function<void(bool stored)> done)
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
    sender_->sendCopy(target, entry->state(), entry->owner, [this, entry, target, targets, done](CopyResult result) {
        if (result == CopyResult::Stored) {
            entry->addCopyHolder(target.instance);
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
        failedHolders_[target.instance] = tools_.session.loop->now() + FailedHolderCooldown;
        tryPlaceCopy(entry, targets, done);
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
    const ReplicaInfo offered{ReplicaRole::Copy, copy.owner(), copy.state().generation(), static_cast<std::uint64_t>(copy.state().tokens_size())};
    const bool isKnown = found != entries_.end();
    const ReplicaInfo local = isKnown ? found->second->info() : ReplicaInfo();
    if (isSuperseded(isKnown ? &local : nullptr, offered)) {
        reply.add_superseded(requestId);
        return;
    }
    const bool isOwner = isKnown && found->second->session;
    if (!isNewer(isKnown ? &local : nullptr, offered) || (isLeaving_ && !isOwner)) {
        return;
    }
    if (isOwner) {
        // Another VM has taken over a request that this VM still runs: the newer owner reads the engine's stream now.
        found->second->session->handOver();
        found->second->copyHolders.clear();
    }
    removeEntry(requestId);
    auto entry = std::make_shared<Entry>();
    entry->requestId = requestId;
    entry->customer = copy.state().customer();
    entry->owner = copy.owner();
    entry->roleSince = tools_.session.loop->now();
    entry->copy = readState(copy.state());
    entry->bytes = copy.ByteSizeLong();
    copyBytes_ += entry->bytes;
    entries_[requestId] = entry;
    const std::string notifiedOwner = ownerToNotify(isKnown ? &local : nullptr, offered);
    if (const membership::Vm *vm = tools_.session.members->find(notifiedOwner)) {
        sender_->sendCopy(membership::peerAddress(*vm), entry->copy, entry->owner, [](CopyResult) {});
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
    wire::Take request;
    wire::TakeReply reply;
    if (!request.ParseFromString(payload)) {
        return reply.SerializeAsString();
    }
    const auto found = entries_.find(request.request_id());
    const bool isKnown = found != entries_.end() && found->second->customer == request.customer();
    const ReplicaInfo local = isKnown ? found->second->info() : ReplicaInfo();
    const std::vector<std::string> excluded(request.without_it().begin(), request.without_it().end());
    const TakeoverDecision decision = decideTakeover(isKnown ? &local : nullptr, searches_.contains(request.request_id()), {from, excluded});
    if (decision.verdict == TakeoverVerdict::HandOver) {
        reply.set_verdict(wire::TakeReply::GIVEN);
        writeState(transferOwnership(found->second, from), *reply.mutable_state());
    } else if (decision.verdict == TakeoverVerdict::Redirect) {
        reply.set_verdict(wire::TakeReply::ASK_OTHER);
        reply.set_other(decision.owner);
    } else if (decision.verdict == TakeoverVerdict::Busy) {
        reply.set_verdict(wire::TakeReply::BUSY);
    }
    return reply.SerializeAsString();
}

StreamState StreamRegistry::transferOwnership(const EntryPtr &entry, const std::string &requester)
{
    const ReplicaInfo after = afterHandover(entry->info(), requester);
    if (entry->session) {
        const auto session = std::exchange(entry->session, nullptr);
        entry->copy = session->state();
        session->handOver();
    }
    entry->copy.generation = after.generation;
    entry->owner = after.owner;
    entry->roleSince = tools_.session.loop->now();
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
        handOverEntry(entry);
    }
}

// Once the copy is stored, a session without a reader is ended here: a caller that resumes finds the copy.
void StreamRegistry::handOverEntry(const EntryPtr &entry)
{
    handoverCopiesInFlight_++;
    placeCopy(entry, [this, entry](bool stored) {
        if (stored && entry->session && entry->session->isDetached()) {
            entry->session->handOver();
        }
        onHandoverCopyDone(stored);
    });
}

void StreamRegistry::onHandoverCopyDone(bool stored)
{
    handoverCopiesInFlight_--;
    handoverCopiesStored_ += stored ? 1 : 0;
    if (handoverCopiesInFlight_ == 0) {
        partLogger("streams")->info("Handed over. copies={}", handoverCopiesStored_);
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
        const bool isOwnerAvailable = owner && !tools_.session.members->isLeaving(entry->owner);
        if (entry->session || !isOwnerAvailable) {
            handOverEntry(entry);
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
        handoverCopiesInFlight_++;
        placeCopy(entry, [this, entry](bool stored) {
            if (!stored) {
                tools_.session.metrics->add("requests_cut_total");
                partLogger("streams")->error("No VM stored a copy of the request; its stream is cut off. request={}", entry->requestId);
            }
            if (entry->session) {
                entry->session->handOver();
            }
            onHandoverCopyDone(stored);
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
