#include "cli/commands.h"

#include "text/digest.h"

#include <algorithm>
#include <array>
#include <iostream>

namespace cardamomlift::cli {

namespace {

struct Command {
    std::string_view name;
    std::size_t leastArguments;
    int (*run)(OperatorClient &client, const CommandLine &line);
};

constexpr std::array<Command, 7> Commands{{
    {"apply", 1, &applyFiles},
    {"diff", 1, &diffFiles},
    {"show", 1, &show},
    {"history", 1, &history},
    {"revert", 1, &revert},
    {"status", 0, &status},
    {"where", 1, &where},
}};

} // namespace

int hashKey()
{
    std::string key;
    std::getline(std::cin, key);
    std::cout << text::sha256Hex(key) << "\n";
    return ExitOk;
}

bool needsDaemon(std::string_view command)
{
    return std::any_of(Commands.begin(), Commands.end(), [command](const Command &known) { return known.name == command; });
}

int runCommand(OperatorClient &client, const CommandLine &line)
{
    for (const Command &command : Commands) {
        if (command.name != line.command) {
            continue;
        }
        if (line.arguments.size() < command.leastArguments) {
            std::cerr << line.command << " needs " << command.leastArguments << " argument(s).\n";
            return ExitUsage;
        }
        return command.run(client, line);
    }
    std::cerr << "Unknown command \"" << line.command << "\".\n";
    return ExitUsage;
}

} // namespace cardamomlift::cli
