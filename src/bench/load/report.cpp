#include "bench/load/report.h"

#include <fmt/format.h>

#include <algorithm>

namespace cardamomlift::bench {

namespace {

constexpr double MicrosecondsPerMillisecond = 1000.0;
constexpr double MicrosecondsPerSecond = 1e6;
constexpr double BytesPerMegabyte = 1024.0 * 1024.0;
constexpr double Median = 0.5;
constexpr double P95 = 0.95;
constexpr double P99 = 0.99;

double toMilliseconds(Duration duration)
{
    return static_cast<double>(duration.count()) / MicrosecondsPerMillisecond;
}

/// The quantile of unsorted @p samples in milliseconds; 0 if there are none.
double quantile(std::vector<Duration> samples, double part)
{
    if (samples.empty()) {
        return 0;
    }
    const auto index = static_cast<std::size_t>(part * static_cast<double>(samples.size() - 1));
    std::nth_element(samples.begin(), samples.begin() + static_cast<std::ptrdiff_t>(index), samples.end());
    return toMilliseconds(samples[index]);
}

double ratio(double part, double whole)
{
    return whole > 0 ? part / whole : 0;
}

/// Everything of one path in one result. Services are left out of the samples: their times are of whole answers.
KindResult sumOf(const LoadResult &result, Path path)
{
    KindResult sum;
    const std::vector<KindResult> &kinds = result.results.at(path);
    for (std::size_t i = 0; i < kinds.size(); i++) {
        const KindResult &kind = kinds[i];
        sum.offered += kind.offered;
        sum.accepted += kind.accepted;
        sum.whole += kind.whole;
        sum.onTime += kind.onTime;
        sum.failed += kind.failed;
        sum.broken += kind.broken;
        sum.tokens += kind.tokens;
        sum.wrongTokens += kind.wrongTokens;
        sum.missingTokens += kind.missingTokens;
        sum.resumes += kind.resumes;
        sum.reroutes += kind.reroutes;
        for (const auto &[reason, count] : kind.refusals) {
            sum.refusals[reason] += count;
        }
        if (result.kinds[i].form == CallForm::Stream) {
            sum.firstTokens.insert(sum.firstTokens.end(), kind.firstTokens.begin(), kind.firstTokens.end());
            sum.gaps.insert(sum.gaps.end(), kind.gaps.begin(), kind.gaps.end());
        }
    }
    return sum;
}

/// The sum of all totals whose name is @p name, with or without labels.
double totalOf(const PageTotals &totals, std::string_view name)
{
    double sum = 0;
    for (const auto &[full, value] : totals) {
        const std::string_view bare = std::string_view(full).substr(0, full.find('{'));
        sum += bare == name ? value : 0;
    }
    return sum;
}

void addLatencies(const std::string &prefix, const KindResult &sum, Figures &figures)
{
    figures[prefix + "first_token_p50_ms"] = quantile(sum.firstTokens, Median);
    figures[prefix + "first_token_p95_ms"] = quantile(sum.firstTokens, P95);
    figures[prefix + "first_token_p99_ms"] = quantile(sum.firstTokens, P99);
    figures[prefix + "between_p50_ms"] = quantile(sum.gaps, Median);
    figures[prefix + "between_p95_ms"] = quantile(sum.gaps, P95);
    figures[prefix + "between_p99_ms"] = quantile(sum.gaps, P99);
}

void addDaemonFigures(const LoadResult &result, const KindResult &sum, Figures &figures)
{
    if (result.metrics.empty()) {
        return;
    }
    const double attempts = totalOf(result.metrics, "cardamomlift_attempts_total");
    const double cpu = totalOf(result.metrics, "cardamomlift_process_cpu_seconds_total");
    figures["attempts_per_request"] = ratio(attempts, static_cast<double>(sum.accepted));
    figures["daemon_cpu_us_per_token"] = ratio(cpu * MicrosecondsPerSecond, static_cast<double>(sum.tokens));
    figures["daemon_cpu_us_per_request"] = ratio(cpu * MicrosecondsPerSecond, static_cast<double>(sum.whole));
    figures["daemon_peak_resident_mb"] = result.peakResidentBytes / BytesPerMegabyte;
    figures["peak_tokens_per_second"] = result.peakTokensPerSecond;
    figures["daemon_cpu_cores"] = ratio(cpu * MicrosecondsPerSecond, static_cast<double>(result.elapsed.count()));
    figures["table_writes_per_request"] = ratio(totalOf(result.metrics, "cardamomlift_table_write_requests_total"), static_cast<double>(sum.accepted));
    for (const auto &[name, value] : result.metrics) {
        if (value > 0 && (name.starts_with("cardamomlift_refusals_total") || name.starts_with("cardamomlift_retries_total"))) {
            figures[name.substr(name.find('_') + 1)] = value;
        }
    }
}

/// How much later the system's quantile is than the direct one, kind by kind, weighted by the direct requests: prompts of
/// other kinds have other lengths.
double added(const LoadResult &result, std::vector<Duration> KindResult::*samples, double part)
{
    double sum = 0;
    double weight = 0;
    for (std::size_t i = 0; i < result.kinds.size(); i++) {
        const KindResult &system = result.results.at(Path::System)[i];
        const KindResult &direct = result.results.at(Path::Direct)[i];
        if (system.whole == 0 || direct.whole == 0) {
            continue;
        }
        const auto count = static_cast<double>(direct.whole);
        sum += count * (quantile(system.*samples, part) - quantile(direct.*samples, part));
        weight += count;
    }
    return ratio(sum, weight);
}

std::string kindLine(const std::string &name, const char *path, const KindResult &kind)
{
    const double onTime = ratio(static_cast<double>(kind.onTime), static_cast<double>(kind.offered));
    return fmt::format("{:<22}{:<8}{:>8}{:>9}{:>7}{:>8.3f}{:>7}{:>7}{:>8}{:>9.2f}{:>9.2f}{:>9.2f}{:>9.2f}\n",
        name,
        path,
        kind.offered,
        kind.accepted,
        kind.whole,
        onTime,
        kind.broken,
        kind.wrongTokens,
        kind.missingTokens,
        quantile(kind.firstTokens, Median),
        quantile(kind.firstTokens, P99),
        quantile(kind.gaps, Median),
        quantile(kind.gaps, P99));
}

} // namespace

Figures figuresOf(const LoadResult &result)
{
    Figures figures;
    const KindResult sum = sumOf(result, Path::System);
    const auto offered = static_cast<double>(sum.offered);
    figures["offered"] = offered;
    figures["accepted"] = static_cast<double>(sum.accepted);
    figures["whole"] = static_cast<double>(sum.whole);
    figures["whole_of_accepted"] = ratio(static_cast<double>(sum.whole), static_cast<double>(sum.accepted));
    figures["accepted_of_offered"] = ratio(static_cast<double>(sum.accepted), offered);
    figures["on_time_share"] = ratio(static_cast<double>(sum.onTime), offered);
    figures["failed"] = static_cast<double>(sum.failed);
    figures["broken"] = static_cast<double>(sum.broken);
    figures["wrong_tokens"] = static_cast<double>(sum.wrongTokens);
    figures["missing_tokens"] = static_cast<double>(sum.missingTokens);
    figures["resumes"] = static_cast<double>(sum.resumes);
    figures["reroutes"] = static_cast<double>(sum.reroutes);
    const double seconds = static_cast<double>(result.elapsed.count()) / MicrosecondsPerSecond;
    figures["tokens_per_second"] = ratio(static_cast<double>(sum.tokens), seconds);
    figures["requests_per_second"] = ratio(static_cast<double>(sum.whole), seconds);
    addLatencies("", sum, figures);
    addDaemonFigures(result, sum, figures);
    const double made = totalOf(result.engines, "tokens");
    if (made > 0) {
        figures["recomputed_share"] = totalOf(result.engines, "continuedTokens") / made;
    }
    const KindResult direct = sumOf(result, Path::Direct);
    if (direct.offered > 0) {
        addLatencies("direct_", direct, figures);
        figures["added_first_token_p50_ms"] = added(result, &KindResult::firstTokens, Median);
        figures["added_first_token_p99_ms"] = added(result, &KindResult::firstTokens, P99);
        figures["added_between_p50_ms"] = added(result, &KindResult::gaps, Median);
        figures["added_between_p99_ms"] = added(result, &KindResult::gaps, P99);
    }
    return figures;
}

std::string reportTable(const LoadResult &result, const Figures &figures)
{
    std::string text = fmt::format("{:<22}{:<8}{:>8}{:>9}{:>7}{:>8}{:>7}{:>7}{:>8}{:>9}{:>9}{:>9}{:>9}\n",
        "kind",
        "path",
        "offered",
        "accepted",
        "whole",
        "ontime",
        "broken",
        "wrong",
        "missing",
        "ttft50ms",
        "ttft99ms",
        "gap50ms",
        "gap99ms");
    for (const auto &[path, kinds] : result.results) {
        for (std::size_t i = 0; i < kinds.size(); i++) {
            if (kinds[i].offered > 0) {
                text += kindLine(result.kinds[i].name, path == Path::System ? "system" : "direct", kinds[i]);
            }
        }
    }
    for (const auto &[reason, count] : sumOf(result, Path::System).refusals) {
        text += fmt::format("not whole: {:<40}{:>8}\n", reason.empty() ? "(no reason)" : reason, count);
    }
    for (const auto &[name, value] : figures) {
        text += fmt::format("{:<60}{:>14.4f}\n", name, value);
    }
    return text;
}

Json::Value figuresToJson(const Figures &figures)
{
    Json::Value json(Json::objectValue);
    for (const auto &[name, value] : figures) {
        json[name] = value;
    }
    return json;
}

std::string checkBounds(const Figures &figures, const Json::Value &bounds, bool &holds)
{
    std::string text;
    for (const std::string &name : bounds.getMemberNames()) {
        const Json::Value &bound = bounds[name];
        const auto found = figures.find(name);
        const bool isMissing = found == figures.end();
        const bool isLow = !isMissing && bound.isMember("least") && found->second < bound["least"].asDouble();
        const bool isHigh = !isMissing && bound.isMember("most") && found->second > bound["most"].asDouble();
        const bool isBroken = isMissing || isLow || isHigh;
        holds = holds && !isBroken;
        const std::string least = bound.isMember("least") ? fmt::format(" least {}", bound["least"].asDouble()) : "";
        const std::string most = bound.isMember("most") ? fmt::format(" most {}", bound["most"].asDouble()) : "";
        text += fmt::format("{:<7}{:<40}{:>12.4f}{}{}\n", isBroken ? "BROKEN" : "ok", name, isMissing ? 0.0 : found->second, least, most);
    }
    return text;
}

} // namespace cardamomlift::bench
