#include "balancing/choose.h"
#include "balancing/shortlist.h"
#include "forwarding/internal/forwardedrequest.h"
#include "forwarding/internal/forwardingconstants.h"

#include <xxhash.h>

#include <algorithm>

namespace cardamomlift::forwarding {

namespace {

/// Fewer cached tokens than this are not copied from another server: their prefill takes some 25 ms, the call for the copy
/// 5 ms.
constexpr std::int64_t MinFetchTokens = 1000;

} // namespace

// Requests of one session share all parts of the prompt but the last; the id of the last shared part identifies them.
std::string ForwardedRequest::affinity() const
{
    if (request_.prompt.size() < 2) {
        return {};
    }
    return request_.prompt[request_.prompt.size() - 2].id;
}

// Outliers are excluded: a copy from a server that does not answer delays the request until its time limit.
bool ForwardedRequest::mayCopyFrom(const directory::KnownServer &known) const
{
    const bool mayServe = !tools_.versions || tools_.versions->eligibility(known.server, VersionPick::Usual) != Eligibility::None;
    return mayServe && known.server.service == service_ && !known.missingSince && !tools_.outliers->isOutlier(known.hash, service_);
}

// Draining servers are included: while they last, they have cached what the servers that replace them lack.
ForwardedRequest::BestCache ForwardedRequest::findBestCache(std::span<const prefixindex::PrefixMatch> matches, const std::string &except) const
{
    BestCache best;
    for (const prefixindex::PrefixMatch &match : matches) {
        if (match.tokens == 0 || match.tokens < best.tokens) {
            continue;
        }
        directory::ServerPtr known = tools_.directory->findByHash(match.server);
        if (!known || known->server.instance == except || !mayCopyFrom(*known)) {
            continue;
        }
        // Ties are broken by instance name, so that the result does not depend on the hashes.
        if (match.tokens > best.tokens || known->server.instance < best.holder->server.instance) {
            best = {match.tokens, std::move(known)};
        }
    }
    return best;
}

// NOTE Every rule that keeps requests from a server for some time belongs here, so that it holds for first sends, retries, resumed
// and moved streams alike.
std::vector<const directory::KnownServer *> ForwardedRequest::eligibleServers(
    std::span<const directory::ServerPtr> usable, VersionPick pick, Choice &choice) const
{
    std::vector<const directory::KnownServer *> preferred;
    std::vector<const directory::KnownServer *> fallback;
    std::vector<const directory::KnownServer *> lastResort;
    preferred.reserve(usable.size());
    for (const auto &server : usable) {
        const std::string &instance = server->server.instance;
        if (!isOfOrigin(server->server)) {
            continue;
        }
        choice.ofOrigin++;
        if (!mayBeginAt(server->server)) {
            choice.unrecorded++;
            continue;
        }
        const Eligibility eligibility = tools_.versions ? tools_.versions->eligibility(server->server, pick) : Eligibility::Preferred;
        if (eligibility == Eligibility::None || skipIfBackingOff(instance, choice)) {
            continue;
        }
        if (tried_.contains(instance)) {
            choice.tried++;
            continue;
        }
        if (skipIfLimited(instance, choice) || skipIfNoSlot(server->server, choice)) {
            continue;
        }
        if (isAtRecoveryLimit(instance) || tools_.backoffs->isOverloaded(instance) || tools_.pool->hasFailedToConnect(instance)) {
            lastResort.push_back(server.get());
        } else if (eligibility == Eligibility::Preferred) {
            preferred.push_back(server.get());
        } else {
            fallback.push_back(server.get());
        }
    }
    choice.deferred = lastResort.size();
    if (!preferred.empty()) {
        return preferred;
    }
    return fallback.empty() ? lastResort : fallback;
}

ForwardedRequest::Choice ForwardedRequest::chooseServer() const
{
    if (late_.returnTo) {
        Choice back;
        back.server = late_.returnTo;
        back.candidates = 1;
        return back;
    }
    const auto usable = tools_.directory->usable(service_);
    const std::vector<prefixindex::PrefixMatch> matches = tools_.prefixes->matches(prefixes_);
    // During a rollout all servers are considered: a sample could miss the few servers that run the new version.
    const bool isRollingOut = tools_.versions && tools_.versions->isRolloutInProgress(service_);
    if (usable.size() > balancing::ShortListParameters().samplingThreshold && !isRollingOut) {
        Choice choice = chooseAmong(shortList(usable, matches), pick_, matches);
        choice.pick = pick_;
        if (choice.server) {
            return choice;
        }
    }
    Choice choice = chooseAmong(usable, pick_, matches);
    choice.pick = pick_;
    if (!choice.server && pick_ == VersionPick::OnTrial) {
        choice = chooseAmong(usable, VersionPick::Usual, matches);
    }
    return choice;
}

std::vector<directory::ServerPtr> ForwardedRequest::shortList(
    std::span<const directory::ServerPtr> usable, std::span<const prefixindex::PrefixMatch> matches) const
{
    std::vector<std::uint64_t> cachingServers;
    cachingServers.reserve(matches.size());
    std::transform(matches.begin(), matches.end(), std::back_inserter(cachingServers), [](const auto &match) { return match.server; });
    const std::string sharedPart = affinity();
    balancing::ShortListInput input;
    input.affinity = sharedPart;
    input.cachingServers = cachingServers;
    input.salt = salt();
    return balancing::shortList(usable, input, {});
}

std::uint64_t ForwardedRequest::salt() const
{
    return XXH3_64bits(request_.id.data(), request_.id.size());
}

bool ForwardedRequest::isOfOrigin(const directory::BackendServer &server) const
{
    return !origin_ || origins::softwareId(server.service, server.version) == *origin_;
}

bool ForwardedRequest::mayBeginAt(const directory::BackendServer &server) const
{
    const bool mayBeResumed = isStream() && route_->isResumable;
    return origin_ || !mayBeResumed || !tools_.softwareHistory || tools_.softwareHistory->mayBegin(server);
}

bool ForwardedRequest::skipIfBackingOff(const std::string &instance, Choice &choice) const
{
    const auto end = tools_.backoffs->endsAt(instance);
    if (!end) {
        return false;
    }
    choice.backingOff++;
    choice.backoffEndsAt = std::min(choice.backoffEndsAt, *end);
    return true;
}

bool ForwardedRequest::isAtRecoveryLimit(const std::string &instance) const
{
    const auto limit = tools_.backoffs->openLimit(instance);
    const ServerEntry *entry = limit ? tools_.pool->find(instance) : nullptr;
    return entry && entry->load.localOpenRequests >= *limit;
}

bool ForwardedRequest::skipIfLimited(const std::string &instance, Choice &choice) const
{
    if (!tools_.limits || tools_.limits->hasRoom(instance)) {
        return false;
    }
    choice.limited++;
    choice.limitedPerSecond += tools_.limits->ownRequestsPerSecond(instance);
    return true;
}

bool ForwardedRequest::skipIfNoSlot(const directory::BackendServer &server, Choice &choice) const
{
    const overload::ServerKey key{server.instance, server.service, server.slots};
    const ServerEntry *entry = tools_.pool->find(server.instance);
    if (!tools_.overload || tools_.overload->hasRoom(key, entry ? entry->load.localOpenRequests : 0)) {
        return false;
    }
    choice.limited++;
    choice.limitedPerSecond += tools_.overload->ownRequestsPerSecond(key);
    if (const auto roomIn = tools_.overload->untilNextTurn(key)) {
        choice.roomIn = std::min(choice.roomIn.value_or(*roomIn), *roomIn);
    }
    return true;
}

bool ForwardedRequest::isManaged() const
{
    return tools_.overload && tools_.overload->isManaged(serverKey());
}

overload::ServerKey ForwardedRequest::serverKey() const
{
    const directory::BackendServer &server = attempt_->server->server;
    return {server.instance, server.service, server.slots};
}

balancing::Candidate ForwardedRequest::candidateOf(
    const directory::KnownServer &known, std::span<const prefixindex::PrefixMatch> matches, double prefillTokensPerSecond) const
{
    balancing::Candidate candidate;
    candidate.server = &known;
    if (const ServerEntry *entry = tools_.pool->find(known.server.instance)) {
        candidate.load = entry->load;
    }
    if (tools_.paceOf) {
        candidate.pace = tools_.paceOf(known.hash, service_);
    }
    const double ownTokensPerSecond = prefillTokensPerSecond / balancing::effectivePace(candidate.pace, true, {});
    candidate.load.peerWaitingTokens = tools_.peerBacklog->waitingTokens(known.hash, ownTokensPerSecond, tools_.loop->now());
    candidate.isOutlier = tools_.outliers->isOutlier(known.hash, service_);
    candidate.cachedTokens = prefixindex::matchedTokens(matches, known.hash);
    return candidate;
}

balancing::ChoiceInput ForwardedRequest::choiceInput(std::string_view sharedPart, std::span<const prefixindex::PrefixMatch> matches) const
{
    balancing::ChoiceInput input;
    input.zone = tools_.settings.zone;
    input.affinity = sharedPart;
    input.promptTokens = request_.promptTokens;
    if (const auto model = tools_.pace ? tools_.pace->firstByteModel(service_) : std::nullopt) {
        input.prefillTokensPerSecond = model->tokensPerSecond;
    }
    if (tools_.peerDemand) {
        const presence::ServiceLoad peers = tools_.peerDemand->of(service_);
        input.peerOpenRequests = peers.open;
        input.peerRequestsPerSecond = peers.requestsPerSecond;
        input.peerTokensPerSecond = peers.promptTokensPerSecond;
    }
    if (tools_.partDemand) {
        input.affinityShare = tools_.partDemand->share(service_, sharedPart, tools_.loop->now());
    }
    input.fetchableTokens = findBestCache(matches, {}).tokens;
    input.salt = salt();
    return input;
}

ForwardedRequest::Choice ForwardedRequest::chooseAmong(
    std::span<const directory::ServerPtr> usable, VersionPick pick, std::span<const prefixindex::PrefixMatch> matches) const
{
    Choice choice;
    const std::vector<const directory::KnownServer *> servers = eligibleServers(usable, pick, choice);
    const std::string sharedPart = affinity();
    const balancing::ChoiceInput input = choiceInput(sharedPart, matches);
    std::vector<balancing::Candidate> candidates;
    candidates.reserve(servers.size());
    for (const directory::KnownServer *server : servers) {
        candidates.push_back(candidateOf(*server, matches, input.prefillTokensPerSecond));
        choice.outliers += candidates.back().isOutlier ? 1 : 0;
    }
    const auto chosen = balancing::choose(candidates, input, {}, tools_.loop->now());
    choice.candidates = candidates.size();
    if (chosen) {
        choice.server = tools_.directory->find(candidates[*chosen].server->server.instance);
        choice.cachedTokens = candidates[*chosen].cachedTokens;
        choice.pace = candidates[*chosen].pace;
        planPrefill(choice, matches);
    }
    return choice;
}

// After a restart this VM does not know which servers have cached a prefix. Earlier requests of the same affinity went to
// its affinity servers, so the highest-ranked one besides the chosen server is the likeliest to have it.
directory::ServerPtr ForwardedRequest::likelyCacheHolder(const std::string &except) const
{
    const std::string sharedPart = affinity();
    const balancing::RendezvousRanker ranker(sharedPart);
    directory::ServerPtr best;
    std::uint64_t bestRank = 0;
    for (const auto &[instance, known] : tools_.directory->all()) {
        if (sharedPart.empty() || instance == except) {
            continue;
        }
        const std::uint64_t rank = ranker.rank(instance);
        if ((!best || rank > bestRank) && mayCopyFrom(*known)) {
            best = known;
            bestRank = rank;
        }
    }
    return best;
}

void ForwardedRequest::planPrefill(Choice &choice, std::span<const prefixindex::PrefixMatch> matches) const
{
    std::int64_t available = choice.cachedTokens;
    const BestCache other = findBestCache(matches, choice.server->server.instance);
    if (other.tokens - choice.cachedTokens >= MinFetchTokens) {
        choice.kvFetchFrom = http1::formatEndpoint(other.holder->server.endpoint);
        available = other.tokens;
    } else if (choice.cachedTokens == 0 && !prefixes_.empty() && prefixes_.back().tokens >= MinFetchTokens) {
        const directory::ServerPtr holder = likelyCacheHolder(choice.server->server.instance);
        choice.kvFetchFrom = holder ? http1::formatEndpoint(holder->server.endpoint) : std::string();
    }
    choice.prefillTokens = std::max<std::int64_t>(0, request_.promptTokens - available);
}

} // namespace cardamomlift::forwarding
