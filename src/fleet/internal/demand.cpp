#include "fleet/demand.h"

#include "fleet/fleet.pb.h"

#include <algorithm>

namespace cardamomlift::fleet {

namespace {

constexpr std::int64_t MicrosecondsPerSecond = 1'000'000;

std::int64_t perSecond(std::int64_t count, Duration elapsed)
{
    return count * MicrosecondsPerSecond / std::max<std::int64_t>(1, elapsed.count());
}

} // namespace

void DemandMeter::add(const std::string &model, std::int64_t tokens, bool isUrgent)
{
    ModelDemand &count = counts_[model];
    count.totalTokensPerSecond += tokens;
    count.urgentTokensPerSecond += isUrgent ? tokens : 0;
}

std::vector<ModelDemand> DemandMeter::take(TimePoint now)
{
    std::vector<ModelDemand> demands;
    demands.reserve(counts_.size());
    for (const auto &[model, count] : counts_) {
        demands.push_back({model, perSecond(count.urgentTokensPerSecond, now - since_), perSecond(count.totalTokensPerSecond, now - since_)});
    }
    counts_.clear();
    since_ = now;
    return demands;
}

void DemandAggregator::report(const std::string &instance, std::vector<ModelDemand> demands, TimePoint now)
{
    reports_[instance] = {std::move(demands), now};
}

std::vector<ModelDemand> DemandAggregator::sum(TimePoint now, Duration maxAge)
{
    std::erase_if(reports_, [&](const auto &entry) { return now - entry.second.at > maxAge; });
    std::map<std::string, ModelDemand> sums;
    for (const auto &[instance, report] : reports_) {
        for (const ModelDemand &demand : report.demands) {
            ModelDemand &sum = sums[demand.model];
            sum.model = demand.model;
            sum.totalTokensPerSecond += demand.totalTokensPerSecond;
            sum.urgentTokensPerSecond += demand.urgentTokensPerSecond;
        }
    }
    std::vector<ModelDemand> result;
    result.reserve(sums.size());
    for (auto &[model, sum] : sums) {
        result.push_back(std::move(sum));
    }
    return result;
}

std::string encodeDemands(const std::vector<ModelDemand> &demands)
{
    wire::DemandReport report;
    for (const ModelDemand &demand : demands) {
        wire::ModelTokens *tokens = report.add_models();
        tokens->set_model(demand.model);
        tokens->set_urgent_per_second(demand.urgentTokensPerSecond);
        tokens->set_total_per_second(demand.totalTokensPerSecond);
    }
    return report.SerializeAsString();
}

std::vector<ModelDemand> decodeDemands(std::string_view bytes)
{
    wire::DemandReport report;
    std::vector<ModelDemand> demands;
    if (!report.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
        return demands;
    }
    demands.reserve(static_cast<std::size_t>(report.models_size()));
    for (const wire::ModelTokens &tokens : report.models()) {
        demands.push_back({tokens.model(), tokens.urgent_per_second(), tokens.total_per_second()});
    }
    return demands;
}

} // namespace cardamomlift::fleet
