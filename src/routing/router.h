#pragma once

#include "backoff/backofftracker.h"
#include "kernel/clock.h"
#include "membership/members.h"
#include "routing/prefixhints.h"
#include "routing/routingtypes.h"
#include "routing/serverindex.h"

#include <memory>
#include <optional>
#include <span>

namespace cardamomlift::routing {

/// Chooses the backend server of each attempt, and tracks the load and failures of the servers as seen by this VM.
class Router : public std::enable_shared_from_this<Router>
{
public:
    /// @p backoffs may be null: no server asks for a backoff then.
    static std::shared_ptr<Router> create(
        const Clock &clock, std::shared_ptr<membership::Members> members, std::shared_ptr<backoff::BackoffTracker> backoffs = nullptr);

    /// Returns a live server, or none. Considers a bounded sample of the servers. The attempt counts from started() on.
    std::optional<membership::Vm> choose(const RouteCriteria &criteria);
    /// Records the start of an attempt for @p customer at @p instance.
    void started(const std::string &instance, std::string_view customer = {});
    /// Records the end of an attempt. To be called once for each started(), with the same customer.
    void finished(const std::string &instance, AttemptEnd end, std::string_view customer = {});
    /// Avoids @p instance as after a failed attempt. Also called when another VM reports that it crashed.
    void avoid(const std::string &instance);
    /// Records that @p instance reported its load at @p at.
    void noteLoad(const std::string &instance, const LoadReport &report, TimePoint at);
    /// Records that @p share of a prompt was in the cache of @p instance at @p at, from an answer or a cache event.
    void notePrefix(std::string_view instance, std::uint64_t prefixHash, double share, TimePoint at);
    /// Returns the number of live servers of a model or service that accept requests of this VM now, other than @p exclude.
    std::size_t availableServers(membership::VmRole role, std::string_view name, std::span<const std::string> exclude) const;
    /// Returns the time until the first of the live servers of a model or service, other than @p exclude, accepts requests of this VM
    /// again; empty if there is none, or if one of them accepts requests now.
    std::optional<Duration> backoffLeft(membership::VmRole role, std::string_view name, std::span<const std::string> exclude) const;

private:
    Router() = default;
    bool isBackingOff(const std::string &instance) const;
    bool isAtRecoveryLimit(const std::string &instance, const ServerState &state) const;
    Candidate candidate(const ServerGroup &group, std::size_t server, const RouteCriteria &criteria) const;
    std::optional<std::size_t> chooseAmong(
        const ServerGroup &group, std::span<const std::size_t> servers, std::size_t prefixServerCount, const RouteCriteria &criteria, bool onlyHealthy);
    void refresh();
    const Clock *clock_ = nullptr;
    double fleetStartsPerLocalStart_ = 1;
    std::shared_ptr<membership::Members> members_;
    std::shared_ptr<backoff::BackoffTracker> backoffs_;
    ServerIndex index_;
    PrefixHints hints_;
    Random random_;
};

} // namespace cardamomlift::routing
