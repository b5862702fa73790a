#include "daemon/daemon.h"
#include "daemon/settingsfile.h"
#include "kernel/log.h"
#include "settings/settingsreader.h"

#include <boost/program_options.hpp>

#include <csignal>
#include <cstdlib>
#include <iostream>
#include <optional>

namespace {

namespace options = boost::program_options;

constexpr int ExitOk = 0;
constexpr int ExitUsage = 2;
constexpr int ExitSettings = 3;
constexpr int ExitStart = 4;
/// Environment variable with the path of the settings file, used if the command line does not name one.
constexpr char SettingsVariable[] = "CARDAMOMLIFT_CONFIG";

/// Reads the settings file and prints the findings. Empty if it has errors.
std::optional<cardamomlift::settings::Settings> loadSettings(const std::string &path)
{
    cardamomlift::Findings findings;
    auto settings = cardamomlift::daemon::readSettingsFile(path, findings);
    std::cerr << cardamomlift::formatFindings(findings);
    return settings;
}

/// Path of the settings file from the command line or else from the environment; empty if neither names one.
std::string settingsPath(const options::variables_map &values)
{
    if (values.count("config")) {
        return values["config"].as<std::string>();
    }
    const char *path = std::getenv(SettingsVariable);
    return path ? path : "";
}

int runDaemon(cardamomlift::settings::Settings settings, const std::string &settingsFile)
{
    cardamomlift::setLogLevel(settings.logLevel);
    auto daemon = cardamomlift::daemon::Daemon::create(std::move(settings));
    if (!daemon) {
        std::cerr << "cardamomliftd: " << daemon.error().message << "\n";
        return ExitStart;
    }
    daemon.value()->run(settingsFile);
    return ExitOk;
}

} // namespace

int main(int argc, char **argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    options::options_description description("cardamomliftd [options]\n\nServes callers on this VM. Options");
    description.add_options()("help", "print this text")("version", "print the version")("config",
        options::value<std::string>(),
        "settings file (JSON with comments)")("check-config", "check the settings and exit: 0 if they are right, 3 if not");
    options::variables_map values;
    try {
        // There are no positional arguments: a stray one is an error.
        const options::positional_options_description none;
        options::store(options::command_line_parser(argc, argv).options(description).positional(none).run(), values);
    } catch (const options::error &error) {
        std::cerr << "cardamomliftd: " << error.what() << "\n" << description;
        return ExitUsage;
    }
    if (values.count("help")) {
        std::cout << description;
        return ExitOk;
    }
    if (values.count("version")) {
        std::cout << "cardamomliftd " << CARDAMOMLIFT_VERSION << "\n";
        return ExitOk;
    }
    const std::string path = settingsPath(values);
    if (path.empty() && values.count("check-config")) {
        std::cerr << "cardamomliftd: --check-config needs a settings file. Name it with --config or in " << SettingsVariable << ".\n";
        return ExitUsage;
    }
    if (path.empty()) {
        return runDaemon(cardamomlift::settings::standaloneSettings(), {});
    }
    auto settings = loadSettings(path);
    if (!settings) {
        return ExitSettings;
    }
    if (values.count("check-config")) {
        return ExitOk;
    }
    return runDaemon(std::move(*settings), path);
}
