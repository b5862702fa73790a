#include "cli/commands.h"
#include "http/json.h"

#include <fmt/format.h>

#include <algorithm>
#include <fstream>
#include <iostream>
#include <set>

namespace cardamomlift::cli {

namespace {

constexpr double MicrosecondsPerSecond = 1e6;

/// One line of a structured log.
struct LogLine {
    double at = 0; ///< Seconds since 1970, by the clock of its VM.
    Json::Value json;
};

/// The lines of some files, and how many could not be read.
struct LogLines {
    std::vector<LogLine> lines;
    std::size_t bad = 0;
    std::string firstBad; ///< "file:line" of the first.
};

/// Events that tell what a VM knows, beside those of single requests.
bool isBelief(const std::string &event)
{
    return !event.starts_with("request_") && event != "attempt_failed";
}

/// Some collectors put a time or a name before the line; the JSON object begins at its first brace.
std::optional<LogLine> parseLine(const std::string &text)
{
    const auto brace = text.find('{');
    const auto json = brace == std::string::npos ? std::nullopt : http::parseJson(std::string_view(text).substr(brace));
    if (!json || !json->isObject() || !(*json)["event"].isString() || !(*json)["at_us"].isNumeric()) {
        return std::nullopt;
    }
    return LogLine{(*json)["at_us"].asDouble() / MicrosecondsPerSecond, *json};
}

bool readLog(const std::string &path, LogLines &result)
{
    std::ifstream file(path);
    if (!file) {
        std::cerr << path << ": can't be read.\n";
        return false;
    }
    std::string text;
    for (std::size_t number = 1; std::getline(file, text); number++) {
        if (auto line = parseLine(text)) {
            result.lines.push_back(std::move(*line));
        } else if (!text.empty()) {
            result.firstBad = result.bad++ == 0 ? fmt::format("{}:{}", path, number) : result.firstBad;
        }
    }
    return true;
}

void printLine(const LogLine &line, double start)
{
    std::string out = fmt::format("{:+10.3f} s  {:<28} {:<20}", line.at - start, line.json["vm"].asString(), line.json["event"].asString());
    const std::set<std::string> shown{"event", "vm", "at_us", "up_us"};
    for (const std::string &name : line.json.getMemberNames()) {
        if (!shown.contains(name)) {
            out += fmt::format(" {}={}", name, line.json[name].asString());
        }
    }
    std::cout << out << "\n";
}

void printBad(const LogLines &log)
{
    if (log.bad > 0) {
        std::cout << fmt::format("{} lines are no structured log lines, the first at {}.\n", log.bad, log.firstBad);
    }
}

/// The last of each kind of belief that each VM named in @p vms logged before @p end.
void printBeliefs(const LogLines &log, const std::set<std::string> &vms, double end, double start)
{
    std::map<std::pair<std::string, std::string>, const LogLine *> newest;
    for (const LogLine &line : log.lines) {
        if (line.at <= end && vms.contains(line.json["vm"].asString()) && isBelief(line.json["event"].asString())) {
            newest[{line.json["vm"].asString(), line.json["event"].asString()}] = &line;
        }
    }
    std::cout << "What these VMs knew then (the newest of each kind):\n";
    for (const auto &[key, line] : newest) {
        printLine(*line, start);
    }
}

int explainRequest(const LogLines &log, const std::string &id)
{
    std::set<std::string> vms;
    std::vector<const LogLine *> way;
    for (const LogLine &line : log.lines) {
        if (line.json["request"].asString() == id) {
            way.push_back(&line);
            vms.insert(line.json["vm"].asString());
        }
    }
    if (way.empty()) {
        std::cout << "No line names request " << id << ". It may not have been read, or its lines were dropped.\n";
        return ExitRejected;
    }
    std::cout << "The way of request " << id << ":\n";
    for (const LogLine *line : way) {
        printLine(*line, way.front()->at);
    }
    printBeliefs(log, vms, way.back()->at, way.front()->at);
    return ExitOk;
}

int explainSpan(const LogLines &log, double from, double to)
{
    for (const LogLine &line : log.lines) {
        if (line.at >= from && line.at <= to && isBelief(line.json["event"].asString())) {
            printLine(line, from);
        }
    }
    return ExitOk;
}

} // namespace

int explain(const CommandLine &line)
{
    const bool isSpan = line.toSeconds > 0;
    const std::size_t firstFile = isSpan ? 0 : 1;
    if (line.arguments.size() <= firstFile) {
        std::cerr << "explain needs the id of a request and at least one log file; or log files with --from and --to.\n";
        return ExitUsage;
    }
    LogLines log;
    for (std::size_t i = firstFile; i < line.arguments.size(); i++) {
        if (!readLog(line.arguments[i], log)) {
            return ExitUsage;
        }
    }
    std::stable_sort(log.lines.begin(), log.lines.end(), [](const LogLine &a, const LogLine &b) { return a.at < b.at; });
    const int result = isSpan ? explainSpan(log, line.fromSeconds, line.toSeconds) : explainRequest(log, line.arguments[0]);
    printBad(log);
    return result;
}

} // namespace cardamomlift::cli
