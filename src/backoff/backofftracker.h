#pragma once

#include "kernel/clock.h"

#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

namespace cardamomlift::backoff {

/// Answers after the end of a backoff until a server counts as recovered.
inline constexpr int AnswersToRecover = 16;
/// A server counts as recovered this long after the end of its backoff, whatever it has answered.
inline constexpr Duration RecoveryTimeout = std::chrono::seconds(10);
/// A server that turns this many requests away in succession, without asking for a backoff, is taken for overloaded. A single refusal may be
/// due to the request, such as one that is larger than the server's memory.
inline constexpr int RefusalsToOverload = 2;
/// For how long such a server is taken for overloaded; doubled with each further refusal, up to MaxOverload.
inline constexpr Duration MinOverload = std::chrono::milliseconds(250);
inline constexpr Duration MaxOverload = std::chrono::seconds(1);
/// Requests that this VM may send to a server during one backoff: each continues a run whose state is at that server only.
inline constexpr int ExceptionsPerBackoff = 1;

/// The backend servers that have turned requests of this VM away: those that asked for a backoff, and accept none until its end; and those
/// that did so in succession without asking, which are taken for overloaded. Kept per instance, and not shared between VMs.
class BackoffTracker
{
public:
    /// @p clock must outlive the tracker.
    static std::shared_ptr<BackoffTracker> create(const Clock &clock);

    /// The server has turned a request away and accepts none for @p length from now. Does not shorten a backoff in progress. Returns
    /// true if none was in progress.
    bool begin(const std::string &instance, Duration length);
    /// When the server accepts requests again; empty if it does so now.
    std::optional<TimePoint> endsAt(const std::string &instance) const;
    /// Whether a request may be sent that cannot run anywhere else: true if there is no backoff, and for the first few in one.
    bool takeException(const std::string &instance);

    /// The server has turned a request away and has not said for how long.
    void noteRefused(const std::string &instance);
    /// Whether the server has turned requests away in succession, the last of them lately. Others should be preferred.
    bool isOverloaded(const std::string &instance) const;

    /// The server has answered a request that was sent at @p sentAt and was not turned away.
    void noteAnswered(const std::string &instance, TimePoint sentAt);
    /// Requests that this VM should have open at the server at most, while it recovers from a backoff: one more with each answer.
    /// Empty if it has recovered.
    std::optional<int> openLimit(const std::string &instance) const;

    /// Number of servers with a backoff in progress.
    std::size_t count() const;
    /// Number of servers of which something is kept.
    std::size_t size() const;
    /// Forgets servers that have recovered. To be called every few seconds.
    void tick();

private:
    struct Backoff {
        TimePoint until;
        int exceptions = 0;
        int answered = 0; ///< Since its end.
    };
    struct Refusals {
        int inSuccession = 0;
        TimePoint lastAt;
        TimePoint overloadedUntil;
    };
    explicit BackoffTracker(const Clock &clock);
    bool hasRecovered(const Backoff &backoff) const;
    const Clock &clock_;
    std::unordered_map<std::string, Backoff> backoffs_; ///< The latest of each server, by instance.
    std::unordered_map<std::string, Refusals> refusals_; ///< Since the last answer of each server, by instance.
};

} // namespace cardamomlift::backoff
