#include "balancing/choose.h"
#include "forwarding/internal/forwardedrequest.h"
#include "forwarding/internal/forwardinglimits.h"

#include <xxhash.h>

#include <algorithm>

namespace cardamomlift::forwarding {

namespace {

/// Copies of fewer tokens than this are not asked for: reading them takes some 25 ms, and the call to the other server 5 ms.
constexpr std::int64_t LeastFetched = 1000;

} // namespace

// The parts that other requests of the same session share: all but the last.
std::string ForwardedRequest::affinity() const
{
    if (request_.prompt.size() < 2) {
        return {};
    }
    return request_.prompt[request_.prompt.size() - 2].id;
}

// A copy from a server that does not answer holds the request up until its time limit.
bool ForwardedRequest::mayBeSource(const directory::KnownServer &known) const
{
    const bool mayServe = !tools_.versions || tools_.versions->eligibility(known.server, VersionPick::Usual) != Eligibility::None;
    return mayServe && known.server.service == service_ && !known.unlistedAt && !tools_.outliers->isOutlier(known.server.instance, service_);
}

// A leaving server is a good source while it lasts: it keeps what its successors lack.
ForwardedRequest::Cached ForwardedRequest::bestCached(const std::string &except) const
{
    Cached best;
    if (prefixes_.empty()) {
        return best;
    }
    for (const auto &[instance, known] : tools_.directory->all()) {
        const std::int64_t tokens = instance == except ? 0 : tools_.prefixes->heldTokens(prefixes_, instance);
        if (tokens > best.tokens && mayBeSource(*known)) {
            best = {tokens, known};
        }
    }
    return best;
}

std::vector<directory::ServerPtr> ForwardedRequest::eligibleServers(VersionPick pick) const
{
    std::vector<directory::ServerPtr> preferred;
    std::vector<directory::ServerPtr> fallback;
    for (const auto &server : tools_.directory->usable(service_)) {
        if (tried_.contains(server->server.instance)) {
            continue;
        }
        switch (tools_.versions->eligibility(server->server, pick)) {
        case Eligibility::Preferred:
            preferred.push_back(server);
            break;
        case Eligibility::Fallback:
            fallback.push_back(server);
            break;
        case Eligibility::None:
            break;
        }
    }
    return preferred.empty() ? fallback : preferred;
}

ForwardedRequest::Choice ForwardedRequest::chooseServer() const
{
    if (!tools_.versions) {
        return chooseAmong(tools_.directory->usable(service_));
    }
    Choice choice = chooseAmong(eligibleServers(pick_));
    choice.pick = pick_;
    if (!choice.server && pick_ == VersionPick::OnTrial) {
        choice = chooseAmong(eligibleServers(VersionPick::Usual));
    }
    return choice;
}

bool ForwardedRequest::passesOver(const std::string &instance, Choice &choice) const
{
    if (!tools_.limits || tools_.limits->hasRoom(instance)) {
        return false;
    }
    choice.limited++;
    choice.limitedPerSecond += tools_.limits->ownPerSecond(instance);
    return true;
}

ForwardedRequest::Choice ForwardedRequest::chooseAmong(std::span<const directory::ServerPtr> servers) const
{
    Choice choice;
    std::vector<balancing::Candidate> candidates;
    candidates.reserve(servers.size());
    for (const auto &server : servers) {
        const std::string &instance = server->server.instance;
        if (tried_.contains(instance) || passesOver(instance, choice)) {
            continue;
        }
        const ServerEntry *entry = tools_.pool->find(instance);
        balancing::ServerLoad load = entry ? entry->load : balancing::ServerLoad();
        load.promptTokensElsewhere = tools_.peerWork->waitingTokens(presence::nameHash(instance), tools_.loop->now());
        const bool isOutlier = tools_.outliers->isOutlier(instance, service_);
        choice.outliers += isOutlier ? 1 : 0;
        candidates.push_back({server.get(), load, isOutlier, tools_.prefixes->heldTokens(prefixes_, instance)});
    }
    const std::string shared = affinity();
    balancing::ChoiceInput input;
    input.zone = tools_.settings.zone;
    input.affinity = shared;
    input.promptTokens = request_.promptTokens;
    input.fetchableTokens = bestCached({}).tokens;
    input.salt = XXH3_64bits(request_.id.data(), request_.id.size());
    const auto chosen = balancing::choose(candidates, input, {}, tools_.loop->now());
    choice.candidates = candidates.size();
    if (chosen) {
        choice.server = tools_.directory->find(candidates[*chosen].server->server.instance);
        planReading(choice, candidates[*chosen].cachedTokens);
    }
    return choice;
}

// After a restart this VM knows of no holder, but requests have gone to their homes before: the best other one is asked.
directory::ServerPtr ForwardedRequest::likelyHolder(const std::string &except) const
{
    const std::string shared = affinity();
    directory::ServerPtr best;
    std::uint64_t bestRank = 0;
    for (const auto &[instance, known] : tools_.directory->all()) {
        if (shared.empty() || instance == except) {
            continue;
        }
        const std::uint64_t rank = balancing::homeRank(shared, instance);
        if ((!best || rank > bestRank) && mayBeSource(*known)) {
            best = known;
            bestRank = rank;
        }
    }
    return best;
}

void ForwardedRequest::planReading(Choice &choice, std::int64_t cachedTokens) const
{
    choice.cachedTokens = cachedTokens;
    std::int64_t known = cachedTokens;
    const Cached elsewhere = bestCached(choice.server->server.instance);
    if (elsewhere.tokens - cachedTokens >= LeastFetched) {
        choice.fetchFrom = http1::formatEndpoint(elsewhere.holder->server.endpoint);
        known = elsewhere.tokens;
    } else if (cachedTokens == 0 && !prefixes_.empty() && prefixes_.back().tokens >= LeastFetched) {
        const directory::ServerPtr holder = likelyHolder(choice.server->server.instance);
        choice.fetchFrom = holder ? http1::formatEndpoint(holder->server.endpoint) : std::string();
    }
    choice.tokensToRead = std::max<std::int64_t>(0, request_.promptTokens - known);
}

} // namespace cardamomlift::forwarding
