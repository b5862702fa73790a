#pragma once

#include "contract/contracttypes.h"
#include "kernel/finding.h"

#include <string>

namespace cardamomlift::contract {

/// Reads and checks one contract text (JSON with comments). The tool and the daemon both call this; what is wrong is
/// added to @p findings, and with an error among them the result is not to be used.
Contract readContract(const std::string &file, const std::string &text, Findings &findings);

/// Changes from @p before to @p after that look like a slip: a bound cut to zero, a number changed by a thousand or
/// more, a model or service taken away. All with Severity::Danger.
Findings dangerousChanges(const std::string &file, const Contract &before, const Contract &after);

/// The changes as "path: before -> after", one a line; empty if nothing that counts has changed.
std::string describeChanges(const Contract &before, const Contract &after);

} // namespace cardamomlift::contract
