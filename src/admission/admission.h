#pragma once

#include "admission/admissiontypes.h"
#include "admission/concurrencylimit.h"
#include "admission/waitqueue.h"
#include "kernel/eventloop.h"
#include "limits/customerlimiter.h"
#include "metrics/metrics.h"
#include "spending/spendinglimiter.h"

#include <functional>
#include <map>
#include <memory>
#include <unordered_map>

namespace cardamomlift::admission {

using DecisionHandler = std::function<void(AdmissionDecision decision)>;

/// What Admission depends on. Without @c limits or @c spending that check is skipped.
struct AdmissionTools {
    EventLoop *loop = nullptr;
    std::size_t maxOpen = 0; ///< Maximum number of requests that run or wait at once.
    std::shared_ptr<limits::CustomerLimiter> limits;
    std::shared_ptr<spending::SpendingLimiter> spending;
    std::shared_ptr<metrics::Metrics> metrics; ///< May be null.
};

/// Decides which requests are admitted, in which order, and which are refused at once. Checks the customer's limits first,
/// then its spending bound, then the capacity of the backend servers.
class Admission : public std::enable_shared_from_this<Admission>
{
public:
    static std::shared_ptr<Admission> create(AdmissionTools tools);

    /// Calls @p handler once with the decision, possibly before this call returns.
    void requestAdmission(AdmissionParameters parameters, DecisionHandler handler);
    /// Reports the first token of an admitted model request. Optional; only the first call for a ticket counts.
    void onFirstToken(std::uint64_t ticket);
    /// Ends an admitted request. To be called once for each ticket.
    void release(std::uint64_t ticket, const Usage &usage);
    /// Number of running requests.
    std::size_t openRequests() const;
    std::size_t waitingRequests() const;

private:
    struct Request;
    using RequestPtr = std::shared_ptr<Request>;
    struct Target {
        ConcurrencyLimit concurrency;
        WaitQueue queue;
    };
    Admission() = default;
    Target &targetOf(const AdmissionParameters &parameters);
    bool refuseEarly(const RequestPtr &request);
    void acquireLimits(const RequestPtr &request);
    void reserveSpending(const RequestPtr &request);
    void admitOrQueue(const RequestPtr &request);
    void queueRequest(const RequestPtr &request);
    void admit(const RequestPtr &request);
    void admitWaiting(Target &target);
    void refuse(const RequestPtr &request, metrics::RefusalReason reason, Duration retryAfter);
    void returnReservations(const RequestPtr &request);
    AdmissionTools tools_;
    std::uint64_t nextTicket_ = 1;
    std::size_t undecided_ = 0; ///< Number of requests without a decision yet, including waiting ones.
    std::map<std::string, Target, std::less<>> targets_;
    std::unordered_map<std::uint64_t, RequestPtr> open_;
    std::unordered_map<std::uint64_t, RequestPtr> waiting_;
};

} // namespace cardamomlift::admission
