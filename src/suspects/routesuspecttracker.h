#pragma once

#include "directory/directory.h"
#include "eventlog/eventlog.h"
#include "forwarding/suspectgate.h"
#include "kernel/eventloop.h"
#include "metrics/metrics.h"
#include "suspects/crashstore.h"

#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace cardamomlift::suspects {

/// A crash that the list of servers, as known up to this long after it, does not confirm was none: the platform removes the entry
/// of a silent server much sooner.
inline constexpr Duration UnconfirmedRetention = std::chrono::seconds(20);

/// Dependencies of a RouteSuspectTracker.
struct RouteSuspectTools {
    EventLoop *loop = nullptr;
    std::shared_ptr<directory::Directory> directory;
    std::shared_ptr<eventlog::EventLog> log;
    std::shared_ptr<metrics::Metrics> metrics;
};

/// Finds the requests of routes, and the parts of their prompts, that crash servers. A broken connection is only a sign of a crash: it counts for good once the
/// server's entry is gone from the platform's list without having been draining. Until then it counts, but no more once the server sends anything. A run that
/// was given up counts only once the entry is gone.
/// VMs share broken connections, answered suspects, servers that are alive, and what is blocked in their statuses.
class RouteSuspectTracker : public forwarding::SuspectGate
{
public:
    static std::shared_ptr<RouteSuspectTracker> create(RouteSuspectTools tools);

    bool hasCrashes() const override;
    Judgement judge(const RequestTraits &request) override;
    void noteConnectionBroken(const std::string &instance, const Progress &request) override;
    void noteRunGivenUp(const std::string &instance, const Progress &request) override;
    void noteServerActive(const std::string &instance) override;
    void noteWholeAnswer(Fingerprint request) override;
    void noteAnswered(std::span<const PartKey> parts) override;

    /// What this VM has seen in the last seconds, and the blocked requests and parts that it knows of; for its next status.
    CrashUpdate updateToShare();
    /// Takes in the update in the status of the VM or group @p source.
    void applyPeerUpdate(const std::string &source, const CrashUpdate &update);
    /// Confirms, retracts and forgets crashes. To be called a few times a second.
    void tick();
    const CrashStore &store() const;

private:
    /// Something that this VM has seen and tells the others for a while.
    template<class T>
    struct Shared {
        TimePoint at;
        T value;
    };
    /// A request that was in flight at a crash.
    struct BrokenRun {
        std::string instance;
        TimePoint crashedAt;
        Progress request;
    };
    explicit RouteSuspectTracker(RouteSuspectTools tools);
    SuspectState stateOfRequest(Fingerprint fingerprint);
    void logAdmitted(const RequestTraits &request) const;
    void logNotCounted(const std::string &instance, const Progress &request, std::string_view reason) const;
    /// Returns false if no known crash is changed by it.
    bool clear(Fingerprint request, std::string_view source);
    SuspectState stateOfPart(PartKey part, std::span<const PartKey> ofRequest);
    void review();
    /// Counts the possible crashes of servers whose entries are gone.
    void reviewPossible();
    void countPossible(BrokenRun run);
    void addPossible(const std::string &instance, TimePoint at, std::span<const Progress> inFlight);
    void forgetOld();
    void clearIfAnswered(std::span<const Progress> inFlight, TimePoint crashedAt);
    void shareCleared(Fingerprint request);
    void retract(const std::string &instance, TimePoint crashedAt, std::string_view source);
    void shareAlive(const std::string &instance);
    std::optional<TimePoint> unconfirmedCrashOf(const std::string &instance) const;
    bool isAlive(const std::string &instance, TimePoint crashedAt) const;
    bool isLeaving(const std::string &instance) const;
    bool isGone(const std::string &instance, TimePoint crashedAt) const;
    void noteHeld(Fingerprint fingerprint, TimePoint now);
    void block(Fingerprint fingerprint);
    void notePartHeld(PartKey part, std::span<const PartKey> ofRequest);
    void blockPart(PartKey part, std::span<const PartKey> ofRequest);
    void logPart(eventlog::Event event, PartKey part, std::span<const PartKey> ofRequest, Duration left) const;
    Progress withPossibleCauses(const Progress &request, TimePoint crashedAt);
    void shareAnswered(std::span<const PartKey> parts);
    void shareCrashes(CrashUpdate &update) const;
    void shareParts(CrashUpdate &update) const;
    void applyCrashReport(const std::string &source, const CrashUpdate::CrashReport &report);
    bool isRefuted(const CrashUpdate::BlockedPart &blocked) const;
    void applyBlocks(const std::string &source, const CrashUpdate &update);
    void logCrash(eventlog::Event event, const std::string &instance, TimePoint at, std::string_view source) const;

    RouteSuspectTools tools_;
    CrashStore store_{RepeatSource::Callers};
    std::unordered_map<Fingerprint, TimePoint> answeredAt_; ///< Recent complete answers.
    std::unordered_map<Fingerprint, TimePoint> heldAt_; ///< Requests that had to wait, by the last time.
    std::unordered_map<PartKey, TimePoint> partsHeldAt_; ///< Parts whose requests had to wait.
    std::unordered_map<std::string, TimePoint> activeAt_; ///< By instance: when something was last received from the server.
    std::vector<Shared<BrokenRun>> brokenRuns_;
    std::vector<BrokenRun> possible_; ///< At servers that may have crashed. They count once the list shows that the server is gone.
    std::vector<Shared<Fingerprint>> cleared_;
    std::vector<Shared<PartKey>> answered_; ///< Parts in flight at crashes that this VM knows to be answered.
    std::vector<Shared<std::string>> alive_; ///< Instances.
};

} // namespace cardamomlift::suspects
