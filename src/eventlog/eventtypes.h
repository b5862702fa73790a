#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <variant>

namespace cardamomlift::eventlog {

/// What a log line is about. One name each (eventName()), explained in docs/OPERATIONS.md.
enum class Event {
    Started,
    Stopping,
    Stopped,
    Reloaded,
    ReloadFailed,
    RequestDispatched, ///< A send to a backend server, the first or a repeat, and what it was chosen on.
    RequestAnswered, ///< The backend server's answer went to the caller.
    RequestRefused, ///< Our own answer: the request has not run.
    RequestFailed, ///< Our own answer, or a cut: the request may have run.
    RequestGone, ///< The caller left first.
    RequestUnreadable,
    AttemptFailed, ///< One send ended without a usable answer.
    StreamMoved, ///< Its run is moved with its KV cache, since its server is reclaimed.
    AllowanceUsedUp, ///< What a refusal by a customer's allowance was decided on.
    ManifestInForce,
    ManifestRejected,
    ServerKnown,
    ServerLeaving,
    ServerUnreadable, ///< Its entry in the list names no server; others than the servers may write there.
    ServerAvoided, ///< Its requests failed too often: work goes elsewhere while it can.
    ServerTrusted, ///< It gets work like the others again.
    ServerSilent, ///< A request waits long, and nothing was heard from its server since.
    ServerLimited, ///< It named a limit on its requests, another one, or none any more.
    TableRead, ///< A table of the store was read whole.
    StoreRestored, ///< The store came back from an older copy: what was written there since is gone.
    StoreLost,
    StoreRegained,
    PeerLost,
    PeerRegained,
    PeersRegrouped, ///< The entry VMs are divided into other groups.
    LeaseTaken,
    LeaseLost,
    UsageReported,
    OrderSent,
    OrderRefused,
    RolloutOrdered, ///< The operator wants a service's traffic moved to another software version.
    RolloutPhase, ///< This VM goes by another phase of a rollout from here on.
    RolloutPaused, ///< The version on trial gets nothing from this VM, or again gets some.
    RolloutStep, ///< A step of a rollout was decided, and on what.
    RolloutUnreadable, ///< An order or record can't be read.
    Suspended, ///< The process did not run for a while.
    Count
};

/// What a value of a line is. One name each.
enum class Attribute {
    Request,
    Route,
    Customer,
    Service,
    Server,
    Zone,
    Status,
    Reason,
    Outcome,
    Attempt,
    AgeMs, ///< Of the knowledge that decided.
    Version,
    WaitMs,
    TookMs,
    FirstEventMs,
    LeftMs, ///< Until the caller's time limit.
    RetryAfterMs,
    Open,
    Tokens,
    Events,
    Fence,
    Window,
    Wanted,
    Present,
    Holder,
    Dropped,
    Answered,
    Failed,
    ReportAgeMs, ///< Of what a backend server said last of its load; -1: it has not.
    Reported, ///< Running and waiting requests, as a backend server said last.
    Candidates, ///< Backend servers that could have been chosen.
    Outliers, ///< Of these.
    InARow, ///< Failures without an answer between.
    Cached, ///< Prompt tokens that the server is believed to keep.
    ToRead, ///< Prompt tokens that the server is believed to have to read.
    WaitingTokens, ///< Prompt tokens that this VM has sent there and that wait to be read.
    Source, ///< A server from whose cache a part of the prompt is copied.
    Left, ///< Of an allowance, in its unit.
    Software, ///< Version of a backend server's software.
    Order, ///< Of a rollout: the version of its row.
    Expected, ///< Bad answers, if a version is as good as the others.
    Score, ///< Log likelihood ratio that decided.
    LimitPerSecond,
    HerePerSecond, ///< Asked by callers of this VM.
    ElsewherePerSecond, ///< Asked by callers of the other VMs.
    Limit, ///< Requests a second that a backend server takes from all VMs; empty: it has named no limit.
    Table, ///< Of the store.
    Era, ///< Of the store: it rises each time the store is restored from an older copy.
    ListVersion, ///< Version of the table of backend servers that decided.
    ListAgeMs, ///< Since that list was certainly complete.
    Limited, ///< Backend servers passed over, since their limits leave no room now.
    Count,
    Last
};

std::string_view eventName(Event event);
std::string_view attributeName(Attribute attribute);

/// One value of a line.
struct Value {
    Attribute attribute;
    std::variant<std::int64_t, std::string_view> value;
};

} // namespace cardamomlift::eventlog
