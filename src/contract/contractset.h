#pragma once

#include "contract/contracttypes.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
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
    bool applyIfNewer(const ContractVersion &version);
    std::shared_ptr<const ContractInForce> find(std::string_view customer) const;
    /// The contract whose key has this SHA-256, or null. If two contracts have it (an edit with such a key is refused, but
    /// two may race), it is on every VM the customer whose name sorts first.
    std::shared_ptr<const ContractInForce> findByKeyHash(std::string_view sha256) const;
    std::vector<std::shared_ptr<const ContractInForce>> all() const;
    /// Those whose version has a higher revision than @p revision, in order of revision.
    std::vector<std::shared_ptr<const ContractInForce>> newerThan(std::uint64_t revision) const;
    /// All log entries up to this revision are known here.
    std::uint64_t revision() const;
    /// Only ever rises; a lower value is ignored.
    void setRevision(std::uint64_t revision);
    /// Calls @p handler after each version put in force.
    void onChange(std::function<void(const ContractInForce &contract)> handler);
    /// Calls @p handler after each rise of revision().
    void onRevision(std::function<void()> handler);

private:
    ContractSet() = default;
    void forgetKeys(const Contract &contract);
    void addKeys(const Contract &contract);
    std::map<std::string, std::shared_ptr<const ContractInForce>, std::less<>> byCustomer_;
    std::map<std::string, std::set<std::string>, std::less<>> customersByKeyHash_;
    std::vector<std::function<void(const ContractInForce &)>> handlers_;
    std::vector<std::function<void()>> revisionHandlers_;
    std::uint64_t revision_ = 0;
};

} // namespace cardamomlift::contract
