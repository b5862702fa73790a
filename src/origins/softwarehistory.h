#pragma once

#include "directory/directory.h"
#include "kernel/eventloop.h"
#include "origins/originstypes.h"
#include "rows/rowstore.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace cardamomlift::origins {

/// What the store keeps of one service: whether its servers have one version, and since when.
struct SoftwareRow {
    std::optional<std::string> version; ///< Empty while servers of several versions are listed.
    Duration since{0}; ///< By the store's clock; 0: no other version has ever been listed.
};

std::string formatSoftwareRow(const SoftwareRow &row);
/// Empty if @p value can't be parsed.
std::optional<SoftwareRow> parseSoftwareRow(std::string_view value);

/// Whether a stream that nobody knows can have begun with one version only: @p present and @p row agree on it, and no other has been
/// listed by @p storeTime for as long as callers may still come with a stream.
bool isOnlyVersion(const std::string &present, const SoftwareRow &row, Duration storeTime);

/// Dependencies of a SoftwareHistory.
struct SoftwareHistoryTools {
    EventLoop *loop = nullptr;
    std::shared_ptr<directory::Directory> directory;
    std::shared_ptr<rows::RowStore> store;
};

/// Knows, over restarts of all VMs, whether a service's servers have had a single version for long. The VM with the lease on duties
/// writes each change to the store; a VM that needs to know reads it there.
class SoftwareHistory : public std::enable_shared_from_this<SoftwareHistory>
{
public:
    using Handler = std::function<void(std::optional<SoftwareId> software)>;

    static std::shared_ptr<SoftwareHistory> create(SoftwareHistoryTools tools);
    /// @p isRecorder: whether this VM writes changes now.
    void setRecorderCheck(std::function<bool()> isRecorder);
    /// Calls @p handler with the software of @p service if it has had only one version since before any stream of a caller can have begun;
    /// else, and if that can't be known now, with an empty value.
    void findOnly(const std::string &service, Handler handler);
    /// Records changes, if this VM does that. Called several times a second.
    void tick();

private:
    explicit SoftwareHistory(SoftwareHistoryTools tools);
    std::map<std::string, std::optional<std::string>> listedVersions() const;
    std::optional<std::string> onlyListedVersion(const std::string &service) const;
    std::optional<Duration> storeTime() const;
    void read(std::function<void()> done);
    void onRead(const rows::ReadResult &result);
    bool isRecorded(const std::string &service, const std::optional<std::string> &version) const;
    void record(const std::string &service, const std::optional<std::string> &version);
    void writeRow(const std::string &service, const std::optional<std::string> &version);
    void endRecording(bool hasFailed);

    struct KnownRow {
        SoftwareRow row;
        rows::StoreVersion version;
    };
    SoftwareHistoryTools tools_;
    std::function<bool()> isRecorder_;
    std::map<std::string, KnownRow> rows_; ///< By service, as last read or written.
    std::optional<TimePoint> readAt_; ///< When the last successful read was answered.
    std::vector<std::function<void()>> waiting_; ///< For the read in progress.
    bool isRecording_ = false;
    TimePoint recordsAgainAt_; ///< After a call that has failed.
};

} // namespace cardamomlift::origins
