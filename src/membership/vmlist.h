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

/// Parses one entry of the platform's list. Empty if a required field is missing or has the wrong type, or if the role or
/// state is unknown.
std::optional<Vm> vmFromJson(const Json::Value &json);
Json::Value vmToJson(const Vm &vm);

/// Counters of the requests for the platform's list, for docs/CAPACITY.md.
struct VmListCounters {
    std::uint64_t reads = 0;
    std::uint64_t bytesSent = 0; ///< Of the whole HTTP exchanges, including headers.
    std::uint64_t bytesReceived = 0;
};

/// The nominal interval between two reads of the list by one VM. All @p entries entry VMs together read it about four times a
/// second, whatever their number, within limits for very small and very large fleets; they publish new VMs to each other.
Duration listReadInterval(std::size_t entries);
/// The delay of VM @p self after its read number @p readNumber, counted from 1. It differs from VM to VM, so that VMs that
/// were started at the same time do not read at the same time.
Duration listReadDelay(std::size_t entries, const std::string &self, std::uint64_t readNumber);

/// Periodically reads the platform's list of VMs into Members.
class VmListReader
{
public:
    static std::shared_ptr<VmListReader> create(EventLoop &loop, std::shared_ptr<http::Client> client, std::shared_ptr<Members> members, std::string endpoint);
    void start();
    /// Sets the handler to call for each VM that the list shows and Members does not know yet, except in the first read.
    void onFirstSeen(std::function<void(const Vm &vm)> handler);
    /// True after the first successful read.
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
