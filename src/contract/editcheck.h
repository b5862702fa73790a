#pragma once

#include "contract/contractset.h"
#include "kernel/finding.h"

#include <span>

namespace cardamomlift::contract {

/// An edit to be checked.
struct ProposedEdit {
    std::string file; ///< Named in the findings.
    std::string customer;
    std::string text;
    bool confirmed = false; ///< The operator has seen the dangerous changes.
};

using ContractsInForce = std::span<const std::shared_ptr<const ContractInForce>>;

/// All that speaks against an edit; none: it may be accepted. The tool and the daemon refuse by this one function.
/// @p replaced is the version that the edit replaces, or null; @p others are contracts whose API keys it may not use.
Findings checkEdit(const ProposedEdit &edit, const ContractVersion *replaced, ContractsInForce others);

} // namespace cardamomlift::contract
