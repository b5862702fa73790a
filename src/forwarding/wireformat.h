#pragma once

#include "http1/http1types.h"
#include "kernel/clock.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace cardamomlift::forwarding {

/// A part of a prompt that other requests may share.
struct PromptPart {
    std::string id;
    std::int64_t tokens = 0;
};

/// What a caller's request says beside its method, path and body.
struct CallerRequest {
    std::string id; ///< One for each try of the caller.
    std::string key; ///< The caller's credential; never logged, never passed on.
    std::optional<Duration> timeLeft; ///< How long the caller waits.
    std::string model;
    bool hasTokens = false;
    std::int64_t promptTokens = 0;
    std::int64_t outputTokens = 0; ///< At most.
    std::vector<PromptPart> prompt; ///< In order; the last part belongs to this request alone.
    std::string lastEventId; ///< The caller resumes a stream behind this event.
};

/// What an entry VM adds to a request that it sends to a backend server.
struct DispatchFields {
    std::optional<Duration> timeLeft;
    std::string serverName; ///< The only backend server that may run it.
    std::string customer; ///< Empty: none.
    std::optional<int> priority; ///< 0 is first.
    std::string lastEventId; ///< Go on behind this event.
    std::string kvFetch; ///< "address:port" of a server to copy cached parts of the prompt from; empty: none.
    std::string kvSource; ///< Where the KV cache of the run lies: "address:port/handle"; empty: nowhere.
};

/// What a backend server says of its load: requests.
struct LoadReport {
    int running = 0;
    int waiting = 0;
    int slots = 1;
};

/// What a backend server's answer says of a limit on its requests.
struct AdvertisedLimit {
    enum class Kind {
        Unknown, ///< Nothing that can be used: what was known stays.
        Unlimited,
        Limited,
    };
    Kind kind = Kind::Unknown;
    double requestsPerSecond = 0; ///< If it is limited: the requests of all VMs together that it takes in a second; not negative.
};

/// What a backend server's answer says beside its status and body.
struct BackendAnswer {
    std::string requestId; ///< The request that it answers; empty if it does not say.
    bool isNotRun = false; ///< The server did not run the request and never will.
    bool isSigned = false; ///< It bears the server's signature over the body.
    std::optional<LoadReport> load;
    AdvertisedLimit limit;
};

/// The order to a backend server to copy a run's KV cache to another one and to stop the run.
struct KvMoveRequest {
    std::string requestId;
    http1::Endpoint to;
};

/// How these are spelled on the wire: functions that the platform's adapter gives.
struct WireFormat {
    CallerRequest (*readRequest)(const http1::RequestHead &head) = nullptr;
    /// The head for a backend server: the caller's, without what concerns one connection or is ours to set.
    http1::RequestHead (*writeRequest)(const http1::RequestHead &head, const DispatchFields &fields) = nullptr;
    BackendAnswer (*readAnswer)(const http1::ResponseHead &head) = nullptr;
    /// The head for the caller: the server's, without what concerns one connection.
    http1::ResponseHead (*writeAnswer)(const http1::ResponseHead &head) = nullptr;
    /// The call of a move; its body is filled into @p body.
    http1::RequestHead (*writeKvMove)(const KvMoveRequest &order, std::string &body) = nullptr;
    /// The handle of the copy; empty if the move did not come about.
    std::optional<std::string> (*readKvMove)(const http1::Response &response) = nullptr;
};

} // namespace cardamomlift::forwarding
