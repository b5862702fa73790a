#include "origins/storedorigins.h"

#include "origins/originsformat.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <utility>

namespace cardamomlift::origins {

namespace {

constexpr char Table[] = "stream-origins";
/// At least this long between two rows. A stream that began within it can't be resumed if all VMs end, and many streams last no longer than
/// half a second.
constexpr Duration WriteGap = std::chrono::milliseconds(80);
constexpr Duration RetryDelay = std::chrono::seconds(1);
/// Some 48 KB; the store takes rows of 64 KB.
constexpr std::size_t MaxOriginsPerRow = 2000;
/// The oldest are dropped first while the store does not answer.
constexpr std::size_t MaxPending = 20'000;
/// A transaction takes 100 entries.
constexpr std::size_t MaxRemovals = 90;
constexpr Duration ExpiredSearchPeriod = std::chrono::minutes(10);
/// A row is removed this long after its origins have expired, when no VM reads it any more.
constexpr Duration RemovalDelay = std::chrono::seconds(10);
constexpr int KeyDigits = 15;

/// Keys of rows that were written at @p time or later are not less than this.
std::string firstKey(Duration time)
{
    return fmt::format("{:0{}}", std::max<std::int64_t>(0, toMilliseconds(time)), KeyDigits);
}

std::optional<Duration> timeOfKey(std::string_view key)
{
    std::int64_t milliseconds = 0;
    const std::string_view digits = key.substr(0, KeyDigits);
    const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), milliseconds);
    const bool isTime = error == std::errc() && end == digits.data() + digits.size();
    return isTime ? std::optional<Duration>(std::chrono::milliseconds(milliseconds)) : std::nullopt;
}

bool isExpired(std::string_view key, Duration now)
{
    const auto time = timeOfKey(key);
    return time && now - *time >= OriginLifetime + RemovalDelay;
}

} // namespace

StoredOrigins::StoredOrigins(StoredOriginsTools tools)
    : tools_(std::move(tools))
{
}

std::shared_ptr<StoredOrigins> StoredOrigins::create(StoredOriginsTools tools)
{
    return std::shared_ptr<StoredOrigins>(new StoredOrigins(std::move(tools)));
}

StoredOrigins::~StoredOrigins()
{
    tools_.loop->cancel(writeTimer_);
}

std::optional<Duration> StoredOrigins::storeTime() const
{
    return tools_.store->timeAt(tools_.loop->now());
}

void StoredOrigins::add(const StreamOrigin &origin)
{
    pending_.push_back({origin, tools_.loop->now()});
    if (pending_.size() > MaxPending) {
        pending_.pop_front();
    }
    if (writeTimer_ == 0 && !isWriting_) {
        scheduleWrite(untilNextWrite());
    }
}

Duration StoredOrigins::untilNextWrite() const
{
    return std::max(Duration(0), writesAgainAt_ - tools_.loop->now());
}

void StoredOrigins::scheduleWrite(Duration delay)
{
    writeTimer_ = tools_.loop->after(delay, [weak = weak_from_this()] {
        if (const auto self = weak.lock()) {
            self->writeTimer_ = 0;
            self->write();
        }
    });
}

std::vector<StreamOrigin> StoredOrigins::nextOrigins() const
{
    std::vector<StreamOrigin> origins;
    for (std::size_t i = 0; i < std::min(pending_.size(), MaxOriginsPerRow); i++) {
        origins.push_back(pending_[i].origin);
        origins.back().age += tools_.loop->now() - pending_[i].addedAt;
    }
    return origins;
}

