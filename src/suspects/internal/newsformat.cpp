#include "suspects/newsformat.h"

#include "suspects/suspects.pb.h"

#include <algorithm>

namespace cardamomlift::suspects {

namespace {

void writeProgress(const Progress &progress, wire::Progress &out)
{
    out.set_fingerprint(progress.fingerprint);
    out.set_position(progress.position);
}

Duration readDuration(std::uint64_t microseconds)
{
    return Duration(static_cast<std::int64_t>(microseconds));
}

} // namespace

std::string writeNews(const News &news, WallTime now)
{
    wire::News out;
    out.set_written_at_us(static_cast<std::uint64_t>(now.time_since_epoch().count()));
    for (const News::CrashReport &crash : news.crashes) {
        wire::CrashReport &report = *out.add_crashes();
        report.set_instance(crash.instance);
        report.set_age_us(static_cast<std::uint64_t>(crash.age.count()));
        for (const Progress &progress : crash.present) {
            writeProgress(progress, *report.add_present());
        }
    }
    for (const Progress &progress : news.cleared) {
        writeProgress(progress, *out.add_cleared());
    }
    for (const std::string &instance : news.alive) {
        out.add_alive(instance);
    }
    for (const News::Conviction &conviction : news.convictions) {
        wire::Conviction &one = *out.add_convictions();
        one.set_fingerprint(conviction.fingerprint);
        one.set_left_us(static_cast<std::uint64_t>(conviction.left.count()));
    }
    return out.SerializeAsString();
}

std::optional<News> readNews(std::string_view payload, WallTime now)
{
    wire::News in;
    if (!in.ParseFromArray(payload.data(), static_cast<int>(payload.size()))) {
        return std::nullopt;
    }
    const WallTime writtenAt(readDuration(in.written_at_us()));
    // NOTE Clocks of VMs differ: a time ahead of ours counts as now.
    const Duration sinceWritten = std::max(Duration(0), now - writtenAt);
    News news;
    for (const wire::CrashReport &report : in.crashes()) {
        News::CrashReport crash{report.instance(), readDuration(report.age_us()) + sinceWritten, {}};
        for (const wire::Progress &progress : report.present()) {
            crash.present.push_back({progress.fingerprint(), progress.position()});
        }
        news.crashes.push_back(std::move(crash));
    }
    for (const wire::Progress &progress : in.cleared()) {
        news.cleared.push_back({progress.fingerprint(), progress.position()});
    }
    news.alive.assign(in.alive().begin(), in.alive().end());
    for (const wire::Conviction &conviction : in.convictions()) {
        news.convictions.push_back({conviction.fingerprint(), readDuration(conviction.left_us()) - sinceWritten});
    }
    return news;
}

} // namespace cardamomlift::suspects
