// The load tool: open-loop arrivals of both users' mixes against entry VMs, every token checked.

#include "bench/load/loadrun.h"
#include "bench/load/report.h"
#include "http/json.h"

#include <boost/program_options.hpp>

#include <csignal>
#include <fstream>
#include <iostream>
#include <optional>
#include <sstream>

namespace {

using namespace cardamomlift;
namespace options = boost::program_options;

constexpr int ExitBoundBroken = 1;
constexpr int ExitUsage = 2;
constexpr double MicrosecondsPerSecond = 1e6;

options::options_description describe()
{
    using Texts = std::vector<std::string>;
    options::options_description text("bench-load [options]\n\nOptions");
    auto add = text.add_options();
    add("help", "print this text");
    add("entry", options::value<Texts>()->composing(), "an entry VM, URL or URL=WEIGHT; repeat");
    add("operators", options::value<Texts>()->composing(), "operators' URL of a daemon, to read its counters; repeat");
    add("token", options::value<std::string>()->default_value("operator-token"), "the operators' token");
    add("engine", options::value<Texts>()->composing(), "a model engine, to read its totals and for direct calls; repeat");
    add("rate", options::value<double>()->default_value(50), "requests a second");
    add("seconds", options::value<double>()->default_value(10), "length of the schedule");
    add("direct", options::value<double>()->default_value(0), "share of the streams that go straight to the engines");
    add("token-scale", options::value<double>()->default_value(1), "factor on the lengths of answers");
    add("seed", options::value<std::uint64_t>()->default_value(1), "seed of the schedule");
    add("streams-only", "no calls of plain services");
    add("bounds", options::value<std::string>(), "file of bounds; exit code 1 if one is broken");
    add("json", options::value<std::string>(), "file to write the figures to");
    return text;
}

std::vector<std::string> texts(const options::variables_map &values, const char *name)
{
    return values.count(name) ? values[name].as<std::vector<std::string>>() : std::vector<std::string>();
}

bench::EntryTarget readEntry(const std::string &text)
{
    const auto equals = text.find('=');
    if (equals == std::string::npos) {
        return {text, 1};
    }
    return {text.substr(0, equals), std::strtod(text.c_str() + equals + 1, nullptr)};
}

bench::LoadOptions readOptions(const options::variables_map &values)
{
    bench::LoadOptions load;
    for (const std::string &text : texts(values, "entry")) {
        load.entries.push_back(readEntry(text));
    }
    load.operatorPages = texts(values, "operators");
    load.operatorToken = values["token"].as<std::string>();
    load.engines = texts(values, "engine");
    load.requestsPerSecond = values["rate"].as<double>();
    load.duration = Duration(static_cast<std::int64_t>(values["seconds"].as<double>() * MicrosecondsPerSecond));
    load.directShare = load.engines.empty() ? 0 : values["direct"].as<double>();
    load.tokenScale = values["token-scale"].as<double>();
    load.seed = values["seed"].as<std::uint64_t>();
    load.streamsOnly = values.count("streams-only") > 0;
    return load;
}

std::optional<Json::Value> readBounds(const std::string &path)
{
    std::ifstream file(path);
    std::stringstream text;
    text << file.rdbuf();
    return http::parseJson(text.str());
}

/// Prints the report, writes the file, checks the bounds.
int report(const bench::LoadResult &result, const options::variables_map &values)
{
    const bench::Figures figures = bench::figuresOf(result);
    std::cout << bench::reportTable(result, figures);
    if (values.count("json")) {
        std::ofstream(values["json"].as<std::string>()) << http::writeJson(bench::figuresToJson(figures)) << "\n";
    }
    if (!values.count("bounds")) {
        return 0;
    }
    const auto bounds = readBounds(values["bounds"].as<std::string>());
    if (!bounds || !bounds->isObject()) {
        std::cerr << "bench-load: the bounds are not a JSON object.\n";
        return ExitUsage;
    }
    bool holds = true;
    std::cout << bench::checkBounds(figures, *bounds, holds);
    return holds ? 0 : ExitBoundBroken;
}

int run(const options::variables_map &values)
{
    static const SystemClock RunClock;
    auto loop = EventLoop::create(RunClock);
    if (!loop) {
        std::cerr << loop.error().message << "\n";
        return ExitUsage;
    }
    auto client = http::Client::create(*loop.value());
    if (!client) {
        std::cerr << client.error().message << "\n";
        return ExitUsage;
    }
    int exitCode = 0;
    auto load = bench::LoadRun::create(*loop.value(), *client.value(), readOptions(values));
    load->start([&](const bench::LoadResult &result) {
        exitCode = report(result, values);
        loop.value()->stop();
    });
    loop.value()->run();
    return exitCode;
}

} // namespace

int main(int argc, char **argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    const options::options_description description = describe();
    options::variables_map values;
    try {
        options::store(options::parse_command_line(argc, argv, description), values);
    } catch (const options::error &error) {
        std::cerr << "bench-load: " << error.what() << "\n" << description;
        return ExitUsage;
    }
    if (values.count("help")) {
        std::cout << description;
        return 0;
    }
    if (!values.count("entry")) {
        std::cerr << "bench-load: name at least one --entry.\n";
        return ExitUsage;
    }
    return run(values);
}
