#pragma once

#include "kernel/clock.h"

#include <cstdint>
#include <span>
#include <tuple>
#include <vector>

namespace cardamomlift::routeadmission {

/// Requests of one customer and priority.
struct ClassKey {
    int priority = 0; ///< 0 is the most urgent.
    std::uint64_t customer = 0; ///< presence::nameHash(); 0: none.

    bool operator==(const ClassKey &) const = default;
    bool operator<(const ClassKey &other) const
    {
        return std::tie(priority, customer) < std::tie(other.priority, other.customer);
    }
};

/// Stands for the customers that are not told one by one.
inline constexpr std::uint64_t OtherCustomers = 1;

/// Requests a second of one class.
struct ClassRate {
    ClassKey key;
    double demand = 0;
};

/// What is known of a service over all VMs.
struct ServiceRoom {
    double open = 0; ///< Requests in progress, without those that wait for admission.
    double slots = 0; ///< Of the servers in use; 0: not known.
    double servedPerSecond = 0;
    double refusedPerSecond = 0; ///< By servers, for want of room.
    Duration goal{0}; ///< The tightest latency goal of its requests; 0: none.
    bool hasSummaries = false; ///< Some VMs are known by the summaries of their groups alone.
};

/// The admitted share of one class.
struct ClassShare {
    ClassKey key;
    double demand = 0;
    double share = 1;
};

/// Whether the service has less room than is asked for. @p demand: requests a second. @p wasShort: it was so a moment ago.
bool isShort(const ServiceRoom &room, double demand, bool wasShort);
/// Whether more requests wait in servers' queues than openTarget() allows: the VMs begin to tell their demand.
bool isNearlyShort(const ServiceRoom &room);
/// The open requests at which all slots are busy and the queues are as short as the tightest goal needs.
double openTarget(const ServiceRoom &room);
/// The requests a second to admit at all VMs together, so that the open requests reach openTarget().
double admissibleRate(const ServiceRoom &room);
/// Divides @p rate: the most urgent priority first; within a priority equal rates to customers, and to none more than it asks for.
/// Returns the shares ordered by key.
std::vector<ClassShare> distribute(double rate, std::span<const ClassRate> classes);
/// The admitted share of a class; for one that is not in @p shares that of its priority, or of what is next to it.
double shareOf(std::span<const ClassShare> shares, const ClassKey &key);
/// The admitted share of a priority, over its customers.
double shareOfPriority(std::span<const ClassShare> shares, int priority);

/// The cost of a request of @p tokens in units of the mean request of its service: bounded, so that the largest requests are admitted
/// no less than half as often as small ones.
double costOf(double tokens, double meanTokens);

} // namespace cardamomlift::routeadmission
