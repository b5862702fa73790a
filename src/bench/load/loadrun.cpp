#include "bench/load/loadrun.h"

#include "bench/load/loadcall.h"
#include "bench/load/mix.h"
#include "http/json.h"

#include <algorithm>
#include <sstream>

namespace cardamomlift::bench {

namespace {

constexpr double MostLateGaps = 0.05; ///< Of a stream that counts as on time.

constexpr Duration PagePeriod = std::chrono::seconds(1);
constexpr char MetricsPath[] = "/metrics";
constexpr char TotalsPath[] = "/totals";

/// Counters and gauges of a page in the text exposition format.
PageTotals readMetrics(const std::string &page)
{
    PageTotals totals;
    std::istringstream lines(page);
    std::string line;
    while (std::getline(lines, line)) {
        const auto space = line.rfind(' ');
        if (space != std::string::npos && !line.starts_with('#')) {
            totals[line.substr(0, space)] = std::strtod(line.c_str() + space, nullptr);
        }
    }
    return totals;
}

/// The numbers of a page that is one JSON object.
PageTotals readTotals(const std::string &page)
{
    PageTotals totals;
    const auto json = http::parseJson(page);
    if (!json || !json->isObject()) {
        return totals;
    }
    for (const std::string &name : json->getMemberNames()) {
        const Json::Value &value = (*json)[name];
        if (value.isNumeric()) {
            totals[name] = value.asDouble();
        }
    }
    return totals;
}

PageTotals growth(const PageTotals &before, const PageTotals &after)
{
    PageTotals result;
    for (const auto &[name, value] : after) {
        const auto found = before.find(name);
        result[name] = value - (found == before.end() ? 0 : found->second);
    }
    return result;
}

bool isOnTime(const RequestKind &kind, const CallOutcome &outcome)
{
    if (outcome.end != CallEnd::Whole || outcome.firstToken > kind.firstTokenBound) {
        return false;
    }
    if (kind.betweenTokensBound.count() == 0 || outcome.gaps.empty()) {
        return true;
    }
    const auto late = std::count_if(outcome.gaps.begin(), outcome.gaps.end(), [&](Duration gap) { return gap > kind.betweenTokensBound; });
    return static_cast<double>(late) <= MostLateGaps * static_cast<double>(outcome.gaps.size());
}

void addOutcome(const RequestKind &kind, const CallOutcome &outcome, KindResult &result)
{
    result.accepted += outcome.accepted ? 1 : 0;
    result.whole += outcome.end == CallEnd::Whole ? 1 : 0;
    result.onTime += isOnTime(kind, outcome) ? 1 : 0;
    result.failed += outcome.end == CallEnd::Failed ? 1 : 0;
    result.broken += outcome.end == CallEnd::Broken ? 1 : 0;
    result.tokens += outcome.tokens;
    result.wrongTokens += outcome.wrongTokens;
    result.missingTokens += outcome.missingTokens;
    result.resumes += outcome.resumes;
    result.reroutes += outcome.reroutes;
    if (outcome.end != CallEnd::Whole) {
        result.refusals[outcome.reason]++;
        return;
    }
    result.firstTokens.push_back(outcome.firstToken);
    result.gaps.insert(result.gaps.end(), outcome.gaps.begin(), outcome.gaps.end());
}

} // namespace

std::unique_ptr<LoadRun> LoadRun::create(EventLoop &loop, http::Client &client, LoadOptions options)
{
    std::unique_ptr<LoadRun> run(new LoadRun);
    run->loop_ = &loop;
    run->client_ = &client;
    run->options_ = std::move(options);
    run->random_.seed(run->options_.seed);
    run->result_.kinds = usersMix(run->options_.tokenScale);
    if (run->options_.streamsOnly) {
        run->result_.kinds = streamsOf(run->result_.kinds);
    }
    for (const Path path : {Path::System, Path::Direct}) {
        run->result_.results[path].resize(run->result_.kinds.size());
    }
    return run;
}

void LoadRun::start(std::function<void(const LoadResult &result)> onDone)
{
    onDone_ = std::move(onDone);
    readPages([this] {
        metricsBefore_ = sumOf(options_.operatorPages);
        enginesBefore_ = sumOf(options_.engines);
        watchPages();
        sendAll();
    });
}

void LoadRun::watchPages()
{
    notePeaks();
    watch_ = loop_->after(PagePeriod, [this] { readPages([this] { watchPages(); }); });
}

void LoadRun::notePeaks()
{
    for (const auto &[url, page] : pages_) {
        const auto resident = page.find("cardamomlift_process_resident_bytes");
        if (resident != page.end()) {
            result_.peakResidentBytes = std::max(result_.peakResidentBytes, resident->second);
        }
    }
    const TimePoint now = loop_->now();
    const double tokens = sumOf(options_.engines)["tokens"];
    const double seconds = std::chrono::duration<double>(now - lastTokensAt_).count();
    if (lastTokens_ > 0 && seconds > 0) {
        result_.peakTokensPerSecond = std::max(result_.peakTokensPerSecond, (tokens - lastTokens_) / seconds);
    }
    lastTokens_ = tokens;
    lastTokensAt_ = now;
}

void LoadRun::readPages(std::function<void()> handler)
{
    auto open = std::make_shared<std::size_t>(1 + options_.operatorPages.size() + options_.engines.size());
    const auto closeOne = [open, handler = std::move(handler)] {
        if (--*open == 0) {
            handler();
        }
    };
    for (const std::string &url : options_.operatorPages) {
        readPage(url + MetricsPath, closeOne);
    }
    for (const std::string &url : options_.engines) {
        readPage(url + TotalsPath, closeOne);
    }
    closeOne();
}

void LoadRun::readPage(const std::string &url, const std::function<void()> &closeOne)
{
    http::ClientRequest request;
    request.url = url;
    request.headers["Authorization"] = "Bearer " + options_.operatorToken;
    http::ClientHooks hooks;
    hooks.onDone = [this, url, closeOne](const http::ClientResult &result) {
        if (result.transport == http::Transport::Completed && result.status == 200) {
            pages_[url] = url.ends_with(TotalsPath) ? readTotals(result.body) : readMetrics(result.body);
        }
        closeOne();
    };
    client_->start(std::move(request), std::move(hooks));
}

PageTotals LoadRun::sumOf(const std::vector<std::string> &urls) const
{
    PageTotals sum;
    for (const std::string &url : urls) {
        for (const char *path : {MetricsPath, TotalsPath}) {
            const auto page = pages_.find(url + path);
            if (page == pages_.end()) {
                continue;
            }
            for (const auto &[name, value] : page->second) {
                sum[name] += value;
            }
        }
    }
    return sum;
}

void LoadRun::sendAll()
{
    startedAt_ = loop_->now();
    const std::vector<Arrival> arrivals = schedule(result_.kinds, options_);
    open_ = arrivals.size();
    if (arrivals.empty()) {
        finish();
    }
    for (const Arrival &arrival : arrivals) {
        loop_->after(arrival.at, [this, arrival] { send(arrival); });
    }
}

std::string LoadRun::anotherEntry()
{
    std::uniform_int_distribution<std::size_t> any(0, options_.entries.size() - 1);
    return options_.entries[any(random_)].url;
}

void LoadRun::send(const Arrival &arrival)
{
    CallPlan plan;
    plan.kind = result_.kinds[arrival.kind];
    plan.path = arrival.path;
    plan.number = arrival.number;
    plan.url = arrival.path == Path::System ? options_.entries[arrival.entry].url : options_.engines[arrival.number % options_.engines.size()];
    KindResult *result = &result_.results[arrival.path][arrival.kind];
    result->offered++;
    CallTools tools;
    tools.loop = loop_;
    tools.client = client_;
    tools.anotherEntry = [this] {
        return anotherEntry();
    };
    tools.onEnd = [this, kind = plan.kind, result](const CallOutcome &outcome) {
        addOutcome(kind, outcome, *result);
        if (--open_ == 0) {
            finish();
        }
    };
    LoadCall::create(std::move(tools), std::move(plan))->start();
}

void LoadRun::finish()
{
    result_.elapsed = loop_->now() - startedAt_;
    loop_->cancel(watch_);
    readPages([this] {
        result_.metrics = growth(metricsBefore_, sumOf(options_.operatorPages));
        result_.engines = growth(enginesBefore_, sumOf(options_.engines));
        onDone_(result_);
    });
}

} // namespace cardamomlift::bench
