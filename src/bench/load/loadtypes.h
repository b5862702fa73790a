#pragma once

#include "kernel/clock.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace cardamomlift::bench {

/// The interface a request uses.
enum class CallForm {
    Stream, ///< A chat completion with `stream`.
    Service, ///< A call of a plain service.
};

/// Which way a request goes.
enum class Path {
    System, ///< Through an entry VM.
    Direct, ///< Straight to a model engine: the baseline of added latency.
};

/// One sort of request of a user's mix, and what its contract promises.
struct RequestKind {
    std::string name;
    CallForm form = CallForm::Stream;
    std::string credential;
    std::string target; ///< The model, or the path of the service.
    double share = 0; ///< Of all arrivals of the mix.
    std::size_t prefixBytes = 0; ///< Length of the system message; requests of one workspace share it.
    std::int64_t maxTokens = 0;
    bool idempotent = true;
    Duration firstTokenBound{0}; ///< Of a service call: the bound of the whole answer.
    Duration betweenTokensBound{0};
};

/// One entry VM as the balancer sees it.
struct EntryTarget {
    std::string url;
    double weight = 1;
};

/// Where the load goes, how much of it and for how long.
struct LoadOptions {
    std::vector<EntryTarget> entries;
    std::vector<std::string> operatorPages; ///< Base URLs whose /metrics are summed.
    std::string operatorToken;
    std::vector<std::string> engines; ///< Base URLs whose /totals are summed, and targets of direct calls.
    double requestsPerSecond = 50;
    Duration duration = std::chrono::seconds(10);
    double directShare = 0; ///< Of the streams.
    double tokenScale = 1; ///< Factor on every kind's maxTokens.
    std::uint64_t seed = 1;
    bool streamsOnly = false;
};

/// One request of the open-loop schedule.
struct Arrival {
    Duration at{0}; ///< After the start of the run.
    std::size_t kind = 0;
    std::size_t entry = 0;
    Path path = Path::System;
    std::uint64_t number = 0;
};

/// How a request ended for its caller.
enum class CallEnd {
    Whole, ///< Every token, or the whole answer of a service.
    Refused, ///< A clear refusal before acceptance.
    Failed, ///< No answer, and nothing was accepted.
    Broken, ///< Accepted, and no whole answer.
};

/// What became of one request.
struct CallOutcome {
    CallEnd end = CallEnd::Failed;
    std::string reason; ///< The code of a refusal or of an error in the stream.
    bool accepted = false;
    Duration firstToken{0};
    std::vector<Duration> gaps; ///< Between tokens.
    std::uint64_t tokens = 0;
    std::uint64_t wrongTokens = 0; ///< Wrong text, repeated or out of order.
    std::uint64_t missingTokens = 0;
    std::uint64_t resumes = 0;
    std::uint64_t reroutes = 0; ///< Sent again at another entry VM, as a balancer does when one is closed or draining.
};

/// All outcomes of one kind on one path.
struct KindResult {
    std::uint64_t offered = 0;
    std::uint64_t accepted = 0;
    std::uint64_t whole = 0;
    std::uint64_t onTime = 0;
    std::uint64_t failed = 0;
    std::uint64_t broken = 0;
    std::uint64_t tokens = 0;
    std::uint64_t wrongTokens = 0;
    std::uint64_t missingTokens = 0;
    std::uint64_t resumes = 0;
    std::uint64_t reroutes = 0;
    std::map<std::string, std::uint64_t> refusals; ///< By reason.
    std::vector<Duration> firstTokens;
    std::vector<Duration> gaps;
};

/// Counters of all pages together, by name.
using PageTotals = std::map<std::string, double, std::less<>>;

/// What a run measured.
struct LoadResult {
    std::vector<RequestKind> kinds;
    std::map<Path, std::vector<KindResult>> results; ///< In the order of the kinds.
    PageTotals metrics; ///< Growth of the daemons' counters over the run.
    PageTotals engines; ///< Growth of the engines' totals.
    double peakResidentBytes = 0; ///< The most that one daemon showed.
    double peakTokensPerSecond = 0; ///< Of all engines, over the best second.
    Duration elapsed{0};
};

} // namespace cardamomlift::bench
