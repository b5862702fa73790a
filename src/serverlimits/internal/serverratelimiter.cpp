#include "serverlimits/serverratelimiter.h"

#include "serverlimits/turnrules.h"

#include <fmt/format.h>

#include <algorithm>

namespace cardamomlift::serverlimits {

namespace {

using eventlog::Attribute;
using eventlog::Event;
using forwarding::AdvertisedLimit;

/// More than all VMs are built to pass on: such a limit binds nobody, and its turns would only cost time.
constexpr double MostPerSecond = 10'000;
/// The end of a limit is told for this long: several statuses of the largest deployments.
constexpr Duration EndToldFor = std::chrono::seconds(10);
/// The newest that fit beside the rest of a status.
constexpr std::size_t MostTold = 64;
/// How much older than told an end may be: its way here is not in its age. The limit may have been named anew since.
constexpr Duration EndDoubt = std::chrono::milliseconds(300);
/// What was told of a server that is not in the list here is kept for this long: the list may lag.
constexpr Duration UnlistedKeptFor = std::chrono::seconds(30);

} // namespace

ServerRateLimiter::ServerRateLimiter(ServerRateLimiterTools tools)
    : tools_(std::move(tools))
    , own_(presence::nameHash(tools_.instance))
{
}

std::shared_ptr<ServerRateLimiter> ServerRateLimiter::create(ServerRateLimiterTools tools)
{
    std::shared_ptr<ServerRateLimiter> keeper(new ServerRateLimiter(std::move(tools)));
    keeper->tick();
    return keeper;
}

const ServerRateLimiter::Known *ServerRateLimiter::limited(const std::string &instance) const
{
    if (servers_.empty()) {
        return nullptr;
    }
    const auto found = servers_.find(presence::nameHash(instance));
    return found != servers_.end() && found->second.isLimited ? &found->second : nullptr;
}

bool ServerRateLimiter::hasRoom(const std::string &instance)
{
    if (!limited(instance)) {
        return true;
    }
    const auto now = tools_.storeNow();
    if (!now || vms_.empty()) {
        return false;
    }
    TurnBook &book = servers_.at(presence::nameHash(instance)).book;
    takeTurns(book, vms_, own_, *now);
    return !book.own.empty();
}

void ServerRateLimiter::noteSent(const std::string &instance)
{
    if (limited(instance)) {
        useTurn(servers_.at(presence::nameHash(instance)).book);
    }
}

void ServerRateLimiter::noteAnswer(const std::string &instance, const AdvertisedLimit &statement, TimePoint sentAt)
{
    if (statement.kind == AdvertisedLimit::Kind::Unknown) {
        return;
    }
    const std::uint64_t server = presence::nameHash(instance);
    const bool isLimited = statement.kind == AdvertisedLimit::Kind::Limited && statement.requestsPerSecond <= MostPerSecond;
    if (isLimited || mayEnd(server, sentAt)) {
        take({server, isLimited, statement.requestsPerSecond, tools_.loop->now(), {}});
    }
}

// NOTE An answer may have been made before the limit was named that another VM heard of. Only one to a request that was sent
// after that ends it. Answers after the end are taken too for as long as it is told: newer ones convince who doubts it.
bool ServerRateLimiter::mayEnd(std::uint64_t server, TimePoint sentAt) const
{
    const auto found = servers_.find(server);
    if (found == servers_.end() || sentAt < found->second.heardAt) {
        return false;
    }
    return found->second.isLimited || isEndTold(found->second);
}

bool ServerRateLimiter::isEndTold(const Known &known) const
{
    return tools_.loop->now() - known.changedAt < EndToldFor;
}

std::optional<double> ServerRateLimiter::requestsPerSecond(const std::string &instance) const
{
    const Known *known = limited(instance);
    return known ? std::optional(known->book.perSecond) : std::nullopt;
}

double ServerRateLimiter::ownRequestsPerSecond(const std::string &instance) const
{
    const Known *known = limited(instance);
    return known && !vms_.empty() ? known->book.perSecond / static_cast<double>(vms_.size()) : 0;
}

void ServerRateLimiter::take(const Word &word)
{
    const auto [place, isNew] = servers_.try_emplace(word.server);
    Known &known = place->second;
    if (!isNew && word.heardAt < known.heardAt) {
        return;
    }
    const bool isChange = known.isLimited != word.isLimited || (word.isLimited && known.book.perSecond != word.perSecond);
    if (isChange) {
        logChange(word, known);
        known.changedAt = tools_.loop->now();
    }
    known.isLimited = word.isLimited;
    known.heardAt = word.heardAt;
    known.isOwn = word.from.empty();
    known.book.server = word.server;
    if (!word.isLimited) {
        known.book = {};
    } else if (isChange) {
        changeRate(known.book, word.perSecond);
    }
}

void ServerRateLimiter::changeRate(TurnBook &book, double perSecond)
{
    const auto now = tools_.storeNow();
    if (now && book.seen) {
        // What came at the rate before, since it was last looked at.
        takeTurns(book, vms_, own_, *now);
    }
    setRate(book, perSecond, now);
}

std::vector<presence::ServerLimit> ServerRateLimiter::told() const
{
    const TimePoint now = tools_.loop->now();
    std::vector<presence::ServerLimit> limits;
    for (const auto &[server, known] : servers_) {
        if (known.isOwn && (known.isLimited || isEndTold(known))) {
            limits.push_back({server, known.isLimited, known.book.perSecond, now - known.heardAt});
        }
    }
    std::sort(limits.begin(), limits.end(), [](const auto &a, const auto &b) { return a.age < b.age; });
    limits.resize(std::min(limits.size(), MostTold));
    return limits;
}

void ServerRateLimiter::takeTold(const std::string &vm, const std::vector<presence::ServerLimit> &limits)
{
    const TimePoint now = tools_.loop->now();
    for (const presence::ServerLimit &limit : limits) {
        const TimePoint heardAt = now - limit.age - (limit.isLimited ? Duration(0) : EndDoubt);
        take({limit.server, limit.isLimited, limit.perSecond, heardAt, vm});
    }
}

void ServerRateLimiter::tick()
{
    vms_.clear();
    for (const std::string &vm : tools_.vms()) {
        vms_.push_back(presence::nameHash(vm));
    }
    std::sort(vms_.begin(), vms_.end());
    if (servers_.empty()) {
        return;
    }
    const TimePoint now = tools_.loop->now();
    std::erase_if(servers_, [&](const auto &entry) { return !tools_.directory->findHashed(entry.first) && now - entry.second.heardAt > UnlistedKeptFor; });
}

std::size_t ServerRateLimiter::limitedServers() const
{
    return static_cast<std::size_t>(std::count_if(servers_.begin(), servers_.end(), [](const auto &entry) { return entry.second.isLimited; }));
}

std::string ServerRateLimiter::nameOf(std::uint64_t server) const
{
    const auto known = tools_.directory->findHashed(server);
    return known ? known->server.instance : std::string();
}

void ServerRateLimiter::logChange(const Word &word, const Known &before) const
{
    const std::string limit = word.isLimited ? fmt::format("{}", word.perSecond) : std::string();
    const std::string_view outcome = !word.isLimited ? "ended" : before.isLimited ? "changed" : "named";
    tools_.log->write(Event::ServerLimited,
        {{Attribute::Server, nameOf(word.server)},
            {Attribute::Outcome, outcome},
            {Attribute::Limit, limit},
            {Attribute::Source, word.from.empty() ? std::string_view("answer") : word.from},
            {Attribute::AgeMs, std::chrono::duration_cast<std::chrono::milliseconds>(tools_.loop->now() - word.heardAt).count()}});
}

} // namespace cardamomlift::serverlimits
