#include "streams/streamdecision.h"

#include "text/digest.h"

#include <fmt/format.h>

#include <algorithm>
#include <tuple>
#include <utility>

namespace cardamomlift::streams {

namespace {

constexpr char Separator = '~';
constexpr std::size_t IdParts = 4;
constexpr std::string_view IdPrefix = "req-";

std::vector<std::string> split(std::string_view text)
{
    std::vector<std::string> parts;
    while (true) {
        const auto end = text.find(Separator);
        parts.emplace_back(text.substr(0, end));
        if (end == std::string_view::npos) {
            return parts;
        }
        text.remove_prefix(end + 1);
    }
}

/// One candidate to hold copies, with what orders it.
struct Candidate {
    int distance = 0; ///< 0: best.
    std::uint64_t weight = 0;
    std::string instance;
};

/// Of two owners the one with the higher precedence stays. NOTE Two VMs can become owners of the same generation, one by
/// the home and one by the holder of the copy; without an order between them each could make the other stop.
std::pair<std::uint64_t, std::string_view> precedence(const Holding &holding)
{
    return {holding.generation, holding.owner};
}

} // namespace

std::string makeRequestId(std::string_view unique, const RequestIdParts &parts)
{
    return fmt::format("{}{}{}{}{}{}{}{}", IdPrefix, unique, Separator, parts.home, Separator, parts.homeZone, Separator, parts.holder);
}

std::optional<RequestIdParts> parseRequestId(std::string_view requestId)
{
    const auto parts = split(requestId);
    if (!requestId.starts_with(IdPrefix) || parts.size() != IdParts || parts[1].empty()) {
        return std::nullopt;
    }
    return RequestIdParts{parts[1], parts[2], parts[3]};
}

std::vector<std::string> rankHolders(std::string_view home, std::string_view homeZone, std::span<const membership::Vm> entries)
{
    std::string region;
    for (const membership::Vm &vm : entries) {
        if (vm.zone == homeZone) {
            region = vm.region;
        }
    }
    std::vector<Candidate> candidates;
    for (const membership::Vm &vm : entries) {
        if (vm.role != membership::VmRole::Entry || vm.state != membership::VmState::Live || vm.instance == home) {
            continue;
        }
        const int sameRegion = region.empty() || vm.region == region ? 0 : 1;
        const int distance = vm.zone == homeZone ? 2 : sameRegion;
        candidates.push_back({distance, text::stableHash(vm.instance, text::stableHash(home)), vm.instance});
    }
    std::sort(candidates.begin(), candidates.end(), [](const Candidate &a, const Candidate &b) {
        return std::tie(a.distance, a.weight, a.instance) < std::tie(b.distance, b.weight, b.instance);
    });
    std::vector<std::string> ranked;
    ranked.reserve(candidates.size());
    for (Candidate &candidate : candidates) {
        ranked.push_back(std::move(candidate.instance));
    }
    return ranked;
}

TakeDecision decideTake(const Holding *mine, bool isTaking, const TakeQuestion &question)
{
    if (isTaking) {
        return {TakeVerdict::Busy, {}};
    }
    if (!mine) {
        return {TakeVerdict::Unknown, {}};
    }
    const bool ownerIsOut = std::find(question.withoutIt.begin(), question.withoutIt.end(), mine->owner) != question.withoutIt.end();
    if (mine->role == Role::Owner || mine->owner == question.asker || ownerIsOut) {
        return {TakeVerdict::Give, {}};
    }
    return {TakeVerdict::AskOther, mine->owner};
}

Holding afterGive(const Holding &mine, const std::string &asker)
{
    Holding left = mine;
    left.role = Role::Copy;
    if (mine.role == Role::Owner || mine.owner != asker) {
        left.generation++;
    }
    left.owner = asker;
    return left;
}

bool isNewer(const Holding *mine, const Holding &offered)
{
    if (!mine || precedence(offered) > precedence(*mine)) {
        return true;
    }
    return precedence(offered) == precedence(*mine) && mine->role == Role::Copy && offered.tokens >= mine->tokens;
}

std::string ownerToNotify(const Holding *replaced, const Holding &stored)
{
    // The first owner, the home, is notified by the new owner itself.
    const bool wasMoved = replaced && replaced->role == Role::Copy && replaced->generation > 1;
    return wasMoved && replaced->owner != stored.owner ? replaced->owner : std::string();
}

bool isSuperseded(const Holding *mine, const Holding &offered)
{
    return mine && mine->owner != offered.owner && precedence(*mine) > precedence(offered);
}

TakeSearch::TakeSearch(std::string self, std::vector<std::string> candidates)
    : self_(std::move(self))
{
    for (std::string &candidate : candidates) {
        const bool isKnown = std::find(queue_.begin(), queue_.end(), candidate) != queue_.end();
        if (!candidate.empty() && !isKnown) {
            queue_.push_back(std::move(candidate));
        }
    }
}

std::optional<std::string> TakeSearch::next()
{
    if (queue_.empty() || questions_ >= MostQuestions) {
        return std::nullopt;
    }
    questions_++;
    std::string instance = std::move(queue_.front());
    queue_.erase(queue_.begin());
    return instance;
}

void TakeSearch::hasNothing(const std::string &instance)
{
    if (!isWithoutIt(instance)) {
        withoutIt_.push_back(instance);
    }
}

void TakeSearch::isRedirected(const std::string &instance, const std::string &owner)
{
    redirected_.insert(instance);
    if (redirected_.contains(owner)) {
        // The VMs point at each other, since a message between them was lost; what this one named is not the owner.
        hasNothing(owner);
    }
    // The owner first; if it turns out to have nothing, the VM that sent us on again: it then gives its copy.
    std::erase_if(queue_, [&](const std::string &queued) { return queued == owner || queued == instance; });
    queue_.insert(queue_.begin(), instance);
    if (!isWithoutIt(owner)) {
        queue_.insert(queue_.begin(), owner);
    }
}

const std::vector<std::string> &TakeSearch::withoutIt() const
{
    return withoutIt_;
}

bool TakeSearch::isWithoutIt(const std::string &instance) const
{
    return std::find(withoutIt_.begin(), withoutIt_.end(), instance) != withoutIt_.end();
}

} // namespace cardamomlift::streams
