#pragma once

#include "http/client.h"
#include "kernel/eventloop.h"
#include "membership/members.h"

#include <json/json.h>

#include <memory>
#include <optional>

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

/// Reads the platform's list of VMs again and again into Members.
class VmListReader
{
public:
    static std::shared_ptr<VmListReader> create(EventLoop &loop, std::shared_ptr<http::Client> client, std::shared_ptr<Members> members, std::string endpoint);
    void start(Duration period);
    /// True after the first whole reading.
    bool hasRead() const;
    const VmListCounters &counters() const;

private:
    VmListReader() = default;
    void read();
    EventLoop *loop_ = nullptr;
    std::shared_ptr<http::Client> client_;
    std::shared_ptr<Members> members_;
    std::string endpoint_;
    VmListCounters counters_;
    bool hasRead_ = false;
    bool reading_ = false;
};

} // namespace cardamomlift::membership
