#include "daemon/settingsfile.h"

#include "deploymentsettings.h"
#include "settings/settingsreader.h"

#include <fstream>
#include <sstream>

namespace cardamomlift::daemon {

std::optional<settings::Settings> readSettingsFile(const std::string &path, Findings &findings)
{
    std::ifstream file(path);
    if (!file) {
        Finding finding;
        finding.file = path;
        finding.message = "The file can't be read.";
        finding.remedy = "Check the path.";
        findings.push_back(std::move(finding));
        return std::nullopt;
    }
    std::stringstream text;
    text << file.rdbuf();
    auto settings = platform::readDeploymentSettings(path, text.str(), findings);
    if (!settings && !hasErrors(findings)) {
        settings = settings::readSettings(path, text.str(), findings);
    }
    if (hasErrors(findings)) {
        return std::nullopt;
    }
    return settings;
}

} // namespace cardamomlift::daemon
