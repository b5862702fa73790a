#pragma once

#include "kernel/clock.h"

#include <cstdint>
#include <functional>
#include <string>

namespace cardamomlift::forwarding {

/// What the decision on one request depends on.
struct AdmissionQuestion {
    std::string service;
    int priority = 0; ///< The customer's, or else the route's; 0 is the most urgent.
    std::uint64_t customer = 0; ///< presence::nameHash() of the customer; 0: none.
    std::int64_t promptTokens = 0;
    std::int64_t outputTokens = 0; ///< Maximum.
    Duration latencyGoal{0}; ///< Time within which the answer should begin, counted from the request's arrival; 0: none.
    TimePoint arrivedAt;
    TimePoint deadline; ///< When the caller stops waiting.
    std::uint64_t salt = 0; ///< Differs between requests.
};

/// Whether a request may be sent to a server now.
struct AdmissionVerdict {
    bool isAdmitted = true;
    Duration retryAfter{0}; ///< If it is refused: when there will be room for it.
    /// The inputs of the decision, for the log.
    double admittedShare = 1; ///< Of the requests like this one, over all VMs.
    std::int64_t open = 0; ///< Requests of the service in progress at all VMs, as they reported.
    std::int64_t slots = 0; ///< Of the servers that are in use.
    std::int64_t demandPerSecond = 0; ///< Requests for the service at all VMs.
    std::int64_t servedPerSecond = 0;
    Duration age{0}; ///< Of the oldest report among them.
};

/// Decides which requests are sent to servers, and in which order, while a service has less room than is asked for. All VMs come to
/// the same decision from what they tell each other.
class AdmissionGate
{
public:
    using Handler = std::function<void(const AdmissionVerdict &verdict)>;

    virtual ~AdmissionGate() = default;
    /// Calls @p handler once with the decision, possibly before this call returns. Returns a ticket, to be given back with release().
    virtual std::uint64_t ask(const AdmissionQuestion &question, Handler handler) = 0;
    /// The request has ended. Withdraws it if it still waits for the decision; its handler is not called any more.
    virtual void release(std::uint64_t ticket) = 0;
    /// A server had no room for the request.
    virtual void noteServerFull(std::uint64_t ticket) = 0;
    /// When a caller whose request no server has room for may come back.
    virtual Duration retryAfter(const std::string &service, int priority) = 0;
};

} // namespace cardamomlift::forwarding
