#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <variant>

namespace cardamomlift::eventlog {

/// Kind of event that a log line reports. Each has a name, see eventName(), and is documented in docs/OPERATIONS.md.
enum class Event {
    Started,
    Stopping,
    Stopped,
    Reloaded,
    ReloadFailed,
    RequestDispatched, ///< An attempt was sent to a backend server; the line has the data on which the server was chosen.
    RequestRelayed, ///< The request was handed over to another entry VM, as this one reaches no backend server.
    RequestTakenOver, ///< Another entry VM has handed the request over to this one.
    StreamOrigin, ///< A caller resumes a stream: with which software it began, and how that is known.
    SoftwareRecorded, ///< Streams may begin at a version of a service's servers, or the store no longer names several.
    RequestAnswered, ///< The answer of the backend server was passed to the caller.
    RequestRefused, ///< The entry VM answered with an error, and the request has not run.
    RequestFailed, ///< The entry VM answered with an error or cut the answer off, and the request may have run.
    RequestGone, ///< The caller disconnected before the answer was complete.
    RequestAdmission, ///< A request was refused, or admitted after a wait, as its service has less room than is asked for; the line has the data behind the
                      ///< decision.
    AdmissionLevel, ///< The share of the requests of each priority that are admitted to a service has changed.
    RequestUnreadable, ///< The request could not be parsed.
    ClientEvicted, ///< A client's connection was closed, or its incomplete request refused, in favour of other clients.
    AttemptFailed, ///< An attempt on a backend server ended without a usable answer.
    StreamMoved, ///< A stream was moved with its KV cache to another server, as its server is being reclaimed.
    StreamMoveAnswered, ///< What has become of it, as the source says.
    RunBehind, ///< A run falls behind at its server; the line says what was decided, and the data behind it.
    AllowanceUsedUp, ///< A request was refused by the customer's allowance; the line has the data behind the decision.
    ManifestInForce,
    ManifestRejected,
    ServerKnown,
    ServerLeaving,
    ServerUnreadable, ///< An entry of the server list could not be parsed; not only the servers can write there.
    ServerAvoided, ///< Too many of the server's requests failed: other servers are preferred while there are any.
    ServerTrusted, ///< The server is treated like the others again.
    ServerPace, ///< A server has become clearly faster or slower than the mean of its service.
    ServerSilent, ///< A request has waited long, and nothing has been received from its server in the meantime.
    ServerBackoff, ///< The server turned a request away and accepts none from this VM for some time.
    ServersUnreachable, ///< This VM reaches no backend server; the line has the evidence.
    ServersReachable, ///< This VM reaches a backend server again.
    ServerOverload, ///< The open requests at a server that crashes when it must refuse too many are limited, or no longer are.
    ServerLimited, ///< The server set, changed or removed its limit on requests.
    ServerCrashSuspected, ///< A connection to the server broke while it ran requests, here or at another VM.
    ServerCrashConfirmed, ///< The server's entry is gone, and it had not been draining.
    ServerCrashRetracted, ///< The server has sent something since.
    CrashNotCounted, ///< The end of a run looks like a crash of its server, but is not counted as one; the line says why.
    SuspectAdmitted, ///< A request that was in flight at crashes may run; the line has the evidence against it.
    RequestCleared, ///< An answer has shown that a request is not the cause of the crashes it was in flight at.
    RequestBlocked, ///< A request that crashes servers is refused from now on.
    PartSuspected, ///< A part of prompts may be what crashes servers: requests with it wait until that is known.
    PartBlocked, ///< Requests with a part of prompts that crashes servers are refused from now on.
    TableRead, ///< A snapshot of a store table was read.
    StoreRestored, ///< The store was restored from an older copy; what was written after that copy is lost.
    StoreLost,
    StoreRegained,
    PeerLost,
    PeerRegained,
    PeersRegrouped, ///< The division of the entry VMs into groups changed.
    LeaseTaken,
    LeaseLost,
    UsageReported,
    OrderSent,
    OrderRefused,
    CapacityTarget, ///< The number of servers that a service should have has changed; the line has the data behind it.
    RolloutOrdered, ///< The operator ordered a rollout of another software version of a service.
    RolloutPhase, ///< This VM switched to another phase of a rollout.
    RolloutPaused, ///< This VM paused or resumed sending requests to the version on trial.
    RolloutStep, ///< A rollout step was decided; the line has the data behind the decision.
    RolloutUnreadable, ///< A rollout order or record could not be parsed.
    VmBusy, ///< This VM can no longer keep up with its requests, or can again.
    Suspended, ///< The process was suspended for some time, for example with its VM.
    Count
};

/// Key of a value in a log line. Each has a name, see attributeName().
enum class Attribute {
    Request,
    Activity, ///< What a client's connection was doing.
    Bytes, ///< Memory that a client's connection held.
    Route,
    Customer,
    Service,
    Server,
    Zone,
    Status,
    Reason,
    Outcome,
    Attempt,
    AgeMs, ///< Age of the data behind the decision.
    Version,
    WaitMs,
    TookMs,
    FirstEventMs,
    LeftMs, ///< Time left until the caller's deadline.
    RetryAfterMs,
    Open,
    Tokens,
    Events,
    Fence,
    Window,
    Wanted,
    Present,
    Holder,
    Peer, ///< Another entry VM: the one that a request is handed over to, or that it comes from.
    Dropped,
    Answered,
    Failed,
    ReportAgeMs, ///< Age of the backend server's last load report; -1 if there is none.
    Reported, ///< Running and waiting requests in the backend server's last load report.
    Candidates, ///< Number of backend servers that could have been chosen.
    Outliers, ///< Number of candidates that are outliers.
    InARow, ///< Consecutive failures.
    Cached, ///< Prompt tokens that the server is estimated to have cached.
    ToRead, ///< Prompt tokens that the server is estimated to have to prefill.
    WaitingTokens, ///< Prompt tokens that this VM has sent to the server and that wait for prefill.
    Source, ///< Server from whose KV cache a part of the prompt is copied.
    Left, ///< Rest of an allowance, in its unit.
    Software, ///< Software version of a backend server.
    Order, ///< Rollout order, given by the version of its row.
    Expected, ///< Bad answers to be expected if the version on trial is as good as the baseline.
    Score, ///< Log likelihood ratio of the decision.
    LimitPerSecond,
    HerePerSecond, ///< Rate of requests from callers of this VM.
    ElsewherePerSecond, ///< Rate of requests from callers of the other VMs.
    Limit, ///< Requests per second that a backend server accepts from all VMs together; empty if it has set no limit.
    Table, ///< Table of the store.
    Era, ///< Era of the store, which increases with each restore from an older copy.
    ListVersion, ///< Version of the server list on which the decision was based.
    ListAgeMs, ///< Time since the server list was last known to be complete.
    BackingOff, ///< Number of backend servers skipped because they accept no requests of this VM for some time.
    Deferred, ///< Number of backend servers that are a last resort: overloaded, recovering from a backoff, or not connected to a moment ago.
    Limited, ///< Number of backend servers skipped because of their request limits.
    Fingerprint, ///< Hash that identifies a request and its repeats by the same customer.
    Parts, ///< Parts of the prompt that other requests may share, without the last.
    Confirmed, ///< Crashes that the platform's list has confirmed.
    SoleSuspect, ///< Those of them that nothing else in flight can have caused.
    Successive, ///< The longest series of crashes in which the request was sent to each server after the crash before.
    Requests, ///< Number of different requests.
    AnswerAgeMs, ///< Time since a server last answered what the line is about; -1 if no answer is known.
    Resumes, ///< The caller's attempt that brought the first event of the stream that it resumes; empty if it resumes none.
    Framing, ///< How the body of a backend server's answer is delimited.
    Unfinished, ///< Bytes of a stream that have not been passed on, as their event has not ended.
    RetriesLeft, ///< Retries that this VM may still send to the service, of the budget that all VMs share.
    Priority, ///< Of a request: 0 is the most urgent.
    SharePercent, ///< Admitted share of the requests, over all VMs.
    Slots, ///< Of the servers in use.
    DemandPerSecond, ///< Requests asked for at all VMs.
    ServedPerSecond, ///< Requests answered at all VMs.
    EventsLeft, ///< Events of a stream that are expected to come.
    TargetPacePercent, ///< As PacePercent, of the server that a run may move to; -1 if there is none.
    PacePercent, ///< How long work takes at a server, relative to the mean of its service: 100 as long.
    LearntPercent, ///< The same, from observations alone.
    AnnouncedPercent, ///< What the server says of this moment: 100 as usual; -1 if it said nothing lately.
    AnnouncedAgeMs,
    LagMs, ///< How late this VM's event loop runs.
    GapMs, ///< Time between the last events of a stream.
    GoalMs, ///< Within which the next event, or the first, should come.
    Need, ///< Servers that the load needs now.
    Reclaimable, ///< Reclaimable servers wanted in each failure domain.
    Reclaims, ///< Failure domains that have recently lost all their reclaimable servers.
    TokensPerServer, ///< Prompt tokens per second that one server is reckoned with.
    PressurePercent, ///< Factor by which late answers raise the need: 100 if they do not.
    Count,
    Last
};

std::string_view eventName(Event event);
std::string_view attributeName(Attribute attribute);

/// A value of a log line with its key.
struct Value {
    Attribute attribute;
    std::variant<std::int64_t, std::string_view> value;
};

} // namespace cardamomlift::eventlog
