#pragma once

#include "http1/http1types.h"
#include "kernel/clock.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace cardamomlift::forwarding {

/// A part of a prompt, which other requests may have in common.
struct PromptPart {
    std::string id;
    std::int64_t tokens = 0;
    std::uint64_t key = 0; ///< Equal for all spellings of the id, on all VMs.
};

/// What the header fields of a caller's request say.
struct CallerRequest {
    std::string id; ///< A new one for each attempt of the caller.
    std::string key; ///< The caller's credential; never logged and never forwarded.
    std::optional<Duration> timeLeft; ///< How long the caller will wait.
    std::string model;
    bool hasTokens = false;
    std::int64_t promptTokens = 0;
    std::int64_t outputTokens = 0; ///< Maximum number of tokens to generate.
    std::vector<PromptPart> prompt; ///< In order; the last part belongs to this request alone.
    std::string lastEventId; ///< Set if the caller resumes a stream after this event.
    std::string resumedRequest; ///< Set if the caller resumes a stream: the id of its attempt that brought the first event.
};

/// Header fields that an entry VM sets on a request to a backend server.
struct DispatchFields {
    std::optional<Duration> timeLeft;
    std::string serverName; ///< The only backend server that may run the request.
    std::string customer; ///< Empty: none.
    std::optional<int> priority; ///< 0 is the highest.
    std::string lastEventId; ///< The server continues the stream after this event.
    std::string kvFetch; ///< "address:port" of a server to copy the KV cache of the prompt's prefix from; empty: none.
    std::string kvSource; ///< "address:port/handle" of the KV cache of a moved run; empty if the run was not moved.
};

/// Load that a backend server reports, in requests.
struct LoadReport {
    int running = 0;
    int waiting = 0;
    int slots = 1;
    std::optional<double> pace; ///< How long work takes there now: 1 as usual, 2 twice as long; empty if it does not say.
};

/// Rate limit that a backend server advertises in an answer.
struct AdvertisedLimit {
    enum class Kind {
        Unknown, ///< The answer says nothing usable; the limit known before stays in force.
        Unlimited,
        Limited,
    };
    Kind kind = Kind::Unknown;
    double requestsPerSecond = 0; ///< If limited: requests per second accepted from all VMs together; not negative.
};

/// What the header fields of a backend server's answer say.
struct BackendAnswer {
    std::string requestId; ///< The request that it answers; empty if the answer does not tell.
    bool isNotRun = false; ///< The server did not run the request and never will.
    bool isSigned = false; ///< The answer carries the server's signature of the body.
    std::optional<LoadReport> load;
    AdvertisedLimit limit;
    bool isLeaving = false; ///< The instance that answers announces that it is leaving.
    std::optional<int> refusalsPerSecond; ///< The server crashes when it must turn away more requests than this within a second.
    std::optional<Duration> backoff; ///< The server turned the request away and accepts none from this VM for this long.
};

/// Tells a backend server to copy a run's KV cache to another server.
struct KvMoveRequest {
    std::string requestId;
    http1::Endpoint to;
    bool stopsRun = true; ///< The run stops first; otherwise it goes on meanwhile, and another call copies the rest.
};

/// What has become of a run whose server was asked to move it.
enum class KvMoveOutcome {
    Copied, ///< Its KV cache is at the target. The run has stopped, if that was asked for.
    Stopped, ///< The run has stopped, and only the source has its KV cache.
    NotStopped, ///< The source has refused the call; the run goes on or has ended by itself.
    Unknown, ///< No answer, or one that can't be read: the run may have stopped.
};

/// What the server answers.
struct KvMoveAnswer {
    KvMoveOutcome outcome = KvMoveOutcome::Unknown;
    std::string handle; ///< Of the KV cache, at the server that answers. Empty unless Copied or Stopped.
};

/// Conversions between these types and HTTP messages, provided by the platform adapter.
struct WireFormat {
    CallerRequest (*readRequest)(const http1::RequestHead &head) = nullptr;
    /// The head for a backend server: the caller's, without hop-by-hop fields, and with the fields that an entry VM sets
    /// taken from @p fields only.
    http1::RequestHead (*writeRequest)(const http1::RequestHead &head, const DispatchFields &fields) = nullptr;
    /// The head for another entry VM that takes the request over: the caller's, without hop-by-hop fields, with the time left and the
    /// last event that the caller has received; empty: none.
    http1::RequestHead (*writeRelay)(const http1::RequestHead &head, Duration timeLeft, const std::string &lastEventId) = nullptr;
    BackendAnswer (*readAnswer)(const http1::ResponseHead &head) = nullptr;
    /// The head for the caller: the server's, without hop-by-hop fields.
    http1::ResponseHead (*writeAnswer)(const http1::ResponseHead &head) = nullptr;
    /// The head of the call that moves a KV cache; writes its body to @p body.
    http1::RequestHead (*writeKvMove)(const KvMoveRequest &request, std::string &body) = nullptr;
    /// Empty if the answer names no KV cache.
    KvMoveAnswer (*readKvMove)(const http1::Response &response) = nullptr;
    /// The head of the call that frees a copied KV cache at both servers.
    http1::RequestHead (*writeKvRelease)(const std::string &handle) = nullptr;
};

} // namespace cardamomlift::forwarding
