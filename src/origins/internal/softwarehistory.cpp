#include "origins/softwarehistory.h"

#include "http/json.h"

#include <algorithm>
#include <utility>

namespace cardamomlift::origins {

namespace {

constexpr char Table[] = "service-software";
/// At least this long between two reads, so that many streams cost few calls.
constexpr Duration MinReadGap = std::chrono::milliseconds(100);
/// A row that was read or written this long ago still admits a version that has just been listed.
constexpr Duration MaxRowAge = std::chrono::seconds(1);
/// The recorder has written a new version by then, if it is up.
constexpr Duration RecorderLead = std::chrono::milliseconds(200);
/// After this time without an answer of the store, streams begin at a version that it may not know.
constexpr Duration MaxWaitForStore = std::chrono::seconds(1);
/// The recorder takes a version that is gone out of the row; other VMs learn of it by reading.
constexpr Duration RereadPeriod = std::chrono::seconds(20);
constexpr Duration RetryDelay = std::chrono::seconds(2);
/// A later time is not one of the store's, and does not fit Duration.
constexpr std::int64_t MaxStoreMs = 1'000'000'000'000'000;
/// An older list of servers may lack a version.
constexpr Duration MaxListAge = std::chrono::seconds(3);

} // namespace

std::string formatSoftwareRow(const SoftwareRow &row)
{
    Json::Value json(Json::objectValue);
    if (row.version) {
        json["version"] = *row.version;
        json["since_ms"] = Json::Int64(toMilliseconds(row.since));
    }
    json["era"] = Json::UInt64(row.era);
    return http::writeJson(json);
}

std::optional<SoftwareRow> parseSoftwareRow(std::string_view value)
{
    const auto json = http::parseJson(value);
    if (!json || !json->isObject()) {
        return std::nullopt;
    }
    SoftwareRow row;
    const std::int64_t since = http::jsonInteger(*json, "since_ms", -1);
    if ((*json)["version"].isString() && since >= 0 && since <= MaxStoreMs) {
        row.version = (*json)["version"].asString();
        row.since = std::chrono::milliseconds(since);
    }
    row.era = http::jsonUnsigned(*json, "era");
    return row;
}

bool isOnlyVersion(const std::string &present, const SoftwareRow &row, Duration storeTime)
{
    return row.version == present && (row.since == Duration(0) || storeTime - row.since >= OriginLifetime);
}

bool isRecorded(const std::string &version, const SoftwareRow &row)
{
    return !row.version || *row.version == version;
}

SoftwareHistory::SoftwareHistory(SoftwareHistoryTools tools)
    : tools_(std::move(tools))
{
}

std::shared_ptr<SoftwareHistory> SoftwareHistory::create(SoftwareHistoryTools tools)
{
    std::shared_ptr<SoftwareHistory> history(new SoftwareHistory(std::move(tools)));
    // So that the versions that the list will name are known when it comes.
    history->read([] {});
    return history;
}

SoftwareHistory::~SoftwareHistory()
{
    tools_.loop->cancel(readTimer_);
}

void SoftwareHistory::setRecorderCheck(std::function<bool()> isRecorder)
{
    isRecorder_ = std::move(isRecorder);
}

std::map<std::string, std::set<std::string>> SoftwareHistory::listedVersions() const
{
    std::map<std::string, std::set<std::string>> versions;
    for (const auto &[instance, known] : tools_.directory->all()) {
        versions[known->server.service].insert(known->server.version);
    }
    return versions;
}

std::optional<std::string> SoftwareHistory::onlyListedVersion(const std::string &service) const
{
    const auto age = tools_.directory->listAge(tools_.loop->now());
    if (!age || *age > MaxListAge) {
        return std::nullopt;
    }
    const auto versions = listedVersions();
    const auto found = versions.find(service);
    return found != versions.end() && found->second.size() == 1 ? std::optional(*found->second.begin()) : std::nullopt;
}

std::optional<Duration> SoftwareHistory::storeTime() const
{
    return tools_.store->timeAt(tools_.loop->now());
}

const SoftwareHistory::KnownRow *SoftwareHistory::findRow(const std::string &service) const
{
    const auto row = rows_.find(service);
    return row == rows_.end() ? nullptr : &row->second;
}

bool SoftwareHistory::isOfThisEra(const KnownRow &known) const
{
    return known.row.era == tools_.store->eras().current();
}

void SoftwareHistory::findOnly(const std::string &service, Handler handler)
{
    read([weak = weak_from_this(), service, handler = std::move(handler)] {
        const auto self = weak.lock();
        if (!self) {
            return;
        }
        const auto version = self->onlyListedVersion(service);
        const KnownRow *known = self->findRow(service);
        const auto storeTime = self->storeTime();
        const bool isKnown = !self->hasReadFailed_ && version && known && self->isOfThisEra(*known) && storeTime;
        if (!isKnown || !isOnlyVersion(*version, known->row, *storeTime)) {
            handler(std::nullopt);
            return;
        }
        handler(softwareId(service, *version));
    });
}

bool SoftwareHistory::mayBegin(const directory::BackendServer &server)
{
    const auto [entry, isNew] = listed_.try_emplace(softwareId(server.service, server.version));
    ListedVersion &listed = entry->second;
    const TimePoint now = tools_.loop->now();
    if (isNew) {
        listed = {server.service, server.version, now};
    }
    if (!listed.mayBegin) {
        recordIfFirst(server.service);
        const KnownRow *known = findRow(server.service);
        listed.isRecorded = known && now - known->knownAt <= MaxRowAge && isOfThisEra(*known) && isRecorded(server.version, known->row);
        listed.mayBegin = listed.isRecorded;
    }
    return listed.mayBegin;
}

// Until a service has a row, no stream can begin at it.
void SoftwareHistory::recordIfFirst(const std::string &service)
{
    if (!isRecording_ && !findRow(service) && tools_.loop->now() >= recordsAgainAt_) {
        record(service);
    }
}

bool SoftwareHistory::mayHaveSeveral(const std::string &service) const
{
    return !singles_.contains(service);
}

std::size_t SoftwareHistory::recordedVersions() const
{
    return static_cast<std::size_t>(std::count_if(listed_.begin(), listed_.end(), [](const auto &entry) { return entry.second.isRecorded; }));
}

void SoftwareHistory::read(std::function<void()> done)
{
    nextRead_.push_back(std::move(done));
    startRead();
}

void SoftwareHistory::startRead()
{
    if (isReading_ || nextRead_.empty() || readTimer_ != 0) {
        return;
    }
    const TimePoint now = tools_.loop->now();
    if (now < readsAgainAt_) {
        readTimer_ = tools_.loop->after(readsAgainAt_ - now, [weak = weak_from_this()] {
            if (const auto self = weak.lock()) {
                self->readTimer_ = 0;
                self->startRead();
            }
        });
        return;
    }
    isReading_ = true;
    readsAgainAt_ = now + MinReadGap;
    currentRead_ = std::exchange(nextRead_, {});
    tools_.store->read(Table, {}, [weak = weak_from_this()](const rows::ReadResult &result) {
        if (const auto self = weak.lock()) {
            self->onRead(result);
        }
    });
}

void SoftwareHistory::onRead(const rows::ReadResult &result)
{
    isReading_ = false;
    hasReadFailed_ = result.failure != rows::StoreFailure::None;
    if (!hasReadFailed_) {
        rows_.clear();
        for (const rows::Row &row : result.page.rows) {
            if (const auto parsed = parseSoftwareRow(row.value)) {
                rows_[row.key] = {*parsed, row.version, tools_.loop->now()};
            }
        }
    }
    for (const auto &done : std::exchange(currentRead_, {})) {
        done();
    }
    startRead();
}

void SoftwareHistory::tick()
{
    const auto versions = listedVersions();
    noteListed(versions);
    updateSingles(versions);
    admitWithoutStore();
    if (isRecording_ || tools_.loop->now() < recordsAgainAt_) {
        return;
    }
    const auto due = std::find_if(versions.begin(), versions.end(), [this](const auto &entry) { return isRecordDue(entry.first, entry.second); });
    if (due != versions.end()) {
        record(due->first);
    }
}

void SoftwareHistory::noteListed(const VersionsByService &versions)
{
    std::erase_if(listed_, [&versions](const auto &entry) {
        const auto service = versions.find(entry.second.service);
        return service == versions.end() || !service->second.contains(entry.second.version);
    });
    for (const auto &[service, names] : versions) {
        for (const std::string &version : names) {
            const auto [entry, isNew] = listed_.try_emplace(softwareId(service, version));
            if (isNew) {
                entry->second = {service, version, tools_.loop->now()};
            }
        }
        const auto [first, isFirst] = firstListed_.try_emplace(service, *names.begin());
        if (names.size() > 1 || first->second != *names.begin()) {
            changed_.insert(service);
        }
    }
}

void SoftwareHistory::updateSingles(const VersionsByService &versions)
{
    singles_.clear();
    const auto now = storeTime();
    for (const auto &[service, names] : versions) {
        const KnownRow *known = findRow(service);
        if (now && known && names.size() == 1 && isOfThisEra(*known) && isOnlyVersion(*names.begin(), known->row, *now)) {
            singles_.insert(service);
        }
    }
}

// Else nothing could be served at a new version while the store is down.
void SoftwareHistory::admitWithoutStore()
{
    for (auto &[software, listed] : listed_) {
        if (!listed.mayBegin && tools_.loop->now() - listed.firstSeenAt >= MaxWaitForStore) {
            listed.mayBegin = true;
            logRecorded(listed.service, listed.version, "no_answer");
        }
    }
}

void SoftwareHistory::logRecorded(const std::string &service, std::string_view version, std::string_view outcome) const
{
    using eventlog::Attribute;
    if (tools_.log) {
        tools_.log->write(eventlog::Event::SoftwareRecorded, {{Attribute::Service, service}, {Attribute::Software, version}, {Attribute::Outcome, outcome}});
    }
}

bool SoftwareHistory::isRecordDue(const std::string &service, const std::set<std::string> &versions) const
{
    const TimePoint now = tools_.loop->now();
    const bool isRecorder = isRecorder_ && isRecorder_();
    const KnownRow *known = findRow(service);
    const bool isUnrecorded = std::any_of(listed_.begin(), listed_.end(), [&](const auto &entry) {
        const ListedVersion &listed = entry.second;
        return listed.service == service && !listed.isRecorded && (isRecorder || !known || now - listed.firstSeenAt >= RecorderLead);
    });
    const bool isGone = versions.size() == 1 && mayHaveSeveral(service) && known && now - known->knownAt >= RereadPeriod;
    return isUnrecorded || isGone || (isRecorder && mustWrite(service, versions));
}

bool SoftwareHistory::mustWrite(const std::string &service, const std::set<std::string> &versions) const
{
    const KnownRow *known = findRow(service);
    if (!known || !isOfThisEra(*known)) {
        return true;
    }
    const SoftwareRow &row = known->row;
    const bool lacksVersion = std::any_of(versions.begin(), versions.end(), [&row](const auto &version) { return !origins::isRecorded(version, row); });
    const bool isRecorder = isRecorder_ && isRecorder_();
    return lacksVersion || (isRecorder && row.version.has_value() != (versions.size() == 1));
}

// Reads first: another VM may have recorded it.
void SoftwareHistory::record(const std::string &service)
{
    isRecording_ = true;
    read([weak = weak_from_this(), service] {
        const auto self = weak.lock();
        if (!self) {
            return;
        }
        const auto versions = self->listedVersions();
        const auto listed = versions.find(service);
        if (self->hasReadFailed_ || !self->storeTime()) {
            self->endRecording(true);
            return;
        }
        self->noteRecorded(service);
        if (listed == versions.end() || !self->mustWrite(service, listed->second)) {
            self->endRecording(false);
            return;
        }
        self->writeRow(service, listed->second);
    });
}

void SoftwareHistory::noteRecorded(const std::string &service)
{
    const KnownRow *known = findRow(service);
    if (!known || !isOfThisEra(*known)) {
        return;
    }
    for (auto &[software, listed] : listed_) {
        if (listed.service == service && !listed.isRecorded && isRecorded(listed.version, known->row)) {
            listed.isRecorded = true;
            listed.mayBegin = true;
            logRecorded(service, listed.version, "known");
        }
    }
}

// A VM that is not the recorder only adds versions: its list may be old.
SoftwareRow SoftwareHistory::rowFor(const std::string &service, const std::set<std::string> &versions) const
{
    const KnownRow *known = findRow(service);
    const bool isRecorder = isRecorder_ && isRecorder_();
    SoftwareRow row;
    row.era = tools_.store->eras().current();
    if (versions.size() == 1 && (isRecorder || !known || !isOfThisEra(*known))) {
        row.version = *versions.begin();
        row.since = !known && !changed_.contains(service) ? Duration(0) : *storeTime();
    }
    return row;
}

void SoftwareHistory::writeRow(const std::string &service, const std::set<std::string> &versions)
{
    const KnownRow *known = findRow(service);
    const SoftwareRow row = rowFor(service, versions);
    rows::RowWrite write;
    write.table = Table;
    write.key = service;
    write.value = formatSoftwareRow(row);
    write.isConditional = true;
    write.expectedVersion = known ? known->version : rows::StoreVersion();
    tools_.store->write({write}, [weak = weak_from_this(), service, row](const rows::WriteResult &result) {
        if (const auto self = weak.lock()) {
            self->onWritten(service, row, result);
        }
    });
}

void SoftwareHistory::onWritten(const std::string &service, const SoftwareRow &row, const rows::WriteResult &result)
{
    if (result.outcome == rows::WriteOutcome::Written) {
        rows_[service] = {row, result.version, tools_.loop->now()};
        logRecorded(service, row.version.value_or(std::string()), "written");
        noteRecorded(service);
    }
    // After a conflict the row is read again: another VM has changed it.
    endRecording(result.outcome != rows::WriteOutcome::Written && result.outcome != rows::WriteOutcome::Conflict);
}

void SoftwareHistory::endRecording(bool hasFailed)
{
    isRecording_ = false;
    if (hasFailed) {
        recordsAgainAt_ = tools_.loop->now() + RetryDelay;
    }
}

} // namespace cardamomlift::origins
