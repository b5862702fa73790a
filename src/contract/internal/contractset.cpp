#include "contract/contractset.h"

#include "contract/contractreader.h"
#include "kernel/log.h"

#include <algorithm>

namespace cardamomlift::contract {

std::shared_ptr<ContractSet> ContractSet::create()
{
    return std::shared_ptr<ContractSet>(new ContractSet);
}

bool ContractSet::applyIfNewer(const ContractVersion &version)
{
    const auto known = byCustomer_.find(version.customer);
    if (known != byCustomer_.end() && known->second->version.version >= version.version) {
        return false;
    }
    Findings findings;
    auto entry = std::make_shared<ContractInForce>();
    entry->contract = readContract(version.customer, version.text, findings);
    entry->version = version;
    if (hasErrors(findings)) {
        partLogger("contract")->error("Contract version {} of customer {} is invalid: {}", version.version, version.customer, formatFinding(findings.front()));
        return false;
    }
    if (known != byCustomer_.end()) {
        removeKeys(known->second->contract);
    }
    addKeys(entry->contract);
    byCustomer_[version.customer] = entry;
    partLogger("contract")
        ->info("Contract version {} of customer {} is in force. revision={} hops={}", version.version, version.customer, version.revision, version.hops);
    for (const auto &handler : changeHandlers_) {
        handler(*entry);
    }
    return true;
}

void ContractSet::removeKeys(const Contract &contract)
{
    for (const ApiKey &key : contract.keys) {
        const auto found = customersByKeyHash_.find(key.sha256);
        if (found == customersByKeyHash_.end()) {
            continue;
        }
        found->second.erase(contract.customer);
        if (found->second.empty()) {
            customersByKeyHash_.erase(found);
        }
    }
}

void ContractSet::addKeys(const Contract &contract)
{
    for (const ApiKey &key : contract.keys) {
        auto &customers = customersByKeyHash_[key.sha256];
        customers.insert(contract.customer);
        if (customers.size() > 1) {
            partLogger("contract")->error("Two contracts have the same API key. customer={} other={}", *customers.begin(), *customers.rbegin());
        }
    }
}

std::shared_ptr<const ContractInForce> ContractSet::find(std::string_view customer) const
{
    const auto found = byCustomer_.find(customer);
    return found == byCustomer_.end() ? nullptr : found->second;
}

std::shared_ptr<const ContractInForce> ContractSet::findByKeyHash(std::string_view sha256) const
{
    const auto found = customersByKeyHash_.find(sha256);
    return found == customersByKeyHash_.end() ? nullptr : find(*found->second.begin());
}

std::vector<std::shared_ptr<const ContractInForce>> ContractSet::all() const
{
    std::vector<std::shared_ptr<const ContractInForce>> result;
    for (const auto &[customer, entry] : byCustomer_) {
        result.push_back(entry);
    }
    return result;
}

std::vector<std::shared_ptr<const ContractInForce>> ContractSet::newerThan(std::uint64_t revision) const
{
    std::vector<std::shared_ptr<const ContractInForce>> result;
    for (const auto &[customer, entry] : byCustomer_) {
        if (entry->version.revision > revision) {
            result.push_back(entry);
        }
    }
    std::sort(result.begin(), result.end(), [](const auto &a, const auto &b) { return a->version.revision < b->version.revision; });
    return result;
}

std::uint64_t ContractSet::revision() const
{
    return revision_;
}

void ContractSet::setRevision(std::uint64_t revision)
{
    if (revision <= revision_) {
        return;
    }
    revision_ = revision;
    for (const auto &handler : revisionHandlers_) {
        handler();
    }
}

void ContractSet::onChange(std::function<void(const ContractInForce &)> handler)
{
    changeHandlers_.push_back(std::move(handler));
}

void ContractSet::onRevision(std::function<void()> handler)
{
    revisionHandlers_.push_back(std::move(handler));
}

} // namespace cardamomlift::contract
