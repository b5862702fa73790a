#include "membership/loadreports.h"

namespace cardamomlift::membership {

std::shared_ptr<LoadReports> LoadReports::create(EventLoop &loop)
{
    std::shared_ptr<LoadReports> reports(new LoadReports);
    reports->loop_ = &loop;
    return reports;
}

void LoadReports::report(const std::string &instance, const LoadReport &report)
{
    entries_[instance] = {report, loop_->now()};
    for (const auto &handler : handlers_) {
        handler(instance, report);
    }
}

void LoadReports::onReport(std::function<void(const std::string &, const LoadReport &)> handler)
{
    handlers_.push_back(std::move(handler));
}

std::optional<AgedLoadReport> LoadReports::load(const std::string &instance) const
{
    const auto found = entries_.find(instance);
    if (found == entries_.end()) {
        return std::nullopt;
    }
    return AgedLoadReport{found->second.report, loop_->now() - found->second.receivedAt};
}

void LoadReports::forget(const std::string &instance)
{
    entries_.erase(instance);
}

void LoadReports::keepOnly(const std::function<bool(const std::string &)> &isKept)
{
    std::erase_if(entries_, [&](const auto &entry) { return !isKept(entry.first); });
}

std::size_t LoadReports::size() const
{
    return entries_.size();
}

} // namespace cardamomlift::membership
