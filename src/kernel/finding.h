#pragma once

#include <span>
#include <string>
#include <vector>

namespace cardamomlift {

/// Whether a finding prevents the use of what was read.
enum class Severity {
    Error, ///< The text can't be accepted.
    Danger, ///< The text is well formed, but the change is likely a slip; accepted only when confirmed.
};

/// One thing wrong with a text an operator wrote, with its place and what to do.
struct Finding {
    std::string file;
    int line = 0; ///< From 1; 0 when the finding is about the whole file.
    int column = 0; ///< From 1.
    std::string message;
    std::string remedy;
    Severity severity = Severity::Error;
};

using Findings = std::vector<Finding>;

/// "file:line:column: error: message. Remedy." for a person.
std::string formatFinding(const Finding &finding);

/// All findings, one a line.
std::string formatFindings(std::span<const Finding> findings);

/// True if any finding has severity Error.
bool hasErrors(std::span<const Finding> findings);

} // namespace cardamomlift
