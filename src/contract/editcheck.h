#pragma once

#include "contract/contractset.h"
#include "kernel/finding.h"

#include <span>

namespace cardamomlift::contract {

/// An edit to be checked.
struct ProposedEdit {
    std::string file; ///< The file name for the findings.
    std::string customer;
    std::string text;
    bool confirmed = false; ///< The operator has confirmed the dangerous changes.
};

using ContractsInForce = std::span<const std::shared_ptr<const ContractInForce>>;

/// Validates an edit; without findings it may be accepted. The tool and the daemon both use this function, so they agree.
/// @p replaced is the version that the edit replaces, or null; @p others are contracts whose API keys it must not use.
Findings checkEdit(const ProposedEdit &edit, const ContractVersion *replaced, ContractsInForce others);

} // namespace cardamomlift::contract
