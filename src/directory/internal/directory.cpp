#include "directory/directory.h"

#include "presence/presencetypes.h"

#include <algorithm>
#include <utility>

namespace cardamomlift::directory {

namespace {

/// Remembered instances that went: far more than there are servers, so that a late entry of one is known for what it is.
constexpr std::size_t GoneRemembered = 4096;

/// Where @p instance is or would be in @p servers, which are in order.
std::vector<ServerPtr>::iterator placeOf(std::vector<ServerPtr> &servers, std::string_view instance)
{
    return std::lower_bound(
        servers.begin(), servers.end(), instance, [](const ServerPtr &known, std::string_view wanted) { return known->server.instance < wanted; });
}

} // namespace

std::shared_ptr<Directory> Directory::create()
{
    return std::shared_ptr<Directory>(new Directory);
}

void Directory::put(BackendServer server)
{
    const auto before = findByName(server.name);
    if (before && before->server.startedAt && !server.startedAt) {
        // A server that has told its start tells it always: somebody else wrote this.
        removeInvalid(server.name);
        return;
    }
    if (before && before->server.startedAt && *server.startedAt < *before->server.startedAt) {
        return;
    }
    if (isOfOlderCopy(server)) {
        return;
    }
    unlisted_.erase(server.instance);
    if (before && before->server.instance != server.instance) {
        // What it knew and ran before is gone with the start before, whatever that one said of itself.
        rememberGone(before->server.instance);
        forget(before->server.instance);
    }
    KnownServer known;
    known.isLeaving = server.state == ServerState::Draining || gone_.contains(server.instance);
    if (before && before->server.instance == server.instance) {
        known.isLeaving = known.isLeaving || before->isLeaving;
    }
    known.server = std::move(server);
    store(std::move(known));
}

void Directory::removeInvalid(std::string_view name)
{
    if (const auto known = findByName(name)) {
        forget(known->server.instance);
    }
}

void Directory::remove(std::string_view name, TimePoint now)
{
    const auto before = findByName(name);
    if (!before) {
        return;
    }
    if (!before->isLeaving && isAroundOutage(now)) {
        if (!before->missingSince) {
            KnownServer known = *before;
            known.missingSince = now;
            store(std::move(known));
        }
        return;
    }
    unlist(before->server.instance);
}

void Directory::replaceAll(std::span<const BackendServer> servers, TimePoint now)
{
    std::set<std::string> listed;
    for (const BackendServer &server : servers) {
        listed.insert(server.name);
        put(server);
    }
    std::vector<std::string> missing;
    for (const auto &[name, instance] : instances_) {
        if (!listed.contains(name)) {
            missing.push_back(name);
        }
    }
    for (const std::string &name : missing) {
        remove(name, now);
    }
}

void Directory::noteListComplete(rows::StoreVersion listVersion, TimePoint requestedAt)
{
    listVersion_ = listVersion;
    listConfirmedAt_ = listConfirmedAt_ ? std::max(*listConfirmedAt_, requestedAt) : requestedAt;
}

rows::StoreVersion Directory::listVersion() const
{
    return listVersion_;
}

std::optional<Duration> Directory::listAge(TimePoint now) const
{
    if (!listConfirmedAt_) {
        return std::nullopt;
    }
    return now - *listConfirmedAt_;
}

void Directory::noteStoreReachable(bool reachable, TimePoint now)
{
    if (reachable && !storeReachable_) {
        storeBackAt_ = now;
    }
    storeReachable_ = reachable;
}

void Directory::noteStoreRecoveredAt(TimePoint backAt, TimePoint now)
{
    const TimePoint seen = std::min(backAt, now);
    storeBackAt_ = storeBackAt_ ? std::max(*storeBackAt_, seen) : seen;
}

bool Directory::isAroundOutage(TimePoint now) const
{
    return !storeReachable_ || (storeBackAt_ && now - *storeBackAt_ <= RelistGracePeriod);
}

void Directory::tick(TimePoint now)
{
    if (isAroundOutage(now)) {
        return;
    }
    for (const std::string &instance : std::exchange(lapsing_, {})) {
        unlist(instance);
    }
}

void Directory::store(KnownServer known)
{
    const auto before = find(known.server.instance);
    const bool beginsToLeave = known.isLeaving && (!before || !before->isLeaving);
    known.hash = presence::nameHash(known.server.instance);
    const auto entry = std::make_shared<const KnownServer>(std::move(known));
    servers_[entry->server.instance] = entry;
    hashed_[entry->hash] = entry;
    instances_[entry->server.name] = entry->server.instance;
    updateUsable(before, entry);
    if (entry->missingSince) {
        lapsing_.insert(entry->server.instance);
    } else {
        lapsing_.erase(entry->server.instance);
    }
    if (!beginsToLeave) {
        return;
    }
    for (const auto &handler : leavingHandlers_) {
        handler(entry);
    }
}

void Directory::forget(const std::string &instance)
{
    const auto found = servers_.find(instance);
    if (found == servers_.end()) {
        return;
    }
    updateUsable(found->second, nullptr);
    lapsing_.erase(instance);
    KnownServer last = *found->second;
    // An entry that only lapsed may come back as ready; one that said it leaves may not.
    if (last.isLeaving) {
        rememberGone(instance);
    }
    last.isLeaving = true;
    const auto entry = std::make_shared<const KnownServer>(std::move(last));
    servers_.erase(found);
    hashed_.erase(entry->hash);
    instances_.erase(entry->server.name);
    for (const auto &handler : leavingHandlers_) {
        handler(entry);
    }
}

void Directory::unlist(const std::string &instance)
{
    if (unlisted_.size() >= GoneRemembered) {
        unlisted_.erase(unlisted_.begin());
    }
    if (const auto known = find(instance)) {
        unlisted_[instance] = known->server.entryVersion;
    }
    forget(instance);
}

// NOTE Rows that were written before the copy was made keep their numbers in the next era.
bool Directory::isOfOlderCopy(const BackendServer &server) const
{
    const auto last = unlisted_.find(server.instance);
    return last != unlisted_.end() && server.entryVersion.era > last->second.era && server.entryVersion.number <= last->second.number;
}

void Directory::rememberGone(const std::string &instance)
{
    if (gone_.size() >= GoneRemembered) {
        gone_.erase(gone_.begin());
    }
    gone_.insert(instance);
}

// The entry of one start, as it was and as it is; null: not known.
void Directory::updateUsable(const ServerPtr &before, const ServerPtr &after)
{
    if (before && !before->isLeaving) {
        std::vector<ServerPtr> &servers = usable_[before->server.service];
        const auto place = placeOf(servers, before->server.instance);
        if (place != servers.end() && *place == before) {
            servers.erase(place);
        }
    }
    if (after && !after->isLeaving) {
        std::vector<ServerPtr> &servers = usable_[after->server.service];
        servers.insert(placeOf(servers, after->server.instance), after);
    }
}

std::span<const ServerPtr> Directory::usable(std::string_view service) const
{
    const auto found = usable_.find(service);
    if (found == usable_.end()) {
        return {};
    }
    return found->second;
}

ServerPtr Directory::find(std::string_view instance) const
{
    const auto found = servers_.find(instance);
    return found == servers_.end() ? nullptr : found->second;
}

ServerPtr Directory::findByHash(std::uint64_t hash) const
{
    const auto found = hashed_.find(hash);
    return found == hashed_.end() ? nullptr : found->second;
}

ServerPtr Directory::findByName(std::string_view name) const
{
    const auto found = instances_.find(name);
    return found == instances_.end() ? nullptr : find(found->second);
}

std::size_t Directory::size() const
{
    return servers_.size();
}

const std::map<std::string, ServerPtr, std::less<>> &Directory::all() const
{
    return servers_;
}

void Directory::onLeaving(std::function<void(const ServerPtr &server)> handler)
{
    leavingHandlers_.push_back(std::move(handler));
}

} // namespace cardamomlift::directory
