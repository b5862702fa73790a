#include "origins/softwarehistory.h"

#include "http/json.h"

#include <utility>

namespace cardamomlift::origins {

namespace {

constexpr char Table[] = "service-software";
/// What was read this long ago is used again, so that many streams cost one call.
constexpr Duration MaxReadAge = std::chrono::seconds(1);
constexpr Duration RetryDelay = std::chrono::seconds(2);
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
    return http::writeJson(json);
}

std::optional<SoftwareRow> parseSoftwareRow(std::string_view value)
{
    const auto json = http::parseJson(value);
    if (!json || !json->isObject()) {
        return std::nullopt;
    }
    SoftwareRow row;
    if ((*json)["version"].isString() && (*json)["since_ms"].isInt64()) {
        row.version = (*json)["version"].asString();
        row.since = std::chrono::milliseconds((*json)["since_ms"].asInt64());
    }
    return row;
}

bool isOnlyVersion(const std::string &present, const SoftwareRow &row, Duration storeTime)
{
    return row.version == present && (row.since == Duration(0) || storeTime - row.since >= OriginLifetime);
}

SoftwareHistory::SoftwareHistory(SoftwareHistoryTools tools)
    : tools_(std::move(tools))
{
}

std::shared_ptr<SoftwareHistory> SoftwareHistory::create(SoftwareHistoryTools tools)
{
    return std::shared_ptr<SoftwareHistory>(new SoftwareHistory(std::move(tools)));
}

void SoftwareHistory::setRecorderCheck(std::function<bool()> isRecorder)
{
    isRecorder_ = std::move(isRecorder);
}

std::map<std::string, std::optional<std::string>> SoftwareHistory::listedVersions() const
{
    std::map<std::string, std::optional<std::string>> versions;
    for (const auto &[instance, known] : tools_.directory->all()) {
        const directory::BackendServer &server = known->server;
        const auto [entry, isNew] = versions.try_emplace(server.service, server.version);
        if (!isNew && entry->second != server.version) {
            entry->second.reset();
        }
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
    return found == versions.end() ? std::nullopt : found->second;
}

std::optional<Duration> SoftwareHistory::storeTime() const
{
    const auto clock = tools_.store->clock();
    return clock ? std::optional(clock->storeTime + (tools_.loop->now() - clock->readAt)) : std::nullopt;
}

void SoftwareHistory::findOnly(const std::string &service, Handler handler)
{
    read([weak = weak_from_this(), service, handler = std::move(handler)] {
        const auto self = weak.lock();
        if (!self) {
            return;
        }
        const TimePoint now = self->tools_.loop->now();
        const bool isFresh = self->readAt_ && now - *self->readAt_ <= MaxReadAge;
        const auto version = self->onlyListedVersion(service);
        const auto row = self->rows_.find(service);
        const auto storeTime = self->storeTime();
        if (!isFresh || !version || row == self->rows_.end() || !storeTime || !isOnlyVersion(*version, row->second.row, *storeTime)) {
            handler(std::nullopt);
            return;
        }
        handler(softwareId(service, *version));
    });
}

void SoftwareHistory::read(std::function<void()> done)
{
    if (readAt_ && tools_.loop->now() - *readAt_ <= MaxReadAge) {
        done();
        return;
    }
    waiting_.push_back(std::move(done));
    if (waiting_.size() > 1) {
        return;
    }
    tools_.store->read(Table, {}, [weak = weak_from_this()](const rows::ReadResult &result) {
        if (const auto self = weak.lock()) {
            self->onRead(result);
        }
    });
}

void SoftwareHistory::onRead(const rows::ReadResult &result)
{
    if (result.failure == rows::StoreFailure::None) {
        readAt_ = tools_.loop->now();
        rows_.clear();
        for (const rows::Row &row : result.page.rows) {
            if (const auto parsed = parseSoftwareRow(row.value)) {
                rows_[row.key] = {*parsed, row.version};
            }
        }
    }
    for (const auto &done : std::exchange(waiting_, {})) {
        done();
    }
}

void SoftwareHistory::tick()
{
    if (!isRecorder_ || !isRecorder_() || isRecording_ || tools_.loop->now() < recordsAgainAt_) {
        return;
    }
    for (const auto &[service, version] : listedVersions()) {
        if (!isRecorded(service, version)) {
            record(service, version);
            return;
        }
    }
}

bool SoftwareHistory::isRecorded(const std::string &service, const std::optional<std::string> &version) const
{
    const auto row = rows_.find(service);
    return row != rows_.end() && row->second.row.version == version;
}

// Reads first: another VM may have recorded it.
void SoftwareHistory::record(const std::string &service, const std::optional<std::string> &version)
{
    isRecording_ = true;
    read([weak = weak_from_this(), service, version] {
        const auto self = weak.lock();
        if (!self) {
            return;
        }
        const bool canWrite = self->readAt_ && self->storeTime();
        if (!canWrite || self->isRecorded(service, version)) {
            self->endRecording(!canWrite);
            return;
        }
        self->writeRow(service, version);
    });
}

void SoftwareHistory::writeRow(const std::string &service, const std::optional<std::string> &version)
{
    const auto known = rows_.find(service);
    const bool isFirst = known == rows_.end();
    const SoftwareRow row{version, isFirst ? Duration(0) : *storeTime()};
    rows::RowWrite write;
    write.table = Table;
    write.key = service;
    write.value = formatSoftwareRow(row);
    write.isConditional = true;
    write.expectedVersion = isFirst ? rows::StoreVersion() : known->second.version;
    tools_.store->write({write}, [weak = weak_from_this(), service, row](const rows::WriteResult &result) {
        const auto self = weak.lock();
        if (!self) {
            return;
        }
        const bool isWritten = result.outcome == rows::WriteOutcome::Written;
        if (isWritten) {
            self->rows_[service] = {row, result.version};
        } else {
            self->readAt_.reset();
        }
        self->endRecording(!isWritten);
    });
}

void SoftwareHistory::endRecording(bool hasFailed)
{
    isRecording_ = false;
    if (hasFailed) {
        recordsAgainAt_ = tools_.loop->now() + RetryDelay;
    }
}

} // namespace cardamomlift::origins
