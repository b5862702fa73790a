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

/// One distribution: its quantiles are estimates by the P-square algorithm, in constant memory.
struct Distribution {
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

    void observe(std::string_view name, Duration sample) override
    {
        auto found = distributions_.find(name);
        if (found == distributions_.end()) {
            found = distributions_.emplace(std::string(name), Distribution()).first;
        }
        const double seconds = static_cast<double>(sample.count()) / MicrosecondsPerSecond;
        found->second.totals(seconds);
        for (auto &quantile : found->second.quantiles) {
            quantile(seconds);
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
        for (const auto &[name, distribution] : distributions_) {
            text += distributionLines(name, distribution);
        }
        return text;
    }

private:
    static std::string distributionLines(const std::string &name, const Distribution &distribution)
    {
        std::string text;
        for (std::size_t i = 0; i < Quantiles.size(); i++) {
            text += fmt::format("{}{}{{quantile=\"{}\"}} {}\n", Prefix, name, Quantiles[i], acc::p_square_quantile(distribution.quantiles[i]));
        }
        text += fmt::format("{}{}_sum {}\n", Prefix, name, acc::sum(distribution.totals));
        text += fmt::format("{}{}_count {}\n", Prefix, name, acc::count(distribution.totals));
        return text;
    }

    std::array<std::uint64_t, static_cast<std::size_t>(RefusalReason::Count)> refusals_{};
    std::array<std::uint64_t, static_cast<std::size_t>(RetryReason::Count)> retries_{};
    std::map<std::string, std::uint64_t, std::less<>> counters_;
    std::map<std::string, std::function<double()>> gauges_;
    std::map<std::string, Distribution, std::less<>> distributions_;
};

} // namespace

std::shared_ptr<Metrics> Metrics::create()
{
    return std::make_shared<MetricsImpl>();
}

} // namespace cardamomlift::metrics
