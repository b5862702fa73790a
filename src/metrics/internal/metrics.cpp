#include "metrics/metrics.h"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>
#include <fmt/format.h>

#include <map>

namespace cardamomlift::metrics {

namespace {

namespace acc = boost::accumulators;

constexpr char Prefix[] = "cardamomlift_";
constexpr double MicrosecondsPerSecond = 1e6;
constexpr std::array<double, 3> Quantiles{0.5, 0.95, 0.99};

using QuantileAccumulator = acc::accumulator_set<double, acc::stats<acc::tag::p_square_quantile>>;

/// Upper bounds of the buckets of a histogram, in seconds: a third of a decade apart, from a local answer to the longest
/// stream.
constexpr std::array<double, 11> BucketBounds{0.001, 0.003, 0.01, 0.03, 0.1, 0.3, 1, 3, 10, 30, 100};

/// One distribution: a histogram, and quantiles that the P-square algorithm estimates in constant memory.
struct Distribution {
    std::array<std::uint64_t, BucketBounds.size()> buckets{}; ///< Samples up to each bound.
    acc::accumulator_set<double, acc::stats<acc::tag::count, acc::tag::sum>> totals;
    std::array<QuantileAccumulator, Quantiles.size()> quantiles{QuantileAccumulator(acc::quantile_probability = Quantiles[0]),
        QuantileAccumulator(acc::quantile_probability = Quantiles[1]),
        QuantileAccumulator(acc::quantile_probability = Quantiles[2])};
};

class MetricsImpl : public Metrics
{
public:
    void refused(RefusalReason reason) override
    {
        refusals_[static_cast<std::size_t>(reason)]++;
    }

    void retried(RetryReason reason) override
    {
        retries_[static_cast<std::size_t>(reason)]++;
    }

    std::uint64_t refusals(RefusalReason reason) const override
    {
        return refusals_[static_cast<std::size_t>(reason)];
    }

    std::uint64_t retries(RetryReason reason) const override
    {
        return retries_[static_cast<std::size_t>(reason)];
    }

    void add(std::string_view name, std::uint64_t amount) override
    {
        const auto found = counters_.find(name);
        if (found != counters_.end()) {
            found->second += amount;
            return;
        }
        counters_.emplace(std::string(name), amount);
    }

    std::uint64_t counter(std::string_view name) const override
    {
        const auto found = counters_.find(name);
        return found == counters_.end() ? 0 : found->second;
    }

    void observe(std::string_view name, Duration sample, std::string_view labels) override
    {
        auto &byLabels = distributionsOf(name);
        auto found = byLabels.find(labels);
        if (found == byLabels.end()) {
            found = byLabels.emplace(std::string(labels), Distribution()).first;
        }
        Distribution &distribution = found->second;
        const double seconds = static_cast<double>(sample.count()) / MicrosecondsPerSecond;
        distribution.totals(seconds);
        for (auto &quantile : distribution.quantiles) {
            quantile(seconds);
        }
        for (std::size_t i = 0; i < BucketBounds.size(); i++) {
            distribution.buckets[i] += seconds <= BucketBounds[i] ? 1 : 0;
        }
    }

    void gauge(std::string name, std::function<double()> read) override
    {
        gauges_[std::move(name)] = std::move(read);
    }

    std::string page() const override
    {
        std::string text;
        for (std::size_t i = 0; i < refusals_.size(); i++) {
            text += fmt::format("{}refusals_total{{reason=\"{}\"}} {}\n", Prefix, reasonName(static_cast<RefusalReason>(i)), refusals_[i]);
        }
        for (std::size_t i = 0; i < retries_.size(); i++) {
            text += fmt::format("{}retries_total{{reason=\"{}\"}} {}\n", Prefix, reasonName(static_cast<RetryReason>(i)), retries_[i]);
        }
        for (const auto &[name, value] : counters_) {
            text += fmt::format("{}{} {}\n", Prefix, name, value);
        }
        for (const auto &[name, read] : gauges_) {
            text += fmt::format("{}{} {}\n", Prefix, name, read());
        }
        for (const auto &[name, byLabels] : distributions_) {
            for (const auto &[labels, distribution] : byLabels) {
                text += distributionLines(name, labels, distribution);
            }
        }
        return text;
    }

private:
    using ByLabels = std::map<std::string, Distribution, std::less<>>;

    ByLabels &distributionsOf(std::string_view name)
    {
        const auto found = distributions_.find(name);
        return found != distributions_.end() ? found->second : distributions_.emplace(std::string(name), ByLabels()).first->second;
    }

    static std::string distributionLines(const std::string &name, const std::string &labels, const Distribution &distribution)
    {
        const std::string more = labels.empty() ? std::string() : labels + ",";
        const std::string braces = labels.empty() ? std::string() : "{" + labels + "}";
        const std::size_t count = acc::count(distribution.totals);
        std::string text;
        for (std::size_t i = 0; i < Quantiles.size(); i++) {
            text += fmt::format("{}{}{{{}quantile=\"{}\"}} {}\n", Prefix, name, more, Quantiles[i], acc::p_square_quantile(distribution.quantiles[i]));
        }
        for (std::size_t i = 0; i < BucketBounds.size(); i++) {
            text += fmt::format("{}{}_bucket{{{}le=\"{}\"}} {}\n", Prefix, name, more, BucketBounds[i], distribution.buckets[i]);
        }
        text += fmt::format("{}{}_bucket{{{}le=\"+Inf\"}} {}\n", Prefix, name, more, count);
        text += fmt::format("{}{}_sum{} {}\n", Prefix, name, braces, acc::sum(distribution.totals));
        text += fmt::format("{}{}_count{} {}\n", Prefix, name, braces, count);
        return text;
    }

    std::array<std::uint64_t, static_cast<std::size_t>(RefusalReason::Count)> refusals_{};
    std::array<std::uint64_t, static_cast<std::size_t>(RetryReason::Count)> retries_{};
    std::map<std::string, std::uint64_t, std::less<>> counters_;
    std::map<std::string, std::function<double()>> gauges_;
    std::map<std::string, ByLabels, std::less<>> distributions_; ///< By name, by labels.
};

} // namespace

std::shared_ptr<Metrics> Metrics::create()
{
    return std::make_shared<MetricsImpl>();
}

} // namespace cardamomlift::metrics
