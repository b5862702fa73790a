#include "bench/load/mix.h"

#include "http/json.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <random>

namespace cardamomlift::bench {

namespace {

using std::chrono::milliseconds;

constexpr char CoOpKey[] = "co-op-order-desk-key";
constexpr char DepartmentKey[] = "department-crew-desk-key";
constexpr std::uint64_t Workspaces = 5;

/// Index drawn by weight.
template<class Engine>
std::size_t draw(std::span<const double> weights, Engine &random)
{
    std::discrete_distribution<std::size_t> distribution(weights.begin(), weights.end());
    return distribution(random);
}

std::int64_t scaled(std::int64_t tokens, double scale)
{
    return std::max<std::int64_t>(1, std::llround(static_cast<double>(tokens) * scale));
}

} // namespace

std::vector<RequestKind> usersMix(double tokenScale)
{
    std::vector<RequestKind> kinds{
        {"co-op proofs", CallForm::Stream, CoOpKey, "proofreader", 0.28, 4000, 200, true, milliseconds(760), milliseconds(76)},
        {"co-op drafts", CallForm::Stream, CoOpKey, "leaflet-writer", 0.08, 1200, 260, true, milliseconds(5000), milliseconds(200)},
        {"co-op orders", CallForm::Service, CoOpKey, "/orders/orders", 0.04, 0, 0, false, milliseconds(2000), milliseconds(0)},
        {"co-op tags", CallForm::Service, CoOpKey, "/orders/tags", 0.10, 0, 0, true, milliseconds(2000), milliseconds(0)},
        {"department status", CallForm::Stream, DepartmentKey, "crew-desk", 0.22, 1500, 120, true, milliseconds(760), milliseconds(76)},
        {"department checks", CallForm::Service, DepartmentKey, "/bookings/status", 0.10, 0, 0, true, milliseconds(760), milliseconds(0)},
        {"department holds", CallForm::Service, DepartmentKey, "/bookings/holds", 0.06, 0, 0, false, milliseconds(1500), milliseconds(0)},
        {"department dossiers", CallForm::Stream, DepartmentKey, "dossier-writer", 0.12, 2500, 500, true, milliseconds(10000), milliseconds(300)},
    };
    for (RequestKind &kind : kinds) {
        if (kind.form == CallForm::Stream) {
            kind.maxTokens = scaled(kind.maxTokens, tokenScale);
        }
    }
    return kinds;
}

std::vector<RequestKind> streamsOf(std::span<const RequestKind> kinds)
{
    std::vector<RequestKind> streams;
    std::copy_if(kinds.begin(), kinds.end(), std::back_inserter(streams), [](const RequestKind &kind) { return kind.form == CallForm::Stream; });
    double sum = 0;
    for (const RequestKind &kind : streams) {
        sum += kind.share;
    }
    for (RequestKind &kind : streams) {
        kind.share /= sum;
    }
    return streams;
}

std::vector<Arrival> schedule(std::span<const RequestKind> kinds, const LoadOptions &options)
{
    std::mt19937_64 random(options.seed);
    std::exponential_distribution<double> gapSeconds(options.requestsPerSecond);
    std::uniform_real_distribution<double> uniform(0, 1);
    std::vector<double> shares;
    for (const RequestKind &kind : kinds) {
        shares.push_back(kind.share);
    }
    std::vector<double> weights;
    for (const EntryTarget &entry : options.entries) {
        weights.push_back(entry.weight);
    }
    std::vector<Arrival> arrivals;
    double seconds = gapSeconds(random);
    while (std::chrono::duration<double>(seconds) < options.duration) {
        Arrival arrival;
        arrival.at = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
        arrival.kind = draw(shares, random);
        arrival.entry = draw(weights, random);
        arrival.number = arrivals.size();
        const bool direct = uniform(random) < options.directShare;
        if (direct && kinds[arrival.kind].form == CallForm::Stream) {
            arrival.path = Path::Direct;
        }
        arrivals.push_back(arrival);
        seconds += gapSeconds(random);
    }
    return arrivals;
}

std::string messagesOf(const RequestKind &kind, std::uint64_t number)
{
    const std::string sheet = fmt::format("Sheet {} of {}. ", number % Workspaces, kind.name);
    std::string prefix;
    while (prefix.size() < kind.prefixBytes) {
        prefix += sheet;
    }
    Json::Value messages(Json::arrayValue);
    messages[0]["role"] = "system";
    messages[0]["content"] = prefix;
    messages[1]["role"] = "user";
    messages[1]["content"] = fmt::format("Job {}", number);
    return http::writeJson(messages);
}

} // namespace cardamomlift::bench
