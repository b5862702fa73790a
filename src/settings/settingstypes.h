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

/// One port that the daemon listens on.
struct ListenSettings {
    std::string address = "127.0.0.1"; ///< An IPv4 address.
    std::uint16_t port = 0; ///< 0: the system chooses a free port, which the ready line names.
    std::string certificateFile; ///< PEM; empty: no TLS.
    std::string privateKeyFile; ///< PEM.
    std::string authorityFile; ///< Peers only: PEM file of the CA that signs the peers' certificates, which they check mutually.
    unsigned idleSeconds = 30; ///< Time limit for receiving a whole request; an idle connection is closed after it.
};

/// Where the platform's services are, and the credentials for them.
struct PlatformSettings {
    bool inMemory = false; ///< Replaces the platform by memory of this process, to try out a single daemon.
    std::string tableEndpoint; ///< The DynamoDB-compatible table store: "http://10.0.0.1:8000".
    std::string tableName = "cardamomlift";
    std::string region = "local";
    std::string accessKey;
    std::string secretKey;
    std::string vmListEndpoint; ///< The platform's list of VMs.
    std::string noticeEndpoint; ///< Where the platform announces that it will reclaim this VM.
    std::string cloudEndpoint; ///< API that backend VMs are ordered from; empty: this daemon orders none.
    std::vector<membership::Vm> vms; ///< With inMemory, which has no list of VMs: the backend servers.
};

/// Resource limits of one daemon, which protect its VM from overload.
struct LimitSettings {
    std::size_t openRequests = 4000; ///< Maximum number of callers' requests that are open at once.
    std::size_t memoryMegabytes = 256; ///< Resident memory of the process above which new requests are refused.
    std::size_t bodyKilobytes = 1024; ///< Maximum size of a request body.
    std::size_t callerBufferKilobytes = 256; ///< Maximum size of the answer data that is buffered for one slow caller.
    std::size_t drainSeconds = 600; ///< Time limit for a drain; requests still open after it are handed over to other VMs.
};

/// Settings of a daemon that forwards requests by the routes of the operator's manifest and keeps its durable state in the
/// platform's row store.
struct RouteGatewaySettings {
    http1::Endpoint callers; ///< Listening address for callers.
    http1::Endpoint readiness; ///< Listening address for readiness checks: the load balancer asks whether this VM accepts new connections.
    http1::Endpoint metrics; ///< Listening address of the metrics page; port 0: none.
    std::string address; ///< Of this VM, as its peers reach it.
    std::uint16_t firstPeerPort = 0; ///< First of a range of ports reserved for calls between entry VMs.
    http1::Endpoint store; ///< The platform's row store.
    std::optional<http1::Endpoint> cloud; ///< The platform's API for usage reports and orders of backend servers.
    std::vector<std::string> zones; ///< All failure domains.
    std::size_t memoryMegabytes = 256; ///< Memory limit of the process; the platform kills it above this.
    std::size_t maxFileDescriptors = 4096;
    bool mayReportUsage = false;
    bool mayOrderServers = false;
    bool strictKeys = true; ///< A revoked key must be refused once keyRevocationTime has passed.
    Duration keyRevocationTime = std::chrono::seconds(5);
    Duration shutdownGrace = std::chrono::seconds(8); ///< Time from SIGTERM until the platform kills the process.
    Duration leaseDuration = std::chrono::seconds(3); ///< Of the leader lease. No other VM may act as the leader within this time after the last renewal.
    Duration usageWindow = std::chrono::seconds(5); ///< Usage is counted and reported per window of this length.
    Duration usageReportDeadline = std::chrono::seconds(10); ///< Time after the end of a window within which its usage must be reported.
    double retryRatio = 0.2; ///< Retries allowed per first attempt to a service, over all VMs.
    double retrySlack = 10; ///< Retries allowed on top of these per retry window.
    rollout::RolloutLimits rollouts;
    double allowanceSlack = 0; ///< How much all VMs together may admit above a customer's allowance in its window.
};

/// Settings of a daemon.
struct Settings {
    std::string instance; ///< Name of this VM instance; never reused by another VM.
    std::string zone; ///< The failure domain.
    std::string region = "default";
    ListenSettings callers;
    ListenSettings operators;
    ListenSettings peers;
    std::string operatorTokenSha256; ///< In hexadecimal. Operators send the token itself as a bearer token.
    std::string peerToken; ///< Secret shared by the entry VMs; calls from peers without it are refused.
    PlatformSettings platform;
    LimitSettings limits;
    std::string logLevel = "info";
    std::optional<RouteGatewaySettings> routes; ///< If set, this daemon forwards requests by routes; otherwise it serves the chat API.
    std::vector<std::string> contractFiles; ///< With platform.inMemory: customers' contracts that are applied at startup.
};

} // namespace cardamomlift::settings
