#pragma once

#include "membership/membershiptypes.h"

#include <cstdint>
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
    std::vector<std::string> contractFiles; ///< With platform.inMemory: applied at the start.
};

} // namespace cardamomlift::settings
