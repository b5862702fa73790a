#pragma once

#include "directory/directorytypes.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace cardamomlift::directory {

/// Entries expire while the store is unavailable. A live server has rewritten its entry within about two seconds after the
/// store has recovered.
inline constexpr Duration RelistGracePeriod = std::chrono::milliseconds(2500);

/// A backend server with what the directory knows about its entry.
struct KnownServer {
    BackendServer server;
    std::uint64_t hash = 0; ///< presence::nameHash() of the instance, which identifies the server in messages between VMs.
    bool isLeaving = false; ///< It announced, in its entry or in an answer, that it is leaving, or its entry was removed. Never reset.
    std::optional<TimePoint> missingSince; ///< Its entry disappeared during or just after a store outage, so it may still run.
};

using ServerPtr = std::shared_ptr<const KnownServer>;

/// The backend servers that may receive requests, from the platform's list.
class Directory
{
public:
    static std::shared_ptr<Directory> create();

    /// Adds or updates an entry. A later instance replaces an earlier one of the same name. A late entry of an instance earlier
    /// than the known one is ignored, and so is an entry from an older copy of the store if its server has been removed since.
    /// An entry without a start time removes the server if its known instance has one.
    void put(BackendServer server);
    /// The instance announced in an answer that it is leaving. No entry, list or outage makes it usable again, even if it is not
    /// known yet. Returns true if the announcement is new.
    bool markLeaving(const std::string &instance);
    /// The entry of the server @p name was removed. During or just after a store outage the server stays usable until
    /// RelistGracePeriod after the recovery of the store.
    void remove(std::string_view name, TimePoint now);
    /// The entry of the server @p name cannot be parsed. The server is removed at once, even during a store outage, and is
    /// added again by its next valid entry.
    void removeInvalid(std::string_view name);
    /// Replaces the whole list: entries that are not in @p servers are removed.
    void replaceAll(std::span<const BackendServer> servers, TimePoint now);
    /// The list is known to have been complete up to @p listVersion at a time not before @p requestedAt.
    void noteListComplete(rows::StoreVersion listVersion, TimePoint requestedAt);
    rows::StoreVersion listVersion() const;
    /// Time since the list was last known to be complete; empty if it never was.
    std::optional<Duration> listAge(TimePoint now) const;
    /// The store became unreachable or reachable again.
    void noteStoreReachable(bool reachable, TimePoint now);
    /// The store recovered at @p recoveredAt: an outage was seen by another VM, or the store was restored from a copy.
    void noteStoreRecoveredAt(TimePoint recoveredAt, TimePoint now);
    /// Removes entries that are still missing after the grace period. To be called several times a second.
    void tick(TimePoint now);

    /// Servers of @p service that may receive new requests, ordered by instance.
    std::span<const ServerPtr> usable(std::string_view service) const;
    /// The server with this instance, even if it is leaving; null if it is unknown or has been removed.
    ServerPtr find(std::string_view instance) const;
    /// The server whose instance has this presence::nameHash(); null if there is none.
    ServerPtr findByHash(std::uint64_t hash) const;
    /// The known instance of the server @p name; null if there is none.
    ServerPtr findByName(std::string_view name) const;
    std::size_t size() const;
    /// All known servers by instance, including leaving ones.
    const std::map<std::string, ServerPtr, std::less<>> &all() const;
    /// Calls @p handler with each server that starts to leave or is removed. Called again when the entry of a server that has
    /// announced its leaving in an answer says so too: only the entry may say when the server ends.
    void onLeaving(std::function<void(const ServerPtr &server)> handler);

private:
    Directory() = default;
    /// Whether the store is unreachable, or recovered no longer than RelistGracePeriod ago.
    bool isWithinOutageGrace(TimePoint now) const;
    void store(KnownServer known);
    void removeInstance(const std::string &instance);
    void rememberDeparted(const std::string &instance);
    /// Removes a server whose entry was removed and remembers the version of that entry.
    void removeUnlisted(const std::string &instance);
    /// Whether the entry comes from an older copy of the store and its server was removed after that copy was made.
    bool isFromOlderCopy(const BackendServer &server) const;
    /// Updates the list of usable servers for one instance; a null entry is one that does not exist.
    void updateUsable(const ServerPtr &before, const ServerPtr &after);
    std::map<std::string, ServerPtr, std::less<>> servers_; ///< By instance.
    std::unordered_map<std::uint64_t, ServerPtr> serversByHash_; ///< By KnownServer::hash.
    std::map<std::string, std::string, std::less<>> instances_; ///< The known instance by server name.
    std::map<std::string, std::vector<ServerPtr>, std::less<>> usable_; ///< By service, ordered by instance.
    std::set<std::string, std::less<>> missing_; ///< Instances with KnownServer::missingSince.
    std::set<std::string, std::less<>> departed_; ///< Instances that announced leaving or were replaced; never usable again.
    /// Last entry versions of instances that were removed, by instance. They may be listed again.
    std::map<std::string, rows::StoreVersion, std::less<>> lastEntryVersions_;
    rows::StoreVersion listVersion_;
    std::optional<TimePoint> listCompleteAt_;
    bool storeReachable_ = true;
    std::optional<TimePoint> storeRecoveredAt_;
    std::vector<std::function<void(const ServerPtr &)>> leavingHandlers_;
};

} // namespace cardamomlift::directory
