#pragma once

#include "http/client.h"
#include "kernel/eventloop.h"
#include "membership/members.h"

#include <json/json.h>

#include <functional>
#include <memory>
#include <optional>
#include <span>

namespace cardamomlift::membership {

/// One entry of the platform's list. Empty if a member is missing or has the wrong type.
std::optional<Vm> vmFromJson(const Json::Value &json);
Json::Value vmToJson(const Vm &vm);

/// Readings of the list, for docs/CAPACITY.md.
struct VmListCounters {
    std::uint64_t reads = 0;
    std::uint64_t bytesSent = 0; ///< Whole HTTP exchanges.
    std::uint64_t bytesReceived = 0;
};

/// How long one VM waits between two readings of the list. All @p entries VMs together read it about four times a second,
/// whatever their number, and tell each other what is new.
Duration listReadInterval(std::size_t entries);
/// The wait of VM @p self after its reading number @p reading, from 1. Differs from VM to VM, so that VMs that were all started
/// at once don't read all at once.
Duration listReadDelay(std::size_t entries, const std::string &self, std::uint64_t readNumber);

/// Reads the platform's list of VMs again and again into Members.
class VmListReader
{
public:
    static std::shared_ptr<VmListReader> create(EventLoop &loop, std::shared_ptr<http::Client> client, std::shared_ptr<Members> members, std::string endpoint);
    void start();
    /// Calls @p handler for each VM that a reading shows for the first time, but not for those of the first reading.
    void onFirstSeen(std::function<void(const Vm &vm)> handler);
    /// True after the first whole reading.
    bool hasRead() const;
    const VmListCounters &counters() const;

private:
    VmListReader() = default;
    void scheduleRead();
    void read();
    void onList(std::span<const Vm> list);
    EventLoop *loop_ = nullptr;
    std::shared_ptr<http::Client> client_;
    std::shared_ptr<Members> members_;
    std::string endpoint_;
    VmListCounters counters_;
    bool hasRead_ = false;
    std::uint64_t readCount_ = 0;
    std::function<void(const Vm &vm)> firstSeenHandler_;
};

} // namespace cardamomlift::membership
