#include "kernel/finding.h"

#include <fmt/format.h>

#include <algorithm>

namespace cardamomlift {

std::string formatFinding(const Finding &finding)
{
    const char *word = finding.severity == Severity::Error ? "error" : "danger";
    return fmt::format("{}:{}:{}: {}: {} {}", finding.file, finding.line, finding.column, word, finding.message, finding.remedy);
}

std::string formatFindings(std::span<const Finding> findings)
{
    std::string text;
    for (const Finding &finding : findings) {
        text += formatFinding(finding);
        text += '\n';
    }
    return text;
}

bool hasErrors(std::span<const Finding> findings)
{
    return std::any_of(findings.begin(), findings.end(), [](const Finding &finding) { return finding.severity == Severity::Error; });
}

} // namespace cardamomlift
