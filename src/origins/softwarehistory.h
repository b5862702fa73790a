#pragma once

#include "directory/directory.h"
#include "eventlog/eventlog.h"
#include "kernel/eventloop.h"
#include "origins/originstypes.h"
#include "rows/rowstore.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace cardamomlift::origins {

/// What the store keeps of one service: the versions of its servers at which streams may have begun.
struct SoftwareRow {
    std::optional<std::string> version; ///< Empty while servers of several versions are listed.
    Duration since{0}; ///< By the store's clock; 0: no other version has ever been listed.
    std::uint64_t era = 0; ///< Of the store when the row was written. A row of an earlier era is from a restored copy.
};

std::string formatSoftwareRow(const SoftwareRow &row);
/// Empty if @p value can't be parsed.
std::optional<SoftwareRow> parseSoftwareRow(std::string_view value);

/// Whether a stream that nobody knows can have begun with one version only: @p present and @p row agree on it, and no other has been
/// listed by @p storeTime for as long as callers may still come with a stream.
bool isOnlyVersion(const std::string &present, const SoftwareRow &row, Duration storeTime);
/// Whether streams may begin at @p version: a VM that reads @p row does not take them for streams of another version.
bool isRecorded(const std::string &version, const SoftwareRow &row);

/// Dependencies of a SoftwareHistory.
struct SoftwareHistoryTools {
    EventLoop *loop = nullptr;
    std::shared_ptr<directory::Directory> directory;
    std::shared_ptr<rows::RowStore> store;
    std::shared_ptr<eventlog::EventLog> log; ///< May be null.
};

/// Knows, over restarts of all VMs, whether a service's servers have had a single version for long. A version is written to the store
/// before any VM begins a stream at it, so a row that is read when a stream is resumed names each version that can have begun it, however
/// old this VM's own list of servers is.
class SoftwareHistory : public std::enable_shared_from_this<SoftwareHistory>
{
public:
    using Handler = std::function<void(std::optional<SoftwareId> software)>;

    static std::shared_ptr<SoftwareHistory> create(SoftwareHistoryTools tools);
    ~SoftwareHistory();
    /// @p isRecorder: whether this VM writes changes before others do, and takes versions that are gone out of the rows.
    void setRecorderCheck(std::function<bool()> isRecorder);
    /// Calls @p handler with the software of @p service if it has had only one version since before any stream of a caller can have begun;
    /// else, and if that can't be known now, with an empty value. Reads the store after the call.
    void findOnly(const std::string &service, Handler handler);
    /// Whether a stream that may be resumed may begin at @p server: the store knows of its version. If the store has not answered for some
    /// time, it may begin without that.
    bool mayBegin(const directory::BackendServer &server);
    /// Whether servers of several versions of @p service serve, or have served lately, as far as this VM knows.
    bool mayHaveSeveral(const std::string &service) const;
    /// Versions of all services at which streams may begin.
    std::size_t recordedVersions() const;
    /// Records changes. Called several times a second.
    void tick();

private:
    explicit SoftwareHistory(SoftwareHistoryTools tools);
    /// A version of a service that is in this VM's list of servers.
    struct ListedVersion {
        std::string service;
        std::string version;
        TimePoint firstSeenAt;
        bool isRecorded = false; ///< The store knows of it.
        bool mayBegin = false;
    };
    struct KnownRow {
        SoftwareRow row;
        rows::StoreVersion version;
        TimePoint knownAt; ///< When it was read or written.
    };
    using VersionsByService = std::map<std::string, std::set<std::string>>;
    VersionsByService listedVersions() const;
    std::optional<std::string> onlyListedVersion(const std::string &service) const;
    std::optional<Duration> storeTime() const;
    const KnownRow *findRow(const std::string &service) const;
    bool isOfThisEra(const KnownRow &known) const;
    void noteListed(const VersionsByService &versions);
    void updateSingles(const VersionsByService &versions);
    void admitWithoutStore();
    /// Whether the row of @p service is to be read, and written if it lacks something.
    bool isRecordDue(const std::string &service, const std::set<std::string> &versions) const;
    bool mustWrite(const std::string &service, const std::set<std::string> &versions) const;
    void record(const std::string &service);
    void recordIfFirst(const std::string &service);
    void noteRecorded(const std::string &service);
    SoftwareRow rowFor(const std::string &service, const std::set<std::string> &versions) const;
    void writeRow(const std::string &service, const std::set<std::string> &versions);
    void onWritten(const std::string &service, const SoftwareRow &row, const rows::WriteResult &result);
    void endRecording(bool hasFailed);
    /// @p version: empty for several.
    void logRecorded(const std::string &service, std::string_view version, std::string_view outcome) const;
    /// Calls @p done after a read that begins later than now.
    void read(std::function<void()> done);
    void startRead();
    void onRead(const rows::ReadResult &result);

    SoftwareHistoryTools tools_;
    std::function<bool()> isRecorder_;
    std::unordered_map<SoftwareId, ListedVersion> listed_;
    std::map<std::string, std::string> firstListed_; ///< A version of each service that this VM has listed first.
    std::set<std::string> changed_; ///< Services of which this VM has listed several versions.
    std::set<std::string, std::less<>> singles_; ///< Services that have had a single version for long.
    std::map<std::string, KnownRow> rows_; ///< By service, as last read or written.
    std::vector<std::function<void()>> nextRead_; ///< Wait for a read that begins after they have come.
    std::vector<std::function<void()>> currentRead_;
    bool isReading_ = false;
    bool hasReadFailed_ = false; ///< The last read.
    TimePoint readsAgainAt_;
    TimerId readTimer_ = 0;
    bool isRecording_ = false;
    TimePoint recordsAgainAt_; ///< After a call that has failed.
};

} // namespace cardamomlift::origins
