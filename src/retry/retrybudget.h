#pragma once

#include "kernel/clock.h"

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>

namespace cardamomlift::retry {

/// Settings of a RetryBudget. Over any period and for any pattern of failures, the retries that the budget admits are at
/// most creditPerRequest x first attempts + maxCredit.
struct RetryBudgetSettings {
    double creditPerRequest = 0.2; ///< Retries credited for each first attempt.
    double maxCredit = 20; ///< Upper bound of the unspent credit, in retries.
    std::optional<double> initialCredit; ///< Credit at creation; maxCredit if empty.
    double urgentReserve = 5; ///< The last part of the credit, which only urgent requests may spend.
    double maxCustomerCredit = 10; ///< Upper bound of the unspent credit of one customer.
};

/// The request for which a retry is wanted, as far as the budget needs to know it.
struct RetryRequester {
    std::string customer;
    bool urgent = false;
};

/// Limits the retries of one entry VM: a token bucket that is filled by first attempts, and another one per customer, so
/// that the failing requests of one customer do not use up the retries of the others.
class RetryBudget
{
public:
    static RetryBudget create(RetryBudgetSettings settings);

    /// Adds the credit for the first attempt of a request of @p customer.
    void addRequest(const std::string &customer);
    /// Spends the credit for one retry; false if there is not enough.
    bool trySpend(const RetryRequester &requester);
    double credit() const;
    /// Adds to the shared credit, up to its maximum.
    void addCredit(double retries);
    /// Changes the maximum of the shared credit. Credit above it is lost.
    void setMaxCredit(double maxCredit);

private:
    RetryBudget() = default;
    double &customerCredit(const std::string &customer);
    RetryBudgetSettings settings_;
    double credit_ = 0;
    std::unordered_map<std::string, double> customerCredits_;
};

} // namespace cardamomlift::retry
