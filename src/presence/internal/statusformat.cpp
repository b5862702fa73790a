#include "presence/statusformat.h"

#include "presence/status.pb.h"
#include "suspects/crashupdateformat.h"

#include <xxhash.h>
#include <zlib.h>

#include <algorithm>
#include <cmath>

namespace cardamomlift::presence {

namespace {

/// Maximum size of unpacked changes in bytes: more than the changes that a watch keeps for other VMs, including the field names.
constexpr std::size_t MaxUnpackedSize = 128 * 1024;
/// Expected compression ratio, used for the first buffer. Server entries unpack to about five times their packed size; changes
/// that unpack to more than this are tried again with the maximum size.
constexpr std::size_t ExpectedRatio = 10;

constexpr double Percent = 100;
/// Units in which the pace of servers is written.
constexpr double PaceTimesPerSecond = 10'000;
constexpr double PaceUnitParts = 10;
constexpr Duration PaceAgeUnit = std::chrono::milliseconds(10);

/// Ages in a status are as of its arrival, so the time of writing is left out of its crash update.
constexpr WallTime StatusSendTime{};

std::uint32_t toMicros(Duration duration)
{
    return static_cast<std::uint32_t>(std::clamp<std::int64_t>(duration.count(), 0, UINT32_MAX));
}

std::uint32_t toMillis(Duration duration)
{
    return static_cast<std::uint32_t>(std::clamp<std::int64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(duration).count(), 0, UINT32_MAX));
}

/// @p packedDelta: the changes to send; null if there are none.
void addTable(wire::Status &out, const std::string &table, const rows::TableDelta &delta, const PackedDelta *packedDelta)
{
    auto *entry = out.add_tables();
    entry->set_table(table);
    entry->set_era(delta.version.era);
    entry->set_version(delta.version.number);
    entry->set_age_us(toMicros(delta.age));
    entry->set_changed_at(delta.changedAt);
    // NOTE Without changes, @c since is the version itself: earlier changes that the receiver may lack are not in the message.
    entry->set_since(delta.version.number);
    if (packedDelta != nullptr && packedDelta->version == delta.version) {
        entry->set_since(packedDelta->since.number);
        entry->set_changes(packedDelta->packed);
        if (packedDelta->digest) {
            entry->set_digest(*packedDelta->digest);
        }
    }
}

/// Empty if the changes can't be unpacked.
std::optional<rows::TableDelta> readTable(const wire::TableNews &entry)
{
    rows::TableDelta delta;
    delta.version = {entry.era(), entry.version()};
    delta.since = {entry.era(), entry.since()};
    delta.age = Duration(entry.age_us());
    delta.changedAt = entry.changed_at();
    if (entry.has_digest()) {
        delta.digest = entry.digest();
    }
    if (entry.changes().empty()) {
        return delta;
    }
    auto changes = unpackChanges(entry.changes(), entry.era());
    if (!changes) {
        return std::nullopt;
    }
    delta.changes = std::move(*changes);
    return delta;
}

/// Empty if @p packed is not zlib data, or unpacks to more than MaxUnpackedSize.
std::optional<std::string> decompress(std::string_view packed)
{
    for (std::size_t capacity = std::min(MaxUnpackedSize, packed.size() * ExpectedRatio);; capacity = MaxUnpackedSize) {
        std::string unpacked(capacity, '\0');
        uLongf size = unpacked.size();
        const int result = uncompress(reinterpret_cast<Bytef *>(unpacked.data()), &size, reinterpret_cast<const Bytef *>(packed.data()), packed.size());
        if (result == Z_OK) {
            unpacked.resize(size);
            return unpacked;
        }
        if (result != Z_BUF_ERROR || capacity == MaxUnpackedSize) {
            return std::nullopt;
        }
    }
}

std::uint32_t scaled(double value, double scale)
{
    return static_cast<std::uint32_t>(std::clamp(std::round(value * scale), 0.0, static_cast<double>(UINT32_MAX)));
}

void addPace(wire::ServicePaces &out, const ServerPace &pace)
{
    out.add_servers(pace.server);
    out.add_times(scaled(pace.work.seconds, PaceTimesPerSecond));
    out.add_units(scaled(pace.work.units, PaceUnitParts));
    out.add_usual_percent(pace.work.seconds > 0 ? scaled(pace.work.usualSeconds / pace.work.seconds, Percent) : static_cast<std::uint32_t>(Percent));
    out.add_announced_percent(scaled(pace.announced.value_or(0), Percent));
    out.add_announced_age_10ms(pace.announced ? static_cast<std::uint32_t>(pace.announcedAge / PaceAgeUnit) : 0);
}

void leaveOutDefaults(wire::ServicePaces &out)
{
    if (std::ranges::all_of(out.usual_percent(), [](std::uint32_t percent) { return percent == Percent; })) {
        out.clear_usual_percent();
    }
    if (std::ranges::all_of(out.announced_percent(), [](std::uint32_t percent) { return percent == 0; })) {
        out.clear_announced_percent();
        out.clear_announced_age_10ms();
    }
}

void addPaces(wire::Status &out, const Status &status)
{
    std::map<std::uint32_t, wire::ServicePaces *> byService;
    for (const ServerPace &pace : status.paces) {
        wire::ServicePaces *&entry = byService[pace.service];
        if (entry == nullptr) {
            entry = out.add_paces();
            entry->set_service(pace.service);
        }
        addPace(*entry, pace);
    }
    for (const auto &[service, entry] : byService) {
        leaveOutDefaults(*entry);
    }
}

void addFirstBytes(wire::Status &out, const Status &status)
{
    for (const ServiceFirstByte &service : status.firstBytes) {
        auto *entry = out.add_first_bytes();
        entry->set_service(service.service);
        entry->set_count(static_cast<float>(service.sums.count));
        entry->set_tokens(static_cast<float>(service.sums.tokens));
        entry->set_seconds(static_cast<float>(service.sums.seconds));
        entry->set_tokens_squared(static_cast<float>(service.sums.tokensSquared));
        entry->set_tokens_seconds(static_cast<float>(service.sums.tokensSeconds));
    }
}

// Lists of other lengths can't be told apart by server.
void readPacesOfService(const wire::ServicePaces &in, Status &status)
{
    const int count = in.servers_size();
    if (in.times_size() != count || in.units_size() != count) {
        return;
    }
    const bool hasUsual = in.usual_percent_size() == count;
    const bool hasAnnounced = in.announced_percent_size() == count && in.announced_age_10ms_size() == count;
    for (int i = 0; i < count; i++) {
        const double seconds = in.times(i) / PaceTimesPerSecond;
        const double usualSeconds = hasUsual ? seconds * in.usual_percent(i) / Percent : seconds;
        ServerPace pace{in.servers(i), in.service(), {seconds, usualSeconds, in.units(i) / PaceUnitParts}, std::nullopt, Duration(0)};
        if (hasAnnounced && in.announced_percent(i) != 0) {
            pace.announced = in.announced_percent(i) / Percent;
            pace.announcedAge = PaceAgeUnit * static_cast<std::int64_t>(in.announced_age_10ms(i));
        }
        status.paces.push_back(pace);
    }
}

void readPaces(const wire::Status &in, Status &status)
{
    for (const auto &entry : in.paces()) {
        readPacesOfService(entry, status);
    }
    for (const auto &entry : in.first_bytes()) {
        status.firstBytes.push_back({entry.service(), {entry.count(), entry.tokens(), entry.seconds(), entry.tokens_squared(), entry.tokens_seconds()}});
    }
}

void addClassDemands(wire::Status &out, const Status &status)
{
    for (const ClassDemand &demand : status.classDemands) {
        auto *entry = out.add_class_demands();
        entry->set_service(demand.service);
        entry->set_customer(demand.customer);
        entry->set_priority(demand.priority);
        entry->set_per_second(static_cast<float>(demand.perSecond));
        entry->set_admitted_per_second(static_cast<float>(demand.admittedPerSecond));
        entry->set_served_per_second(static_cast<float>(demand.servedPerSecond));
        entry->set_refused_per_second(static_cast<float>(demand.refusedPerSecond));
        entry->set_waiting(demand.waiting);
    }
}

void readClassDemands(const wire::Status &in, Status &status)
{
    for (const auto &entry : in.class_demands()) {
        ClassDemand demand;
        demand.service = entry.service();
        demand.customer = entry.customer();
        demand.priority = entry.priority();
        demand.perSecond = entry.per_second();
        demand.admittedPerSecond = entry.admitted_per_second();
        demand.servedPerSecond = entry.served_per_second();
        demand.refusedPerSecond = entry.refused_per_second();
        demand.waiting = entry.waiting();
        status.classDemands.push_back(demand);
    }
}

void addRollout(wire::Status &out, const RolloutReport &report)
{
    auto *entry = out.add_rollouts();
    entry->set_service(report.service);
    entry->set_order(report.order.number);
    entry->set_order_era(report.order.era);
    entry->set_open_at_others(report.openAtOthers);
    for (const RolloutCounts &counts : report.counts) {
        auto *wireCounts = entry->add_counts();
        wireCounts->set_route(counts.route);
        wireCounts->set_server(counts.server);
        wireCounts->set_failed(counts.failed);
        wireCounts->mutable_answered()->Assign(counts.answered.begin(), counts.answered.end());
    }
}

RolloutReport readRollout(const wire::RolloutNews &entry)
{
    RolloutReport report;
    report.service = entry.service();
    report.order = {entry.order_era(), entry.order()};
    report.openAtOthers = entry.open_at_others();
    for (const auto &wireCounts : entry.counts()) {
        report.counts.push_back({wireCounts.route(), wireCounts.server(), wireCounts.failed(), {wireCounts.answered().begin(), wireCounts.answered().end()}});
    }
    return report;
}

} // namespace

