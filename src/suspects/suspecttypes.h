#pragma once

#include "kernel/clock.h"

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace cardamomlift::suspects {

/// Hash of customer, target and body of a request, without its idempotency key: equal on every VM and for every repeat.
using Fingerprint = std::uint64_t;

Fingerprint fingerprintOf(std::string_view customer, std::string_view target, std::string_view body);

/// Identifies a part of prompts: equal on every VM and in each prompt that has it.
using PartKey = std::uint64_t;

/// What may make a request crash servers.
struct RequestTraits {
    Fingerprint fingerprint = 0;
    std::span<const PartKey> parts; ///< Of its prompt, which other requests may share. Each once.
    std::string_view id; ///< Of the caller's attempt, for the log.
};

/// Who sends a request again after a crash.
enum class RepeatSource {
    System, ///< The VMs, until it is answered: a harmless request is cleared of each crash sooner or later.
    Callers, ///< Its callers, if at all, at any VM, and maybe again after an answer: a harmless request may never be cleared.
};

/// A request that was in flight on a server when it crashed.
struct InFlightRequest {
    Fingerprint fingerprint = 0;
    std::uint64_t position = 0; ///< Tokens of its answer received by then.
    bool cleared = false; ///< It has progressed on another server since, so it is not the cause.
    Duration ranFor{0}; ///< Time from the send to the crash; 0 if it is not known.
    std::vector<PartKey> parts; ///< Of its prompt, without those that an answer has cleared of this crash.
};

/// A crash of a server, seen as broken connections of a server that had not been announced as leaving.
struct Crash {
    std::string instance;
    TimePoint at;
    std::vector<InFlightRequest> inFlight; ///< Merged from the reports of all VMs.
    bool isConfirmed = true; ///< If false, only connections broke: the server may still be alive.
};

/// Crashes of which one request may be the cause.
struct CrashEvidence {
    std::size_t crashes = 0; ///< Crashes with the request in flight and not cleared, and without a blocked request.
    std::size_t confirmedCrashes = 0; ///< Those of them that are confirmed.
    std::size_t soleSuspectCrashes = 0; ///< Confirmed ones of which no other request in flight is a possible cause.
    /// The longest series of these crashes in which the request was sent to each server after the crash before.
    std::size_t successiveCrashes = 0;
    bool hasSuspectedParts = false; ///< Parts of prompts may be the cause of some of them.
    TimePoint latest; ///< Time of the latest of these crashes.
};

/// How a request may run, given the crashes it was in flight at.
enum class SuspectState {
    Trusted, ///< No restriction.
    Suspect, ///< It was in flight at a crash: runs on a server with few other requests, one copy at a time.
    Undecided, ///< It was in flight at MaxCrashes or more, and it is not clear yet whether it is the cause: has to wait.
    Blocked, ///< It crashes servers and is refused. Called convicted on the wire and in metrics.
};

/// How a request may run, and which part of its prompt restricts it most; empty: none, or its repeats do.
struct Judgement {
    SuspectState state = SuspectState::Trusted;
    std::optional<PartKey> part;
};

/// Progress of a request: its answer was generated up to @c position without a crash.
struct Progress {
    Fingerprint fingerprint = 0;
    std::uint64_t position = 0;
    Duration ranFor{0}; ///< In the report of a crash: see InFlightRequest.
    std::vector<PartKey> parts; ///< In the report of a crash: those that may be its cause.
};

/// The position of a complete answer.
inline constexpr std::uint64_t CompleteAnswer = UINT64_MAX;

/// Changes to the known crashes, as VMs send them to each other (wire::News). Times are sent as ages, because the clocks of
/// the VMs differ.
struct CrashUpdate {
    struct CrashReport {
        std::string instance;
        Duration age{0};
        std::vector<Progress> inFlight; ///< Requests in flight with their positions.
    };
    /// A server that was reported as crashed and still answers.
    struct AliveServer {
        std::string instance;
        Duration age{0}; ///< Time since something was last received from it.
    };
    /// A request to be refused (wire::Conviction).
    struct BlockedRequest {
        Fingerprint fingerprint = 0;
        Duration remaining{0};
    };
    /// A part of prompts that was in flight at a crash and that a server has answered.
    struct AnsweredPart {
        PartKey part = 0;
        Duration age{0}; ///< Time since the last answer.
    };
    /// A part of prompts whose requests are to be refused.
    struct BlockedPart {
        PartKey part = 0;
        Duration remaining{0};
    };
    std::vector<CrashReport> crashes;
    std::vector<Progress> cleared;
    std::vector<AliveServer> alive;
    std::vector<BlockedRequest> blocked;
    std::vector<AnsweredPart> answeredParts;
    std::vector<BlockedPart> blockedParts;
    /// Time since a server last answered any request with a prompt; empty if none is known.
    std::optional<Duration> sincePromptAnswered;

    bool empty() const
    {
        return crashes.empty() && cleared.empty() && alive.empty() && blocked.empty() && answeredParts.empty() && blockedParts.empty();
    }
};

} // namespace cardamomlift::suspects
