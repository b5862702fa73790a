#pragma once

#include "contract/contracttypes.h"
#include "kernel/finding.h"

#include <map>
#include <string>

namespace cardamomlift::contract {

/// Reads and checks one contract text (JSON with comments). The tool and the daemon both call this; what is wrong is
/// added to @p findings, and with an error among them the result is not to be used.
Contract readContract(const std::string &file, const std::string &text, Findings &findings);

/// Where each value of a contract stands, by its path as in "limits.openRequests" or "models.proofreader.class".
class ContractLocations
{
public:
    /// Of a text that readContract() takes without errors.
    static ContractLocations read(const std::string &file, const std::string &text);
    /// Puts the place of @p path into @p finding; of the nearest enclosing value if the path is not in the text.
    void place(Finding &finding, std::string path) const;

private:
    struct Place {
        int line = 0;
        int column = 0;
    };
    std::map<std::string, Place, std::less<>> places_;
};

/// Changes from @p before to @p after that look like a slip: a bound cut to zero, a number changed by a thousand or
/// more, a model or service taken away. All with Severity::Danger, at their places in the text of @p after.
Findings dangerousChanges(const std::string &file, const Contract &before, const Contract &after, const ContractLocations &places = {});

/// The changes as "path: before -> after", one a line; empty if nothing that counts has changed.
std::string describeChanges(const Contract &before, const Contract &after);

/// What two edits of @p base changed: those only in @p theirs, those only in @p mine, those in both.
std::string describeConflict(const Contract &base, const Contract &theirs, const Contract &mine);

} // namespace cardamomlift::contract