std::uint64_t nameHash(std::string_view name)
{
    return XXH3_64bits(name.data(), name.size());
}

std::uint32_t shortHash(std::string_view name)
{
    return static_cast<std::uint32_t>(nameHash(name));
}

std::string packChanges(std::span<const rows::Row> changes)
{
    wire::RowChanges list;
    for (const rows::Row &row : changes) {
        auto *change = list.add_changes();
        change->set_key(row.key);
        change->set_value(row.value);
        change->set_version(row.version.number);
        change->set_deleted(row.isDeleted);
    }
    const std::string serialized = list.SerializeAsString();
    uLongf size = compressBound(serialized.size());
    std::string packed(size, '\0');
    if (compress2(reinterpret_cast<Bytef *>(packed.data()), &size, reinterpret_cast<const Bytef *>(serialized.data()), serialized.size(), Z_BEST_SPEED)
        != Z_OK) {
        return {};
    }
    packed.resize(size);
    return packed;
}

std::optional<std::vector<rows::Row>> unpackChanges(std::string_view packed, std::uint64_t era)
{
    const auto unpacked = decompress(packed);
    wire::RowChanges list;
    if (!unpacked || !list.ParseFromString(*unpacked)) {
        return std::nullopt;
    }
    std::vector<rows::Row> changes;
    for (const auto &change : list.changes()) {
        changes.push_back({change.key(), change.value(), {era, change.version()}, change.deleted()});
    }
    return changes;
}

