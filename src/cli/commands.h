#pragma once

#include "cli/operatorclient.h"

#include <string>
#include <vector>

namespace cardamomlift::cli {

/// Exit codes of the tool.
enum ExitCode {
    ExitOk = 0,
    ExitRejected = 1, ///< The edit has findings, or needs --confirm.
    ExitUsage = 2,
    ExitConflict = 3, ///< Another edit came first.
    ExitUnavailable = 4, ///< No daemon answered, or the table is down.
};

/// What the commands need from the command line.
struct CommandLine {
    std::string command;
    std::vector<std::string> arguments;
    std::string author;
    bool confirm = false;
    std::int64_t base = -1; ///< The version the edit starts from; -1: the newest the daemon knows.
};

/// Checks a contract file; the daemon refuses just what this refuses.
int checkFile(const CommandLine &line);
/// Prints the hash of an API key read from standard input.
int hashKey();
/// Runs a command that needs a daemon.
int runCommand(OperatorClient &client, const CommandLine &line);

} // namespace cardamomlift::cli
