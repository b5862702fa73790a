// Tokens recomputed and the gap added to streams over reclaim waves: the decision beside two baselines.

#include "bench/recovery/wavemodel.h"
#include "http/json.h"

#include <boost/program_options.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <fstream>
#include <iostream>
#include <sstream>

namespace {

using namespace cardamomlift;
using bench::Policy;

constexpr unsigned Seed = 17;
constexpr int ExitBroken = 1;
constexpr int ExitUsage = 2;
constexpr std::array<std::pair<Policy, std::string_view>, 3> Policies{
    {{Policy::Decision, "decision"}, {Policy::AlwaysRecompute, "always-recompute"}, {Policy::NeverMove, "never-move"}}};

std::vector<bench::Wave> waves()
{
    bench::Wave usual;
    usual.name = "notice-2s";
    usual.notice = std::chrono::seconds(2);
    bench::Wave shortNotice = usual;
    shortNotice.name = "notice-0.5s";
    shortNotice.notice = std::chrono::milliseconds(500);
    bench::Wave longNotice = usual;
    longNotice.name = "notice-30s";
    longNotice.notice = std::chrono::seconds(30);
    bench::Wave slowLink = usual;
    slowLink.name = "slow-link";
    slowLink.kvBytesPerMs = 20000;
    bench::Wave largeCaches = usual;
    largeCaches.name = "large-caches";
    largeCaches.kvBytesPerToken = 131072;
    bench::Wave crash = usual;
    crash.name = "crash";
    crash.notice = Duration(0);
    return {usual, shortNotice, longNotice, slowLink, largeCaches, crash};
}

double quantile(const std::vector<double> &sorted, double share)
{
    return sorted.empty() ? 0 : sorted[static_cast<std::size_t>(share * static_cast<double>(sorted.size() - 1))];
}

std::optional<Json::Value> readBaseline(const std::string &path)
{
    std::ifstream file(path);
    std::stringstream text;
    text << file.rdbuf();
    return file ? http::parseJson(text.str()) : std::nullopt;
}

/// Compares one ratio with its bound; prints it if it is broken.
bool isWithin(const Json::Value &bounds, std::string_view wave, const char *name, double ratio)
{
    const Json::Value &bound = bounds[std::string(wave)][name];
    if (!bound.isNumeric() || ratio <= bound.asDouble()) {
        return bound.isNumeric();
    }
    std::cout << fmt::format("BROKEN {} {}: {:.3f}, bound {:.3f}\n", wave, name, ratio, bound.asDouble());
    return false;
}

/// A baseline below one token or one millisecond counts as one, so that the bound still bites.
double ratioOf(double ours, double baseline)
{
    return ours / std::max(baseline, 1.0);
}

bool runOne(const bench::Wave &wave, const Json::Value *bounds)
{
    std::array<bench::WaveResult, Policies.size()> results;
    for (std::size_t i = 0; i < Policies.size(); i++) {
        const bench::WaveResult &result = results[i] = bench::runWave(wave, Policies[i].first, Seed);
        std::cout << fmt::format("{:<13} {:<17} {:>10} {:>9.1f} {:>9.1f} {:>6} {:>5} {:>10} {:>7}\n",
            wave.name,
            Policies[i].second,
            result.recomputedTokens,
            quantile(result.gapsMs, 0.5),
            quantile(result.gapsMs, 0.95),
            result.stayed,
            result.movedKv,
            result.recomputed,
            result.broken);
    }
    if (!bounds) {
        return true;
    }
    const auto tokens = [&](std::size_t i) {
        return static_cast<double>(results[i].recomputedTokens);
    };
    const auto gap = [&](std::size_t i) {
        return quantile(results[i].gapsMs, 0.95);
    };
    const bool tokensHold = isWithin(*bounds, wave.name, "tokensToAlwaysRecompute", ratioOf(tokens(0), tokens(1)));
    const bool tokensHoldNever = isWithin(*bounds, wave.name, "tokensToNeverMove", ratioOf(tokens(0), tokens(2)));
    const bool gapHolds = isWithin(*bounds, wave.name, "gap95ToAlwaysRecompute", ratioOf(gap(0), gap(1)));
    const bool gapHoldsNever = isWithin(*bounds, wave.name, "gap95ToNeverMove", ratioOf(gap(0), gap(2)));
    return tokensHold && tokensHoldNever && gapHolds && gapHoldsNever;
}

} // namespace

int main(int argc, char **argv)
{
    namespace options = boost::program_options;
    options::options_description description("bench-recovery [options]");
    description.add_options()("help", "print this text")("check", "compare with the baseline file; exit 1 if a bound is broken");
    description.add_options()("baseline", options::value<std::string>()->default_value("bench/baselines/recovery.json"), "bounds on ratios");
    options::variables_map values;
    try {
        options::store(options::parse_command_line(argc, argv, description), values);
    } catch (const options::error &error) {
        std::cerr << error.what() << "\n" << description;
        return ExitUsage;
    }
    if (values.count("help")) {
        std::cout << description;
        return 0;
    }
    std::optional<Json::Value> bounds;
    if (values.count("check")) {
        bounds = readBaseline(values["baseline"].as<std::string>());
        if (!bounds) {
            std::cerr << "The baseline file can't be read.\n";
            return ExitUsage;
        }
    }
    std::cout << "wave          policy            recomputed  gap-p50   gap-p95   stay    kv  recompute  broken   (tokens, ms, streams)\n";
    bool holds = true;
    for (const bench::Wave &wave : waves()) {
        holds = runOne(wave, bounds ? &*bounds : nullptr) && holds;
    }
    return holds ? 0 : ExitBroken;
}
