#pragma once

#include "contract/contracttypes.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace cardamomlift::contract {

/// A contract in force, with the version it came from.
struct ContractInForce {
    Contract contract;
    ContractVersion version;
};

/// The contracts in force on this VM. A customer's version only ever rises.
class ContractSet
{
public:
    static std::shared_ptr<ContractSet> create();

    /// Puts @p version in force unless this or a newer one is; says whether it did. A text that can't be read is kept
    /// out, with a log line: it can't come from our own tools.
    bool offer(const ContractVersion &version);
    std::shared_ptr<const ContractInForce> find(std::string_view customer) const;
    /// The contract whose key has this SHA-256, or null.
    std::shared_ptr<const ContractInForce> findByKeyHash(std::string_view sha256) const;
    std::vector<std::shared_ptr<const ContractInForce>> all() const;
    /// All log entries up to this revision are known here.
    std::uint64_t revision() const;
    void setRevision(std::uint64_t revision);
    /// Calls @p handler after each version put in force.
    void onChange(std::function<void(const ContractInForce &contract)> handler);

private:
    ContractSet() = default;
    std::map<std::string, std::shared_ptr<const ContractInForce>, std::less<>> byCustomer_;
    std::map<std::string, std::string, std::less<>> customerByKeyHash_;
    std::vector<std::function<void(const ContractInForce &)>> handlers_;
    std::uint64_t revision_ = 0;
};

} // namespace cardamomlift::contract
