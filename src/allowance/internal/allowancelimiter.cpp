#include "allowance/allowancelimiter.h"

#include "allowance/allowancerules.h"

#include <cmath>

namespace cardamomlift::allowance {

namespace {

/// A young process that does not know how many VMs there are takes no more than one of so many.
constexpr std::size_t VmsWhileUnknown = 16;
constexpr int HashBits = 64;

} // namespace

AllowanceLimiter::AllowanceLimiter(EventLoop &loop, std::shared_ptr<presence::Presence> presence)
    : loop_(loop)
    , presence_(std::move(presence))
    , startedAt_(loop.now())
{
}

std::shared_ptr<AllowanceLimiter> AllowanceLimiter::create(EventLoop &loop, std::shared_ptr<presence::Presence> presence)
{
    std::shared_ptr<AllowanceLimiter> keeper(new AllowanceLimiter(loop, std::move(presence)));
    const std::weak_ptr<AllowanceLimiter> weak = keeper;
    keeper->presence_->addStatusContributor([weak](presence::Status &status) {
        if (const auto self = weak.lock()) {
            self->fill(status);
        }
    });
    keeper->presence_->onStatus([weak](const presence::Status &status, std::optional<TimePoint>) {
        if (const auto self = weak.lock()) {
            self->takeStatus(status);
        }
    });
    keeper->presence_->onRegrouped([weak] {
        if (const auto self = weak.lock()) {
            self->forgetPeers();
        }
    });
    return keeper;
}

Account &AllowanceLimiter::account(const std::string &customer)
{
    return accountOf(presence::nameHash(customer));
}

// Nothing was taken here before the first request, so its bucket fills from the start of the process.
Account &AllowanceLimiter::accountOf(std::uint64_t customer)
{
    const auto [place, isNew] = accounts_.try_emplace(customer);
    if (isNew) {
        place->second.beganAt = startedAt_;
        place->second.updatedAt = startedAt_;
        place->second.askedAt = loop_.now();
        place->second.turn = std::ldexp(static_cast<double>(customer ^ presence_->incarnation()), -HashBits);
    }
    return place->second;
}

forwarding::AllowanceDecision AllowanceLimiter::take(const manifest::Customer &customer, std::int64_t amount)
{
    const TimePoint now = loop_.now();
    Account &books = account(customer.name);
    const auto asked = static_cast<double>(amount);
    noteAsked(books, asked, now);
    const std::size_t vms = presence_->vmCount().value_or(VmsWhileUnknown);
    refill(books, customer.allowance, vms, now);
    forwarding::AllowanceDecision decision;
    decision.requested = amount;
    decision.remaining = static_cast<std::int64_t>(availableLevel(books, now));
    decision.limitPerSecond = static_cast<std::int64_t>(customer.allowance.perSecond);
    decision.localDemandPerSecond = static_cast<std::int64_t>(askedNow(books, now));
    decision.remoteDemandPerSecond = static_cast<std::int64_t>(peersAskedNow(books, now));
    decision.isAllowed = allowance::take(books, customer.allowance, asked, now);
    if (!decision.isAllowed) {
        decision.retryAfter = timeUntilRoom(books, customer.allowance, vms, now);
    }
    return decision;
}

void AllowanceLimiter::refund(const manifest::Customer &customer, std::int64_t amount)
{
    Account &books = account(customer.name);
    books.level += static_cast<double>(amount);
    books.taken -= static_cast<double>(amount);
}

void AllowanceLimiter::fill(presence::Status &status)
{
    const TimePoint now = loop_.now();
    for (const auto &[customer, books] : accounts_) {
        status.demands.push_back({customer, askedNow(books, now), books.taken});
    }
}

void AllowanceLimiter::takeStatus(const presence::Status &status)
{
    const TimePoint now = loop_.now();
    for (const presence::CustomerDemand &demand : status.demands) {
        const bool isGroup = !status.summaryOf.empty();
        notePeer(accountOf(demand.customer), status.instance, {status.incarnation, demand.admittedTotal, demand.perSecond, now, status.uptime, isGroup});
    }
}

void AllowanceLimiter::forgetPeers()
{
    for (auto &[customer, books] : accounts_) {
        allowance::forgetPeers(books, loop_.now());
    }
}

} // namespace cardamomlift::allowance
