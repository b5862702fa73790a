#include "cli/commands.h"
#include "cli/operatorclient.h"

#include <boost/program_options.hpp>

#include <csignal>
#include <fstream>
#include <iostream>
#include <sstream>

namespace {

namespace options = boost::program_options;
using namespace cardamomlift;

constexpr char Usage[] = R"(cardamomlift [options] COMMAND [arguments]

Commands (PATH: a contract file, or a directory of them):
  check PATH                 check contracts, without a daemon
  diff PATH                  what PATH would change
  apply PATH                 put the contracts that differ in force; says where they are
  show CUSTOMER              the contract in force, as it was written
  history CUSTOMER           who changed what, and when
  revert CUSTOMER [VERSION]  apply an earlier version again (the one before, if none is named)
  where CUSTOMER             on which VMs the newest version is in force
  status                     what is in force on each daemon named
  explain ID LOGFILE...      the way of a request through the VMs whose structured logs these are
  explain LOGFILE... --from S --to S   what the VMs believed in that span (seconds since 1970)
  hash-key                   the hash of an API key read from standard input

Exit codes: 0 done; 1 the contract has findings, or needs --confirm; 2 wrong use; 3 another edit came first; 4 no
daemon could do it; 5 accepted or asked about, but not yet in force everywhere.

Options)";

std::string readToken(const options::variables_map &values)
{
    if (!values.count("token-file")) {
        return {};
    }
    std::ifstream file(values["token-file"].as<std::string>());
    std::string token;
    std::getline(file, token);
    return token;
}

std::string readAuthority(const options::variables_map &values)
{
    if (!values.count("ca-file")) {
        return {};
    }
    std::ifstream file(values["ca-file"].as<std::string>());
    std::stringstream text;
    text << file.rdbuf();
    return text.str();
}

cli::CommandLine readLine(const options::variables_map &values)
{
    cli::CommandLine line;
    line.command = values["command"].as<std::string>();
    if (values.count("argument")) {
        line.arguments = values["argument"].as<std::vector<std::string>>();
    }
    line.author = values["author"].as<std::string>();
    line.confirm = values.count("confirm") > 0;
    line.base = values["base"].as<std::int64_t>();
    line.fromSeconds = values["from"].as<double>();
    line.toSeconds = values["to"].as<double>();
    line.revision = values["revision"].as<std::int64_t>();
    return line;
}

int runRemote(const options::variables_map &values, const cli::CommandLine &line)
{
    if (!values.count("daemon")) {
        std::cerr << "Name at least one daemon with --daemon http://ADDRESS:PORT.\n";
        return cli::ExitUsage;
    }
    auto client = cli::OperatorClient::create(values["daemon"].as<std::vector<std::string>>(), readToken(values), readAuthority(values));
    if (!client) {
        std::cerr << client.error().message << "\n";
        return cli::ExitUnavailable;
    }
    return cli::runCommand(*client.value(), line);
}

} // namespace

int main(int argc, char **argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    const char *user = std::getenv("USER");
    options::options_description visible(Usage);
    visible.add_options()("help", "print this text")("version", "print the version");
    visible.add_options()("daemon", options::value<std::vector<std::string>>(), "a daemon's operators' port; may be repeated, tried in order");
    visible.add_options()("token-file", options::value<std::string>(), "file with the operators' token");
    visible.add_options()("ca-file", options::value<std::string>(), "authority of https daemons (PEM)");
    visible.add_options()("author", options::value<std::string>()->default_value(user ? user : "unknown"), "name kept in the history");
    visible.add_options()(
        "base", options::value<std::int64_t>()->default_value(-1), "version the edit starts from; -1: the newest, if it is by the same author");
    visible.add_options()("revision", options::value<std::int64_t>()->default_value(-1), "with status: is this revision in force?");
    visible.add_options()("from", options::value<double>()->default_value(0), "with explain: begin of the span");
    visible.add_options()("to", options::value<double>()->default_value(0), "with explain: end of the span");
    visible.add_options()("confirm", "apply although the edit looks like a slip");
    options::options_description all;
    all.add(visible).add_options()("command", options::value<std::string>())("argument", options::value<std::vector<std::string>>());
    options::positional_options_description positions;
    positions.add("command", 1).add("argument", -1);
    options::variables_map values;
    try {
        options::store(options::command_line_parser(argc, argv).options(all).positional(positions).run(), values);
    } catch (const options::error &error) {
        std::cerr << "cardamomlift: " << error.what() << "\n";
        return cli::ExitUsage;
    }
    if (values.count("version")) {
        std::cout << "cardamomlift " << CARDAMOMLIFT_VERSION << "\n";
        return cli::ExitOk;
    }
    if (values.count("help") || !values.count("command")) {
        std::cout << visible;
        return values.count("help") ? cli::ExitOk : cli::ExitUsage;
    }
    const cli::CommandLine line = readLine(values);
    if (line.command == "check") {
        return cli::checkFiles(line);
    }
    if (line.command == "hash-key") {
        return cli::hashKey();
    }
    if (line.command == "explain") {
        return cli::explain(line);
    }
    if (!cli::needsDaemon(line.command)) {
        std::cerr << "cardamomlift: unknown command \"" << line.command << "\". See cardamomlift --help.\n";
        return cli::ExitUsage;
    }
    return runRemote(values, line);
}
