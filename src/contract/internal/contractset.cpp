#include "contract/contractset.h"

#include "contract/contractreader.h"
#include "kernel/log.h"

#include <algorithm>

namespace cardamomlift::contract {

std::shared_ptr<ContractSet> ContractSet::create()
{
    return std::shared_ptr<ContractSet>(new ContractSet);
}

bool ContractSet::offer(const ContractVersion &version)
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
        partLogger("contract")->error("Version {} of {} can't be read: {}", version.version, version.customer, formatFinding(findings.front()));
        return false;
    }
    if (known != byCustomer_.end()) {
        for (const ApiKey &key : known->second->contract.keys) {
            customerByKeyHash_.erase(key.sha256);
        }
    }
    for (const ApiKey &key : entry->contract.keys) {
        customerByKeyHash_[key.sha256] = version.customer;
    }
    byCustomer_[version.customer] = entry;
    partLogger("contract")->info("Version {} of {} is in force. revision={}", version.version, version.customer, version.revision);
    for (const auto &handler : handlers_) {
        handler(*entry);
    }
    return true;
}

std::shared_ptr<const ContractInForce> ContractSet::find(std::string_view customer) const
{
    const auto found = byCustomer_.find(customer);
    return found == byCustomer_.end() ? nullptr : found->second;
}

std::shared_ptr<const ContractInForce> ContractSet::findByKeyHash(std::string_view sha256) const
{
    const auto found = customerByKeyHash_.find(sha256);
    return found == customerByKeyHash_.end() ? nullptr : find(found->second);
}

std::vector<std::shared_ptr<const ContractInForce>> ContractSet::all() const
{
    std::vector<std::shared_ptr<const ContractInForce>> result;
    for (const auto &[customer, entry] : byCustomer_) {
        result.push_back(entry);
    }
    return result;
}

std::uint64_t ContractSet::revision() const
{
    return revision_;
}

void ContractSet::setRevision(std::uint64_t revision)
{
    revision_ = std::max(revision_, revision);
}

void ContractSet::onChange(std::function<void(const ContractInForce &)> handler)
{
    handlers_.push_back(std::move(handler));
}

} // namespace cardamomlift::contract