std::string encodeStatus(const Status &status, std::uint64_t echo, const std::map<std::string, PackedDelta> &deltas)
{
    wire::Status out;
    out.set_instance(status.instance);
    out.set_incarnation(status.incarnation);
    out.set_sequence(status.sequence);
    out.set_echo(echo);
    for (const auto &[table, delta] : status.tables) {
        const auto changes = deltas.find(table);
        addTable(out, table, delta, changes == deltas.end() ? nullptr : &changes->second);
    }
    out.set_manifest_version(status.manifestVersion);
    if (status.sinceStoreOutage) {
        out.set_store_back_us(toMicros(*status.sinceStoreOutage));
    }
    if (status.clockOffset) {
        out.set_clock_offset_ms(std::chrono::duration_cast<std::chrono::milliseconds>(*status.clockOffset).count());
    }
    for (const CustomerDemand &demand : status.demands) {
        auto *entry = out.add_demands();
        entry->set_customer(demand.customer);
        entry->set_per_second(static_cast<float>(demand.perSecond));
        entry->set_taken(demand.admittedTotal);
    }
    for (const UsageCount &usage : status.usage) {
        auto *entry = out.add_usage();
        entry->set_window(usage.window);
        entry->set_customer(usage.customer);
        entry->set_count(usage.count);
    }
    for (const ServerOutcomes &server : status.outcomes) {
        auto *entry = out.add_outcomes();
        entry->set_server(server.server);
        entry->set_answered(static_cast<float>(server.answered));
        entry->set_failed(static_cast<float>(server.failed));
        entry->set_failed_in_a_row(static_cast<std::uint32_t>(server.failedInARow));
        entry->set_since_failure_ms(toMillis(server.sinceFailure));
        if (server.sinceAnswer) {
            entry->set_since_answer_ms(toMillis(*server.sinceAnswer));
        }
    }
    for (const ServiceLoad &load : status.services) {
        auto *entry = out.add_services();
        entry->set_service(load.service);
        entry->set_prompt_tokens_per_second(static_cast<float>(load.promptTokensPerSecond));
        entry->set_open(load.open);
        entry->set_lateness(static_cast<float>(load.latencyRatio));
        entry->set_answers_per_second(static_cast<float>(load.answersPerSecond));
        entry->set_requests_per_second(static_cast<float>(load.requestsPerSecond));
    }
    for (const PrefixUse &use : status.prefixes) {
        auto *entry = out.add_prefixes();
        entry->set_prefix(use.prefix);
        entry->set_server(use.server);
    }
    for (const ServerWork &work : status.serverWork) {
        auto *entry = out.add_works();
        entry->set_server(work.server);
        entry->set_waiting_tokens(static_cast<std::uint32_t>(std::clamp<std::int64_t>(work.waitingTokens, 0, UINT32_MAX)));
    }
    for (const ServerLimit &limit : status.limits) {
        auto *entry = out.add_limits();
        entry->set_server(limit.server);
        entry->set_age_ms(toMillis(limit.age));
        if (limit.isLimited) {
            entry->set_per_second(limit.perSecond);
        }
    }
    addPaces(out, status);
    addFirstBytes(out, status);
    addClassDemands(out, status);
    if (status.loopLag) {
        out.set_loop_lag_ms(toMillis(*status.loopLag));
    }
    if (!status.crashUpdate.empty()) {
        out.set_crash_update(suspects::writeCrashUpdate(status.crashUpdate, StatusSendTime));
    }
    for (const RolloutReport &report : status.rollouts) {
        addRollout(out, report);
    }
    out.set_holds_lease(status.holdsLease);
    out.set_lacks_store(status.isStoreUnavailable);
    out.set_draining(status.isDraining);
    out.set_reaches_no_server(status.reachesNoServer);
    out.set_lacks_server_room(status.lacksServerRoom);
    if (status.sinceServerContact) {
        out.set_since_server_contact_ms(toMillis(*status.sinceServerContact));
    }
    out.set_partial(status.isPartial);
    out.set_fast(status.isStoreReader);
    out.set_asks_summary(status.requestsSummary);
    out.set_summary_of(status.summaryOf);
    out.set_members(status.membersHash);
    out.set_lease_holder(status.leaseHolder);
    out.set_up_ms(std::chrono::duration_cast<std::chrono::milliseconds>(status.uptime).count());
    return out.SerializeAsString();
}

