#include "directory/directory.h"

#include "presence/presencetypes.h"

#include <algorithm>
#include <utility>

namespace cardamomlift::directory {

namespace {

/// Maximum number of remembered instances that are no longer known. Far more than there are servers, so that a late entry of
/// such an instance is recognised.
constexpr std::size_t MaxRememberedInstances = 4096;

/// Position of @p instance in @p servers, which are ordered by instance, or where it is to be inserted.
std::vector<ServerPtr>::iterator lowerBound(std::vector<ServerPtr> &servers, std::string_view instance)
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
        // A server that has given its start time always gives it, so this entry was written by something else.
        removeInvalid(server.name);
        return;
    }
    if (before && before->server.startedAt && *server.startedAt < *before->server.startedAt) {
        return;
    }
    if (isFromOlderCopy(server)) {
        return;
    }
    lastEntryVersions_.erase(server.instance);
    if (before && before->server.instance != server.instance) {
        // The cache and the requests of the earlier instance are lost, whatever its last entry said.
        rememberDeparted(before->server.instance);
        removeInstance(before->server.instance);
    }
    KnownServer known;
    known.isLeaving = server.state == ServerState::Draining || departed_.contains(server.instance);
    if (before && before->server.instance == server.instance) {
        known.isLeaving = known.isLeaving || before->isLeaving;
    }
    known.server = std::move(server);
    store(std::move(known));
}

bool Directory::markLeaving(const std::string &instance)
{
    const auto known = find(instance);
    if (!known) {
        const bool isNew = !departed_.contains(instance);
        rememberDeparted(instance);
        return isNew;
    }
    if (known->isLeaving) {
        return false;
    }
    KnownServer leaving = *known;
    leaving.isLeaving = true;
    store(std::move(leaving));
    return true;
}

void Directory::removeInvalid(std::string_view name)
{
    if (const auto known = findByName(name)) {
        removeInstance(known->server.instance);
    }
}

void Directory::remove(std::string_view name, TimePoint now)
{
    const auto before = findByName(name);
    if (!before) {
        return;
    }
    if (!before->isLeaving && isWithinOutageGrace(now)) {
        if (!before->missingSince) {
            KnownServer known = *before;
            known.missingSince = now;
            store(std::move(known));
        }
        return;
    }
    removeUnlisted(before->server.instance);
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
    listCompleteAt_ = listCompleteAt_ ? std::max(*listCompleteAt_, requestedAt) : requestedAt;
}

rows::StoreVersion Directory::listVersion() const
{
    return listVersion_;
}

std::optional<Duration> Directory::listAge(TimePoint now) const
{
    if (!listCompleteAt_) {
        return std::nullopt;
    }
    return now - *listCompleteAt_;
}

void Directory::noteStoreReachable(bool reachable, TimePoint now)
{
    if (reachable && !storeReachable_) {
        storeRecoveredAt_ = now;
    }
    storeReachable_ = reachable;
}

void Directory::noteStoreRecoveredAt(TimePoint recoveredAt, TimePoint now)
{
    const TimePoint recovered = std::min(recoveredAt, now);
    storeRecoveredAt_ = storeRecoveredAt_ ? std::max(*storeRecoveredAt_, recovered) : recovered;
}

bool Directory::isWithinOutageGrace(TimePoint now) const
{
    return !storeReachable_ || (storeRecoveredAt_ && now - *storeRecoveredAt_ <= RelistGracePeriod);
}

void Directory::tick(TimePoint now)
{
    if (isWithinOutageGrace(now)) {
        return;
    }
    for (const std::string &instance : std::exchange(missing_, {})) {
        removeUnlisted(instance);
    }
}

void Directory::store(KnownServer known)
{
    const auto before = find(known.server.instance);
    const bool startsToDrain = known.server.state == ServerState::Draining && before && before->server.state != ServerState::Draining;
    const bool startsToLeave = known.isLeaving && (!before || !before->isLeaving);
    known.hash = presence::nameHash(known.server.instance);
    const auto entry = std::make_shared<const KnownServer>(std::move(known));
    servers_[entry->server.instance] = entry;
    serversByHash_[entry->hash] = entry;
    instances_[entry->server.name] = entry->server.instance;
    updateUsable(before, entry);
    if (entry->missingSince) {
        missing_.insert(entry->server.instance);
    } else {
        missing_.erase(entry->server.instance);
    }
    if (!startsToLeave && !startsToDrain) {
        return;
    }
    for (const auto &handler : leavingHandlers_) {
        handler(entry);
    }
}

void Directory::removeInstance(const std::string &instance)
{
    const auto found = servers_.find(instance);
    if (found == servers_.end()) {
        return;
    }
    updateUsable(found->second, nullptr);
    missing_.erase(instance);
    KnownServer last = *found->second;
    // An instance whose entry only expired may become ready again; one that announced leaving may not.
    if (last.isLeaving) {
        rememberDeparted(instance);
    }
    last.isLeaving = true;
    const auto entry = std::make_shared<const KnownServer>(std::move(last));
    servers_.erase(found);
    serversByHash_.erase(entry->hash);
    instances_.erase(entry->server.name);
    for (const auto &handler : leavingHandlers_) {
        handler(entry);
    }
}

void Directory::removeUnlisted(const std::string &instance)
{
    if (lastEntryVersions_.size() >= MaxRememberedInstances) {
        lastEntryVersions_.erase(lastEntryVersions_.begin());
    }
    if (const auto known = find(instance)) {
        lastEntryVersions_[instance] = known->server.entryVersion;
    }
    removeInstance(instance);
}

// NOTE In the era that starts with a restore, rows written before the copy was made keep their numbers.
bool Directory::isFromOlderCopy(const BackendServer &server) const
{
    const auto last = lastEntryVersions_.find(server.instance);
    return last != lastEntryVersions_.end() && server.entryVersion.era > last->second.era && server.entryVersion.number <= last->second.number;
}

void Directory::rememberDeparted(const std::string &instance)
{
    if (departed_.size() >= MaxRememberedInstances) {
        departed_.erase(departed_.begin());
    }
    departed_.insert(instance);
}

void Directory::updateUsable(const ServerPtr &before, const ServerPtr &after)
{
    if (before && !before->isLeaving) {
        std::vector<ServerPtr> &servers = usable_[before->server.service];
        const auto position = lowerBound(servers, before->server.instance);
        if (position != servers.end() && *position == before) {
            servers.erase(position);
        }
    }
    if (after && !after->isLeaving) {
        std::vector<ServerPtr> &servers = usable_[after->server.service];
        servers.insert(lowerBound(servers, after->server.instance), after);
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
    const auto found = serversByHash_.find(hash);
    return found == serversByHash_.end() ? nullptr : found->second;
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
