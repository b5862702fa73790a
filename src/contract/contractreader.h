#pragma once

#include "contract/contracttypes.h"
#include "kernel/finding.h"

#include <map>
#include <string>

namespace cardamomlift::contract {

/// Parses and validates one contract text (JSON with comments), for the tool and the daemon alike. Problems are added to
/// @p findings; if one of them is an error, the result must not be used.
Contract readContract(const std::string &file, const std::string &text, Findings &findings);

/// Line and column of each value in a contract text, by its path as in "limits.openRequests" or "models.proofreader.class".
class ContractLocations
{
public:
    /// Reads the locations in a text that readContract() accepts without errors.
    static ContractLocations read(const std::string &file, const std::string &text);
    /// Sets line and column of @p finding to those of @p path, or of the nearest enclosing value if the text has no such path.
    void locate(Finding &finding, std::string path) const;

private:
    struct Location {
        int line = 0;
        int column = 0;
    };
    std::map<std::string, Location, std::less<>> locations_;
};

/// Changes from @p before to @p after that may be mistakes: a number cut to zero or changed by a factor of a thousand or
/// more, a removed key, model or service, a service that becomes idempotent. All have Severity::Danger and the
/// location in the text of @p after.
Findings dangerousChanges(const std::string &file, const Contract &before, const Contract &after, const ContractLocations &locations = {});

/// The changes as "path: before -> after", one per line; empty if no value has changed.
std::string describeChanges(const Contract &before, const Contract &after);

/// Three-way comparison of two edits of @p base: changes only in @p theirs, only in @p mine, and different in both.
std::string describeConflict(const Contract &base, const Contract &theirs, const Contract &mine);

} // namespace cardamomlift::contract
