#include "suspects/crashupdateformat.h"

#include "suspects/suspects.pb.h"

#include <algorithm>

namespace cardamomlift::suspects {

namespace {

void writeProgress(const Progress &progress, wire::Progress &out)
{
    out.set_fingerprint(progress.fingerprint);
    out.set_position(progress.position);
    out.set_ran_us(static_cast<std::uint64_t>(progress.ranFor.count()));
    for (const PartKey part : progress.parts) {
        out.add_parts(part);
    }
}

Duration readDuration(std::uint64_t microseconds)
{
    return Duration(static_cast<std::int64_t>(microseconds));
}

} // namespace

std::string writeCrashUpdate(const CrashUpdate &update, WallTime now)
{
    wire::News out;
    out.set_written_at_us(static_cast<std::uint64_t>(now.time_since_epoch().count()));
    for (const CrashUpdate::CrashReport &crash : update.crashes) {
        wire::CrashReport &report = *out.add_crashes();
        report.set_instance(crash.instance);
        report.set_age_us(static_cast<std::uint64_t>(crash.age.count()));
        for (const Progress &progress : crash.inFlight) {
            writeProgress(progress, *report.add_present());
        }
    }
    for (const Progress &progress : update.cleared) {
        writeProgress(progress, *out.add_cleared());
    }
    for (const CrashUpdate::AliveServer &server : update.alive) {
        out.add_alive(server.instance);
        out.add_alive_age_us(static_cast<std::uint64_t>(server.age.count()));
    }
    for (const CrashUpdate::BlockedRequest &request : update.blocked) {
        wire::Conviction &conviction = *out.add_convictions();
        conviction.set_fingerprint(request.fingerprint);
        conviction.set_left_us(static_cast<std::uint64_t>(request.remaining.count()));
    }
    for (const CrashUpdate::AnsweredPart &answered : update.answeredParts) {
        wire::AnsweredPart &part = *out.add_answered_parts();
        part.set_part(answered.part);
        part.set_age_us(static_cast<std::uint64_t>(answered.age.count()));
    }
    for (const CrashUpdate::BlockedPart &blocked : update.blockedParts) {
        wire::BlockedPart &part = *out.add_blocked_parts();
        part.set_part(blocked.part);
        part.set_left_us(static_cast<std::uint64_t>(blocked.remaining.count()));
    }
    if (update.sincePromptAnswered) {
        out.set_prompt_answered_age_us(static_cast<std::uint64_t>(update.sincePromptAnswered->count()));
    }
    return out.SerializeAsString();
}

std::optional<CrashUpdate> readCrashUpdate(std::string_view payload, WallTime now)
{
    wire::News in;
    if (!in.ParseFromArray(payload.data(), static_cast<int>(payload.size()))) {
        return std::nullopt;
    }
    const WallTime writtenAt(readDuration(in.written_at_us()));
    // NOTE The clocks of the VMs differ: a time of writing in the future is taken as now.
    const Duration sinceWritten = std::max(Duration(0), now - writtenAt);
    CrashUpdate update;
    for (const wire::CrashReport &report : in.crashes()) {
        CrashUpdate::CrashReport crash{report.instance(), readDuration(report.age_us()) + sinceWritten, {}};
        for (const wire::Progress &progress : report.present()) {
            crash.inFlight.push_back(
                {progress.fingerprint(), progress.position(), readDuration(progress.ran_us()), {progress.parts().begin(), progress.parts().end()}});
        }
        update.crashes.push_back(std::move(crash));
    }
    for (const wire::Progress &progress : in.cleared()) {
        update.cleared.push_back({progress.fingerprint(), progress.position(), Duration(0), {}});
    }
    for (int i = 0; i < in.alive_size(); i++) {
        const std::uint64_t age = i < in.alive_age_us_size() ? in.alive_age_us(i) : 0;
        update.alive.push_back({in.alive(i), readDuration(age) + sinceWritten});
    }
    for (const wire::Conviction &conviction : in.convictions()) {
        update.blocked.push_back({conviction.fingerprint(), readDuration(conviction.left_us()) - sinceWritten});
    }
    for (const wire::AnsweredPart &answered : in.answered_parts()) {
        update.answeredParts.push_back({answered.part(), readDuration(answered.age_us()) + sinceWritten});
    }
    for (const wire::BlockedPart &blocked : in.blocked_parts()) {
        update.blockedParts.push_back({blocked.part(), readDuration(blocked.left_us()) - sinceWritten});
    }
    if (in.has_prompt_answered_age_us()) {
        update.sincePromptAnswered = readDuration(in.prompt_answered_age_us()) + sinceWritten;
    }
    return update;
}

} // namespace cardamomlift::suspects
