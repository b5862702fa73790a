#include "retry/retrybudget.h"

#include <algorithm>

namespace cardamomlift::retry {

RetryBudget RetryBudget::create(RetryBudgetSettings settings)
{
    RetryBudget budget;
    budget.settings_ = settings;
    budget.credit_ = std::min(settings.maxCredit, settings.initialCredit.value_or(settings.maxCredit));
    return budget;
}

double &RetryBudget::customerCredit(const std::string &customer)
{
    // NOTE Bounded by the number of contracts: requests of unknown customers are refused before they get here.
    return customerCredits_.emplace(customer, settings_.maxCustomerCredit).first->second;
}

void RetryBudget::addRequest(const std::string &customer)
{
    credit_ = std::min(settings_.maxCredit, credit_ + settings_.creditPerRequest);
    double &ownCredit = customerCredit(customer);
    ownCredit = std::min(settings_.maxCustomerCredit, ownCredit + settings_.creditPerRequest);
}

bool RetryBudget::trySpend(const RetryRequester &requester)
{
    const double reserve = requester.urgent ? 0 : settings_.urgentReserve;
    double &ownCredit = customerCredit(requester.customer);
    if (credit_ - reserve < 1 || ownCredit < 1) {
        return false;
    }
    credit_ -= 1;
    ownCredit -= 1;
    return true;
}

void RetryBudget::addCredit(double retries)
{
    credit_ = std::min(settings_.maxCredit, credit_ + retries);
}

void RetryBudget::setMaxCredit(double maxCredit)
{
    settings_.maxCredit = maxCredit;
    credit_ = std::min(credit_, maxCredit);
}

double RetryBudget::credit() const
{
    return credit_;
}

} // namespace cardamomlift::retry