std::optional<StatusMessage> decodeStatus(std::string_view bytes)
{
    wire::Status in;
    if (!in.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())) || in.instance().empty()) {
        return std::nullopt;
    }
    StatusMessage message;
    message.echo = in.echo();
    Status &status = message.status;
    status.instance = in.instance();
    status.incarnation = in.incarnation();
    status.sequence = in.sequence();
    for (const auto &entry : in.tables()) {
        if (auto delta = readTable(entry)) {
            status.tables[entry.table()] = std::move(*delta);
        }
    }
    status.manifestVersion = in.manifest_version();
    if (in.has_store_back_us()) {
        status.sinceStoreOutage = Duration(in.store_back_us());
    }
    if (in.has_clock_offset_ms()) {
        status.clockOffset = std::chrono::milliseconds(in.clock_offset_ms());
    }
    for (const auto &entry : in.demands()) {
        status.demands.push_back({entry.customer(), entry.per_second(), entry.taken()});
    }
    for (const auto &entry : in.usage()) {
        status.usage.push_back({entry.window(), entry.customer(), entry.count()});
    }
    for (const auto &entry : in.outcomes()) {
        status.outcomes.push_back({entry.server(),
            entry.answered(),
            entry.failed(),
            static_cast<int>(entry.failed_in_a_row()),
            std::chrono::milliseconds(entry.since_failure_ms()),
            entry.has_since_answer_ms() ? std::optional<Duration>(std::chrono::milliseconds(entry.since_answer_ms())) : std::nullopt});
    }
    for (const auto &entry : in.services()) {
        status.services.push_back(
            {entry.service(), entry.prompt_tokens_per_second(), entry.open(), entry.lateness(), entry.answers_per_second(), entry.requests_per_second()});
    }
    for (const auto &entry : in.prefixes()) {
        status.prefixes.push_back({entry.prefix(), entry.server()});
    }
    for (const auto &entry : in.works()) {
        status.serverWork.push_back({entry.server(), entry.waiting_tokens()});
    }
    for (const auto &entry : in.limits()) {
        status.limits.push_back({entry.server(), entry.has_per_second(), entry.per_second(), std::chrono::milliseconds(entry.age_ms())});
    }
    readPaces(in, status);
    readClassDemands(in, status);
    if (in.has_loop_lag_ms()) {
        status.loopLag = std::chrono::milliseconds(in.loop_lag_ms());
    }
    status.crashUpdate = suspects::readCrashUpdate(in.crash_update(), StatusSendTime).value_or(suspects::CrashUpdate());
    for (const auto &entry : in.rollouts()) {
        status.rollouts.push_back(readRollout(entry));
    }
    status.holdsLease = in.holds_lease();
    status.isStoreUnavailable = in.lacks_store();
    status.isDraining = in.draining();
    status.reachesNoServer = in.reaches_no_server();
    status.lacksServerRoom = in.lacks_server_room();
    if (in.has_since_server_contact_ms()) {
        status.sinceServerContact = std::chrono::milliseconds(in.since_server_contact_ms());
    }
    status.isPartial = in.partial();
    status.isStoreReader = in.fast();
    status.requestsSummary = in.asks_summary();
    status.summaryOf = in.summary_of();
    status.membersHash = in.members();
    status.leaseHolder = in.lease_holder();
    status.uptime = std::chrono::milliseconds(in.up_ms());
    return message;
}

} // namespace cardamomlift::presence
