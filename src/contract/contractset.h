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

/// A contract in force, with the version it was read from.
struct ContractInForce {
    Contract contract;
    ContractVersion version;
};

/// The contracts in force on this VM. The version of a customer's contract never decreases.
class ContractSet
{
public:
    static std::shared_ptr<ContractSet> create();

    /// Puts @p version in force and returns true, unless this or a newer version is in force. An invalid text is logged
    /// and rejected: the tool and the daemon never write one.
    bool applyIfNewer(const ContractVersion &version);
    std::shared_ptr<const ContractInForce> find(std::string_view customer) const;
    /// The contract that has an API key with this SHA-256, or null. An edit that reuses another customer's key is refused,
    /// but two concurrent edits can add the same key; then every VM chooses the customer whose name sorts first.
    std::shared_ptr<const ContractInForce> findByKeyHash(std::string_view sha256) const;
    std::vector<std::shared_ptr<const ContractInForce>> all() const;
    /// The contracts with a higher revision than @p revision, in order of revision.
    std::vector<std::shared_ptr<const ContractInForce>> newerThan(std::uint64_t revision) const;
    /// All edits up to this revision are in force here.
    std::uint64_t revision() const;
    /// Raises revision(); a lower value is ignored.
    void setRevision(std::uint64_t revision);
    /// Calls @p handler after each version that is put in force.
    void onChange(std::function<void(const ContractInForce &contract)> handler);
    /// Calls @p handler after each increase of revision().
    void onRevision(std::function<void()> handler);

private:
    ContractSet() = default;
    void removeKeys(const Contract &contract);
    void addKeys(const Contract &contract);
    std::map<std::string, std::shared_ptr<const ContractInForce>, std::less<>> byCustomer_;
    std::map<std::string, std::set<std::string>, std::less<>> customersByKeyHash_;
    std::vector<std::function<void(const ContractInForce &)>> changeHandlers_;
    std::vector<std::function<void()>> revisionHandlers_;
    std::uint64_t revision_ = 0;
};

} // namespace cardamomlift::contract
