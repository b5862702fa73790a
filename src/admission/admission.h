#pragma once

#include "admission/admissiontypes.h"
#include "admission/concurrencylimit.h"
#include "admission/waitqueue.h"
#include "kernel/eventloop.h"
#include "limits/customerlimiter.h"
#include "metrics/metrics.h"
#include "spending/spendingkeeper.h"

#include <functional>
#include <map>
#include <memory>
#include <unordered_map>

namespace cardamomlift::admission {

using DecisionHandler = std::function<void(AdmissionDecision decision)>;

/// What admission works with. Without @c limits or @c spending that check is left out.
struct AdmissionTools {
    EventLoop *loop = nullptr;
    std::size_t maxOpen = 0; ///< Requests held at once, waiting ones too.
    std::shared_ptr<limits::CustomerLimiter> limits;
    std::shared_ptr<spending::SpendingKeeper> spending;
    std::shared_ptr<metrics::Metrics> metrics; ///< May be null.
};

/// Decides which requests come in, in which order, and which are told at once that they can't: first the customer's
/// limits, then its spending bound, then room at the backend servers.
class Admission : public std::enable_shared_from_this<Admission>
{
public:
    static std::shared_ptr<Admission> create(AdmissionTools tools);

    /// @p handler is called once, perhaps from inside this call.
    void requestAdmission(AdmissionParameters parameters, DecisionHandler handler);
    /// The first token of an admitted model request has come. Optional; once.
    void onFirstToken(std::uint64_t ticket);
    /// Ends an admitted request. Call once for each ticket.
    void release(std::uint64_t ticket, const Usage &usage);
    /// Requests that run.
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
    std::size_t undecided_ = 0; ///< Asked and not yet decided.
    std::map<std::string, Target, std::less<>> targets_;
    std::unordered_map<std::uint64_t, RequestPtr> open_;
    std::unordered_map<std::uint64_t, RequestPtr> waiting_;
};

} // namespace cardamomlift::admission
