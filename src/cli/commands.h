#pragma once

#include "cli/operatorclient.h"
#include "contract/contracttypes.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cardamomlift::cli {

/// Exit codes of the tool. Of several contracts in one call the highest counts.
enum ExitCode {
    ExitOk = 0,
    ExitRejected = 1, ///< The edit has findings, or needs --confirm.
    ExitUsage = 2,
    ExitConflict = 3, ///< Another edit came first.
    ExitUnavailable = 4, ///< No daemon answered, or the table is down.
    ExitNotEverywhere = 5, ///< Accepted, but not yet in force on every entry VM of the list.
};

/// What the commands need from the command line.
struct CommandLine {
    std::string command;
    std::vector<std::string> arguments;
    std::string author;
    bool confirm = false;
    std::int64_t base = -1; ///< The version the edit starts from; -1: the newest, if the same author wrote it.
    double fromSeconds = 0; ///< For explain: the span, in seconds since 1970.
    double toSeconds = 0;
    std::int64_t revision = -1; ///< For status: the revision asked about; -1: none.
};

/// Checks a contract file or a directory of them; the daemon refuses just what this refuses.
int checkFiles(const CommandLine &line);
/// Prints the hash of an API key read from standard input.
int hashKey();
/// Prints the way of a request, or what the VMs believed in a span of time, from files of structured log lines.
int explain(const CommandLine &line);
/// True for the commands that runCommand() runs.
bool needsDaemon(std::string_view command);
/// Runs a command that needs a daemon.
int runCommand(OperatorClient &client, const CommandLine &line);

// Commands that change or compare contracts.
int applyFiles(OperatorClient &client, const CommandLine &line);
int diffFiles(OperatorClient &client, const CommandLine &line);
int revert(OperatorClient &client, const CommandLine &line);

// Commands that only look.
int show(OperatorClient &client, const CommandLine &line);
int history(OperatorClient &client, const CommandLine &line);
int status(OperatorClient &client, const CommandLine &line);
int where(OperatorClient &client, const CommandLine &line);

/// The newest version of @p customer; version 0 if there is none; empty, and said so, if no daemon answered.
std::optional<contract::ContractVersion> newestVersion(OperatorClient &client, const std::string &customer);
/// Up to @p most versions of @p customer after version @p after.
std::optional<std::vector<contract::ContractVersion>> versionsAfter(OperatorClient &client, const std::string &customer, std::uint64_t after, std::size_t most);
contract::Contract parseStored(const contract::ContractVersion &version);
std::string formatTime(std::int64_t milliseconds);
int reportUnavailable(const OperatorAnswer &answer);
/// Prints the list of VMs of an answer; says whether the revision is in force at all of them.
bool printWhere(const Json::Value &answer);

} // namespace cardamomlift::cli
