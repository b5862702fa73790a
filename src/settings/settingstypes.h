#pragma once

#include "http1/http1types.h"
#include "kernel/clock.h"
#include "membership/membershiptypes.h"
#include "rollout/rollouttypes.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace cardamomlift::settings {

/// One port the daemon listens on.
struct ListenSettings {
    std::string address = "127.0.0.1"; ///< An IPv4 number.
    std::uint16_t port = 0; ///< 0: the system picks one, printed in the ready line.
    std::string certificateFile; ///< PEM; empty: plaintext.
    std::string privateKeyFile;
    std::string authorityFile; ///< Peers only: the authority of their certificates (PEM); peers check each other by it.
    unsigned idleSeconds = 30; ///< A request must be whole within this time; a silent connection is closed after it.
};

/// Where the platform's services are.
struct PlatformSettings {
    bool inMemory = false; ///< Keep all in this process: for a first look at one daemon alone.
    std::string tableEndpoint; ///< "http://10.0.0.1:8000"
    std::string tableName = "cardamomlift";
    std::string region = "local";
    std::string accessKey;
    std::string secretKey;
    std::string vmListEndpoint; ///< The platform's list of VMs.
    std::string noticeEndpoint; ///< Where this VM reads its own reclaim notice.
    std::string cloudEndpoint; ///< Where backend VMs are ordered; empty: somebody else orders them.
    std::vector<membership::Vm> vms; ///< With inMemory: the backend servers, since there is no list to read.
};

/// Bounds of one daemon, which protect its VM.
struct LimitSettings {
    std::size_t openRequests = 4000; ///< Callers' requests held at once.
    std::size_t memoryMegabytes = 256; ///< Above it new work is refused.
    std::size_t bodyKilobytes = 1024; ///< Of one request.
    std::size_t callerBufferKilobytes = 256; ///< Answer bytes held for one slow caller.
    std::size_t drainSeconds = 600; ///< At shutdown: what is open after this time is handed to other VMs.
};

/// A daemon that passes requests on by the routes of a declared manifest, and keeps in the platform's store what must last.
struct RouteGatewaySettings {
    http1::Endpoint callers; ///< Callers connect here.
    http1::Endpoint readiness; ///< The balancer asks here whether this VM takes new connections.
    http1::Endpoint metrics; ///< The metrics page; port 0: none.
    std::string address; ///< Of this VM, for its peers.
    std::uint16_t firstPeerPort = 0; ///< Free for calls between entry VMs.
    http1::Endpoint store; ///< The platform's store of rows.
    std::optional<http1::Endpoint> cloud; ///< Where usage is reported and backend servers are ordered.
    std::vector<std::string> zones; ///< All failure domains.
    std::size_t memoryMegabytes = 256; ///< Of the process; above it the platform ends it.
    std::size_t descriptors = 4096;
    bool mayReportUsage = false;
    bool mayOrderServers = false;
    bool strictKeys = true; ///< A key that was taken away may not be used later than keyRevocation.
    Duration keyRevocation = std::chrono::seconds(5);
    Duration grace = std::chrono::seconds(8); ///< From SIGTERM to the end of the process.
    Duration lease = std::chrono::seconds(3); ///< Two holders may not act in turns within this.
    Duration usageWindow = std::chrono::seconds(5);
    Duration usageDue = std::chrono::seconds(10); ///< After the end of a window.
    double retryRatio = 0.2; ///< Repeated sends over requests, to one service, by all VMs.
    double retrySlack = 10; ///< And this many more in a retry window.
    rollout::RolloutLimits rollouts;
    double allowanceSlack = 0; ///< What all VMs together may let through above an allowance in its window.
};

/// The settings of one daemon, read once at the start.
struct Settings {
    std::string instance; ///< Name of this VM instance, never used again by another VM.
    std::string zone; ///< The failure domain.
    std::string region = "default";
    ListenSettings callers;
    ListenSettings operators;
    ListenSettings peers;
    std::string operatorTokenSha256; ///< Hex; operators send the token as a bearer token.
    std::string peerToken; ///< Shared by the entry VMs; peers refuse calls without it.
    PlatformSettings platform;
    LimitSettings limits;
    std::string logLevel = "info";
    std::optional<RouteGatewaySettings> routes; ///< Set: this daemon serves routes; otherwise chats.
    std::vector<std::string> contractFiles; ///< With platform.inMemory: applied at the start.
};

} // namespace cardamomlift::settings