void StoredOrigins::write()
{
    const auto now = storeTime();
    if (!now) {
        scheduleWrite(RetryDelay);
        return;
    }
    findExpired();
    const std::vector<StreamOrigin> origins = nextOrigins();
    std::vector<rows::RowWrite> writes = takeExpired(*now);
    rows::RowWrite row;
    row.table = Table;
    row.key = firstKey(*now) + "-" + tools_.instance;
    row.value = encodeOrigins(origins);
    writes.push_back(row);
    isWriting_ = true;
    writesAgainAt_ = tools_.loop->now() + WriteGap;
    tools_.store->write(std::move(writes), [weak = weak_from_this(), key = row.key, count = origins.size()](const rows::WriteResult &result) {
        if (const auto self = weak.lock()) {
            self->onWritten(key, count, result);
        }
    });
}

// Origins whose row may have been written are written again: a second row that says the same does no harm.
void StoredOrigins::onWritten(const std::string &key, std::size_t count, const rows::WriteResult &result)
{
    isWriting_ = false;
    written_.push_back(key);
    const bool isWritten = result.outcome == rows::WriteOutcome::Written;
    if (isWritten) {
        pending_.erase(pending_.begin(), pending_.begin() + static_cast<std::ptrdiff_t>(std::min(count, pending_.size())));
    }
    if (!pending_.empty()) {
        scheduleWrite(isWritten ? untilNextWrite() : RetryDelay);
    }
}

std::vector<rows::RowWrite> StoredOrigins::takeExpired(Duration now)
{
    std::vector<rows::RowWrite> removals;
    while (!written_.empty() && removals.size() < MaxRemovals && isExpired(written_.front(), now)) {
        rows::RowWrite removal;
        removal.table = Table;
        removal.key = std::move(written_.front());
        removal.removes = true;
        removals.push_back(std::move(removal));
        written_.pop_front();
    }
    return removals;
}

void StoredOrigins::findExpired()
{
    if (tools_.loop->now() < looksForExpiredAt_) {
        return;
    }
    looksForExpiredAt_ = tools_.loop->now() + ExpiredSearchPeriod;
    tools_.store->read(Table, {}, [weak = weak_from_this()](const rows::ReadResult &result) {
        const auto self = weak.lock();
        const auto now = self ? self->storeTime() : std::nullopt;
        if (!now) {
            return;
        }
        const auto &rows = result.page.rows;
        const auto firstKept = std::find_if(rows.begin(), rows.end(), [&now](const rows::Row &row) { return !isExpired(row.key, *now); });
        std::for_each(std::make_reverse_iterator(firstKept), rows.rend(), [&self](const rows::Row &row) { self->written_.push_front(row.key); });
    });
}

void StoredOrigins::read(ReadHandler handler)
{
    readers_.push_back(std::move(handler));
    if (readers_.size() > 1) {
        return;
    }
    const auto now = storeTime();
    if (!now) {
        tools_.loop->post([weak = weak_from_this()] {
            if (const auto self = weak.lock()) {
                self->endReading({});
            }
        });
        return;
    }
    readPage(firstKey(*now - OriginLifetime), {});
}

void StoredOrigins::readPage(const std::string &from, std::vector<StreamOrigin> found)
{
    tools_.store->read(Table, from, [weak = weak_from_this(), found = std::move(found)](const rows::ReadResult &result) mutable {
        const auto self = weak.lock();
        if (!self) {
            return;
        }
        const auto now = self->storeTime();
        for (const rows::Row &row : result.page.rows) {
            const auto writtenAt = timeOfKey(row.key);
            if (!writtenAt || !now) {
                continue;
            }
            for (StreamOrigin origin : decodeOrigins(row.value)) {
                origin.age += std::max(Duration(0), *now - *writtenAt);
                found.push_back(origin);
            }
        }
        if (result.page.hasMore && !result.page.rows.empty()) {
            self->readPage(result.page.rows.back().key + '\0', std::move(found));
            return;
        }
        self->endReading(found);
    });
}

void StoredOrigins::endReading(std::span<const StreamOrigin> found)
{
    for (const ReadHandler &handler : std::exchange(readers_, {})) {
        handler(found);
    }
}

} // namespace cardamomlift::origins
