// The part of StreamRegistry that searches for a request at other VMs and takes it over.

#include "streams/internal/streamregistryentry.h"
#include "streams/streamcodec.h"

namespace cardamomlift::streams {

namespace {

constexpr Duration TakeoverTimeout = std::chrono::milliseconds(500);
constexpr std::size_t MaxRankedHolders = 3; ///< VMs queried in addition to those named by the request id.

} // namespace

void StreamRegistry::find(const std::string &requestId, const std::string &customer, FoundHandler handler)
{
    const auto id = parseRequestId(requestId);
    const auto found = entries_.find(requestId);
    const bool isHere = found != entries_.end();
    if (!id || (isHere && found->second->customer != customer)) {
        handler({FindOutcome::NotFound, nullptr});
        return;
    }
    if (isHere && found->second->session) {
        handler({FindOutcome::Found, found->second->session});
        return;
    }
    auto &waiting = searches_[requestId];
    waiting.push_back(std::move(handler));
    if (waiting.size() > 1) {
        return;
    }
    std::vector<std::string> candidates{id->home, id->holder};
    if (isHere) {
        candidates = {found->second->owner, self_};
    } else {
        auto ranked = rankedHolders(*id);
        ranked.resize(std::min(ranked.size(), MaxRankedHolders));
        candidates.insert(candidates.end(), ranked.begin(), ranked.end());
    }
    queryNext(std::make_shared<Search>(Search{requestId, customer, TakeoverSearch(self_, std::move(candidates)), false}));
}

void StreamRegistry::queryNext(const SearchPtr &search)
{
    const auto instance = search->search.next();
    if (!instance) {
        finishSearch(search, {search->hasUnansweredQuery ? FindOutcome::RetryLater : FindOutcome::NotFound, nullptr});
    } else if (*instance == self_) {
        takeOverLocalCopy(search);
    } else {
        queryPeer(search, *instance);
    }
}

void StreamRegistry::queryPeer(const SearchPtr &search, const std::string &instance)
{
    const membership::Vm *vm = tools_.session.members->find(instance);
    if (!vm) {
        search->search.exclude(instance);
        queryNext(search);
        return;
    }
    wire::Take request;
    request.set_request_id(search->requestId);
    request.set_customer(search->customer);
    const auto &excluded = search->search.excluded();
    request.mutable_without_it()->Add(excluded.begin(), excluded.end());
    tools_.session.metrics->add("takes_asked_total");
    tools_.transport->send(membership::peerAddress(*vm),
        "streams.take",
        request.SerializeAsString(),
        TakeoverTimeout,
        [self = shared_from_this(), search, instance](const Result<std::string> &answer) {
            wire::TakeReply reply;
            if (!answer || !reply.ParseFromString(answer.value())) {
                search->hasUnansweredQuery = search->hasUnansweredQuery || !self->tools_.session.members->isLeaving(instance);
                search->search.exclude(instance);
                self->queryNext(search);
                return;
            }
            self->onTakeReply(search, instance, reply);
        });
}

void StreamRegistry::onTakeReply(const SearchPtr &search, const std::string &instance, const wire::TakeReply &reply)
{
    switch (reply.verdict()) {
    case wire::TakeReply::GIVEN:
        finishSearch(search, {FindOutcome::Found, takeOver(readState(reply.state()), instance)});
        return;
    case wire::TakeReply::ASK_OTHER:
        search->search.redirect(instance, reply.other());
        queryNext(search);
        return;
    case wire::TakeReply::BUSY:
        finishSearch(search, {FindOutcome::RetryLater, nullptr});
        return;
    default:
        search->search.exclude(instance);
        queryNext(search);
    }
}

void StreamRegistry::takeOverLocalCopy(const SearchPtr &search)
{
    const auto found = entries_.find(search->requestId);
    if (found == entries_.end()) {
        queryNext(search);
        return;
    }
    if (found->second->session) {
        finishSearch(search, {FindOutcome::Found, found->second->session});
        return;
    }
    StreamState state = found->second->copy;
    state.generation = afterHandover(found->second->info(), self_).generation;
    finishSearch(search, {FindOutcome::Found, takeOver(std::move(state), {})});
}

std::shared_ptr<StreamSession> StreamRegistry::takeOver(StreamState state, const std::string &previousOwner)
{
    tools_.session.metrics->add("requests_taken_total");
    const EntryPtr entry = addSession(std::move(state));
    if (!previousOwner.empty()) {
        entry->addCopyHolder(previousOwner);
    }
    entry->detachedAt = tools_.session.loop->now();
    entry->session->detach();
    entry->session->join();
    placeCopy(entry, [](bool) {});
    notifyHome(entry, previousOwner);
    return entry->session;
}

// The VM that accepted the request may still run it if the takeover query to it was lost.
void StreamRegistry::notifyHome(const EntryPtr &entry, const std::string &previousOwner)
{
    const std::string home = parseRequestId(entry->requestId).value_or(RequestIdParts()).home;
    const membership::Vm *vm = tools_.session.members->find(home);
    if (!vm || home == previousOwner || home == self_) {
        return;
    }
    sender_->sendCopy(membership::peerAddress(*vm), entry->state(), self_, [](CopyResult) {});
}

void StreamRegistry::finishSearch(const SearchPtr &search, const FindResult &result)
{
    const auto node = searches_.extract(search->requestId);
    for (const FoundHandler &handler : node.mapped()) {
        handler(result);
    }
}

} // namespace cardamomlift::streams
