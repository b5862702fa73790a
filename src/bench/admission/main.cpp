// Admission under overload and limits under an uneven balancer, beside baselines in the same run. Deterministic: on a
// manual clock with fixed seeds. With --check it compares what it measured with bench/baselines/admission.json.

#include "fleetlimits.h"
#include "http/json.h"
#include "kernel/log.h"
#include "overload.h"

#include <fmt/format.h>

#include <fstream>
#include <iostream>
#include <sstream>

namespace {

using namespace cardamomlift;
using namespace cardamomlift::bench;

constexpr char BaselineFile[] = "bench/baselines/admission.json";
constexpr double Load = 2;

/// Figures by name, as the baseline file has them: "<figure>": {"atLeast": …} or {"atMost": …}.
using Figures = std::map<std::string, double>;

double share(int part, int whole)
{
    return whole > 0 ? static_cast<double>(part) / whole : 0;
}

std::string refusalsOf(const ClassResult &result)
{
    std::string text;
    for (const auto &[reason, count] : result.refused) {
        text += fmt::format(" {}={}", reason, count);
    }
    return text;
}

void printOverload(Figures &figures)
{
    fmt::print("Overload x{}: share on time by class, refusals by reason, useful tokens\n", Load);
    for (const Mix &mix : usersMixes()) {
        for (const Strategy strategy : {Strategy::Ours, Strategy::Fifo, Strategy::Open}) {
            const OverloadResult result = runOverload(mix, strategy, Load);
            for (const TrafficClass &traffic : mix.classes) {
                const ClassResult &entry = result.classes.at(traffic.serviceClass.name);
                const double onTime = share(entry.onTime, entry.asked);
                fmt::print("  {:<11} {:<5} {:<9} asked {:>5} on time {:.3f} late {:>5}{}\n",
                    mix.name,
                    strategyName(strategy),
                    traffic.serviceClass.name,
                    entry.asked,
                    onTime,
                    entry.late,
                    refusalsOf(entry));
                figures[fmt::format("{}.{}.{}.onTime", mix.name, strategyName(strategy), traffic.serviceClass.name)] = onTime;
            }
            fmt::print("  {:<11} {:<5} useful tokens {}\n", mix.name, strategyName(strategy), result.usefulTokens);
            figures[fmt::format("{}.{}.usefulTokens", mix.name, strategyName(strategy))] = static_cast<double>(result.usefulTokens);
        }
    }
}

void printLimits(Figures &figures)
{
    fmt::print("Limits of one customer over eight VMs, 70% of the requests at one\n");
    for (const double load : {0.9, 2.0}) {
        for (const Sharing sharing : {Sharing::Ours, Sharing::StaticSplit, Sharing::Unshared}) {
            const LimitsResult result = runLimits(sharing, load);
            const double refused = share(result.asked - result.admitted, result.asked);
            const double ofLimit = result.admitted / result.allowed;
            fmt::print("  load {:.1f} {:<12} asked {:>5} admitted {:>5} refused {:.3f} admitted/limit {:.3f}",
                load,
                sharingName(sharing),
                result.asked,
                result.admitted,
                refused,
                ofLimit);
            if (sharing == Sharing::Ours) {
                fmt::print(" messages {} payload bytes {}", result.messages, result.bytes);
                figures[fmt::format("limits.ours.{:.1f}.messagesPerRequest", load)] = static_cast<double>(result.messages) / result.asked;
            }
            fmt::print("\n");
            figures[fmt::format("limits.{}.{:.1f}.refused", sharingName(sharing), load)] = refused;
            figures[fmt::format("limits.{}.{:.1f}.ofLimit", sharingName(sharing), load)] = ofLimit;
        }
    }
}

/// Compares with the bounds; says whether all hold.
bool check(const Figures &figures, const std::string &file)
{
    std::ifstream input(file);
    std::stringstream text;
    text << input.rdbuf();
    const auto baseline = http::parseJson(text.str());
    if (!baseline || !baseline->isObject() || baseline->empty()) {
        fmt::print("The baseline {} can't be read.\n", file);
        return false;
    }
    bool holds = true;
    for (const std::string &name : baseline->getMemberNames()) {
        const Json::Value &bound = (*baseline)[name];
        const auto figure = figures.find(name);
        const bool isMeasured = figure != figures.end();
        const bool isLow = isMeasured && bound.isMember("atLeast") && figure->second < bound["atLeast"].asDouble();
        const bool isHigh = isMeasured && bound.isMember("atMost") && figure->second > bound["atMost"].asDouble();
        if (!isMeasured || isLow || isHigh) {
            fmt::print("BROKEN {}: {} against {}\n", name, isMeasured ? fmt::format("{:.4f}", figure->second) : "not measured", http::writeJson(bound));
            holds = false;
        }
    }
    fmt::print("{} bounds, {}\n", baseline->size(), holds ? "all hold" : "not all hold");
    return holds;
}

} // namespace

int main(int argc, char **argv)
{
    setLogLevel("error");
    Figures figures;
    printOverload(figures);
    printLimits(figures);
    const bool wantsCheck = argc > 1 && std::string_view(argv[1]) == "--check";
    const std::string file = argc > 2 ? argv[2] : BaselineFile;
    return !wantsCheck || check(figures, file) ? 0 : 1;
}
