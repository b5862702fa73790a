#include "duties/usagereporter.h"

#include <algorithm>

namespace cardamomlift::duties {

namespace {

using eventlog::Attribute;
using eventlog::Event;

constexpr Duration TickPeriod = std::chrono::milliseconds(500);
/// Wait after the end of a window for the last counts of all VMs to arrive: several status periods, also with the longest period.
constexpr Duration SettleTime = std::chrono::milliseconds(3000);
/// A VM of another group learns within two summaries who the leader is, and sends its counts every 1.4 s from then on; one datagram may be lost.
constexpr Duration CollectTime = std::chrono::milliseconds(3500);
/// Reports kept in the lease row: as many as a leader may leave unsent when it fails.
constexpr std::size_t ReportsKept = 3;

} // namespace

UsageReporter::UsageReporter(ReporterTools tools)
    : tools_(std::move(tools))
{
}

std::shared_ptr<UsageReporter> UsageReporter::start(ReporterTools tools)
{
    std::shared_ptr<UsageReporter> reporter(new UsageReporter(std::move(tools)));
    UsageReporter *raw = reporter.get();
    raw->timer_ = raw->tools_.loop->every(TickPeriod, [raw] { raw->tick(); });
    return reporter;
}

UsageReporter::~UsageReporter()
{
    tools_.loop->cancel(timer_);
}

void UsageReporter::tick()
{
    if (busy_ || !tools_.lease->isHeld() || !tools_.manifests->current()) {
        return;
    }
    const LeaseRow &row = tools_.lease->row();
    const bool isPending = !row.reports.empty() && row.reports.back().window > row.arrivedWindow;
    if (isPending) {
        send();
        return;
    }
    startReport();
}

bool UsageReporter::isCollecting()
{
    const TimePoint now = tools_.loop->now();
    if (fence_ != tools_.lease->fence()) {
        fence_ = tools_.lease->fence();
        leaderSince_ = now;
    }
    return tools_.needsCollecting && tools_.needsCollecting() && now - leaderSince_ < CollectTime;
}

bool UsageReporter::startReport()
{
    if (isCollecting()) {
        return false;
    }
    const auto now = tools_.time->now();
    const auto current = tools_.usage->currentWindow();
    if (!now || !current) {
        return false;
    }
    LeaseRow row = tools_.lease->row();
    const std::int64_t window = nextWindow(row, *current, *now);
    if (window >= *current || *now < tools_.usage->windowEnd(window) + SettleTime) {
        return false;
    }
    row.reportedWindow = window;
    row.lacksReports = false;
    row.reports.push_back(makeReport(window));
    if (row.reports.size() > ReportsKept) {
        row.reports.erase(row.reports.begin());
    }
    busy_ = true;
    tools_.lease->update(std::move(row), [weak = weak_from_this()](bool written) {
        const auto self = weak.lock();
        if (!self) {
            return;
        }
        self->busy_ = false;
        // NOTE Only after a successful write: a lease with a write in progress refuses at once, which would recurse without end.
        if (written) {
            self->tick();
        }
    });
    return true;
}

// Windows that were due before the store was restored may have been reported by a leader that the restored copy does not
// know of. They are skipped, as a second report of the same window might differ.
std::int64_t UsageReporter::nextWindow(const LeaseRow &row, std::int64_t current, WallTime now) const
{
    const std::int64_t next = row.reportedWindow == 0 ? current - 1 : row.reportedWindow + 1;
    if (!row.lacksReports) {
        return next;
    }
    const WallTime restoredBefore = now - (tools_.loop->now() - tools_.lease->restoredBefore());
    std::int64_t window = next;
    while (window < current && tools_.usage->windowEnd(window) + SettleTime <= restoredBefore) {
        window++;
    }
    return window;
}

UsageReport UsageReporter::makeReport(std::int64_t window) const
{
    UsageReport report;
    report.window = window;
    const usage::CustomerCounts sums = tools_.usage->total(window);
    for (const manifest::Customer &customer : tools_.manifests->current()->manifest().customers) {
        const auto found = sums.find(presence::nameHash(customer.name));
        if (found != sums.end()) {
            report.counts[customer.name] = found->second;
        }
    }
    return report;
}

void UsageReporter::send()
{
    const LeaseRow &row = tools_.lease->row();
    const auto next = std::find_if(row.reports.begin(), row.reports.end(), [&row](const UsageReport &report) { return report.window > row.arrivedWindow; });
    busy_ = true;
    tools_.api->reportUsage(tools_.lease->fence(), *next, [weak = weak_from_this(), window = next->window](LeaderCallOutcome outcome) {
        if (const auto self = weak.lock()) {
            self->onSent(window, outcome);
        }
    });
}

void UsageReporter::onSent(std::int64_t window, LeaderCallOutcome outcome)
{
    busy_ = false;
    tools_.log->write(Event::UsageReported,
        {{Attribute::Window, window},
            {Attribute::Outcome, outcome == LeaderCallOutcome::Done ? "done" : "failed"},
            {Attribute::Fence, static_cast<std::int64_t>(tools_.lease->fence())}});
    if (outcome != LeaderCallOutcome::Done) {
        return;
    }
    tools_.lease->noteArrived(window);
    tick();
}

} // namespace cardamomlift::duties
