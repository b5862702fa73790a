#pragma once

#include "forwarding/eventsplitter.h"
#include "forwarding/forwarder.h"
#include "http1/httpclient.h"
#include "origins/originstypes.h"
#include "prefixindex/prefixrules.h"
#include "relay/relaytypes.h"
#include "stragglers/stragglertracker.h"
#include "suspects/suspecttypes.h"

#include <optional>
#include <set>
#include <span>
#include <vector>

namespace cardamomlift::forwarding {

/// One caller's request, from its arrival to its final answer: checks it, chooses servers, sends and retries it.
class ForwardedRequest : public std::enable_shared_from_this<ForwardedRequest>
{
public:
    static std::shared_ptr<ForwardedRequest> create(Forwarder &forwarder, http1::ExchangePtr exchange, RequestSource source);
    ~ForwardedRequest();
    void start();
    /// The backend server @p instance stops at @p endsAt: if the request runs there, its run is moved before that.
    void onServerReclaim(const std::string &instance, TimePoint endsAt);
    /// Whether its run falls behind at its server; cheap. To be called a few times a second.
    bool isBehind();
    /// Moves a run that has been behind for some time to a faster server, if there is one and it still helps.
    void leaveSlowServer();
    /// This VM reaches no server any more: a request that waits for a connection waits no longer.
    void onCutOff();

private:
    /// One send to one backend server.
    struct Attempt {
        directory::ServerPtr server;
        std::shared_ptr<http1::BackendChannel> channel;
        http1::ResponseHead head;
        BackendAnswer answer;
        std::string body;
        std::size_t requestBytes = 0; ///< Of the request as it is sent, until the answer begins.
        TimePoint sentAt;
        bool hasHead = false;
        bool isEventStream = false;
        bool hasFirstByte = false;
        std::uint64_t eventsBefore = 0; ///< Events of the stream that came from attempts before.
        bool failureNoted = false; ///< A failure or a silence of this attempt has been counted against the server.
        std::int64_t prefillTokens = 0; ///< Prompt tokens to prefill, as estimated when the request was sent.
        TimePoint firstByteAt;
        TimePoint lastByteAt; ///< The time of the send until a byte is received. Bytes that make no event do not count for long.
        std::size_t bytesSinceEvent = 0; ///< Of a stream.
        std::uint64_t eventsTimed = 0; ///< Events of this attempt whose pace has been noted.
        TimePoint lastEventAt;
        stragglers::EventGaps gaps;
    };

    /// How far the decision is whether the request may be sent to a server.
    enum class AdmissionState { NotAsked, Asking, Waiting, Admitted, Refused };

    ForwardedRequest(Forwarder &forwarder, http1::ExchangePtr exchange, RequestSource source);
    /// Takes in what the VM says that has handed the request over. Ends the request if this VM can't serve it.
    bool checkRelay();
    /// Counts the request in its customer's allowance and the service's demand, once. Ends it if the allowance is used up.
    bool admit();
    /// Whether the request may be sent to a server now. If not, it has been refused, or dispatch() is called again.
    bool mayUseServers();
    void onAdmission(const AdmissionVerdict &verdict);
    AdmissionQuestion admissionQuestion() const;
    void releaseAdmission();
    void logAdmission(const AdmissionVerdict &verdict) const;
    /// When the caller may come back if no server has room.
    Duration serversFullRetryAfter() const;
    /// 0 is the most urgent; the customer's goes before the route's.
    int priority() const;
    /// The priority that an engine is told; empty: none.
    std::optional<int> serverPriority() const;
    bool checkRequest();
    bool findRoute();
    bool checkKey();
    bool checkAllowance();
    void setDeadline();
    const std::string &chooseService() const;
    void dispatch();
    /// Ends the request if it must not run because of crashes of servers. Returns false in that case.
    bool checkCrashes();
    suspects::Fingerprint fingerprint();
    origins::StreamId streamId() const;
    /// The stream has begun, but not here: it must be found out with which software.
    bool mustFindOrigin() const;
    void findOrigin();
    void onOriginAnswer(const origins::FoundOrigin &found);
    /// Nobody knows the origin; @p found says why. The store may.
    void findStoredOrigin(const origins::FoundOrigin &found);
    void onOriginFound(const origins::FoundOrigin &found);
    void chooseServiceOfOrigin();
    /// Binds the stream to the software of the current attempt's server, and lets other VMs know.
    void noteOrigin();
    void logOrigin(const origins::FoundOrigin &found) const;
    /// Counts a caller's request once for the retry budget of its service.
    void countRequest();
    /// How far the answer is, for the crash of its server.
    std::uint64_t crashPosition() const;
    void noteConnectionBroken();
    /// The current attempt ends without a whole answer and without a failure of its connection.
    void noteRunGivenUp();
    void logCrashNotCounted(std::string_view reason);
    void noteServerActive();
    /// Whether the current attempt began the answer, and did not go on with one that another server had begun.
    bool beganAnswer() const;
    void noteWholeAnswer();
    /// Whether the server has read the prompt and gone on with the answer for so long that no part of the prompt crashes it.
    bool hasBornePrompt() const;
    /// A server has answered the prompt: whole, or in so many events of the current attempt.
    void notePromptAnswered();
    void noteEvents();
    /// The result of choosing a backend server, with figures for the log.
    struct Choice {
        directory::ServerPtr server; ///< Null if there is none.
        VersionPick pick = VersionPick::Usual; ///< The assignment for which it was chosen.
        std::size_t candidates = 0;
        std::size_t outliers = 0; ///< Among the candidates.
        std::size_t ofOrigin = 0; ///< Servers whose software may go on with the stream; all if it has not begun.
        std::size_t unrecorded = 0; ///< Servers skipped because the store does not know of their version yet.
        std::size_t tried = 0; ///< Servers skipped because this request has failed or was refused there.
        std::size_t backingOff = 0; ///< Servers skipped because they accept no requests of this VM for some time.
        TimePoint backoffEndsAt = TimePoint::max(); ///< The earliest end of their backoffs.
        std::size_t deferred = 0; ///< Servers that are a last resort: overloaded, recovering from a backoff, or not connected to a moment ago.
        std::size_t limited = 0; ///< Servers skipped because their rate limits leave no room now.
        std::optional<Duration> roomIn; ///< When one of the skipped servers has room again, as far as that is known.
        double limitedPerSecond = 0; ///< Requests per second that this VM may send to the skipped servers.
        double pace = 1; ///< The server's; see balancing::Candidate.
        std::int64_t cachedTokens = 0; ///< Prompt tokens believed to be in the server's cache.
        std::int64_t prefillTokens = 0; ///< Prompt tokens neither cached at the server nor to be copied to it.
        std::string kvFetchFrom; ///< "address:port" of a server to copy the KV cache of the prompt's prefix from; empty: none.
    };
    Choice chooseServer() const;
    std::vector<directory::ServerPtr> shortList(std::span<const directory::ServerPtr> usable, std::span<const prefixindex::PrefixMatch> matches) const;
    Choice chooseAmong(std::span<const directory::ServerPtr> usable, VersionPick pick, std::span<const prefixindex::PrefixMatch> matches) const;
    std::uint64_t salt() const;
    /// @p sharedPart: the request's affinity, which must outlive the result.
    balancing::ChoiceInput choiceInput(std::string_view sharedPart, std::span<const prefixindex::PrefixMatch> matches) const;
    balancing::Candidate candidateOf(
        const directory::KnownServer &known, std::span<const prefixindex::PrefixMatch> matches, double prefillTokensPerSecond) const;
    /// Whether the stream has begun with the software of @p server, or has not begun yet.
    bool isOfOrigin(const directory::BackendServer &server) const;
    /// Whether other VMs could tell with which software the stream has begun, if it begins at @p server.
    bool mayBeginAt(const directory::BackendServer &server) const;
    bool skipIfBackingOff(const std::string &instance, Choice &choice) const;
    bool skipIfLimited(const std::string &instance, Choice &choice) const;
    bool skipIfNoSlot(const directory::BackendServer &server, Choice &choice) const;
    /// Of the current attempt's server.
    bool isManaged() const;
    overload::ServerKey serverKey() const;
    /// True if the server recovers from a backoff and has as many open requests of this VM as it should have.
    bool isAtRecoveryLimit(const std::string &instance) const;
    void countSend(const std::string &instance);
    void endWithoutServer(const Choice &choice);
    /// Chooses a server again in a moment, when this VM has room at one. Returns false if that is not known, too late, or has been done before.
    bool waitForRoom(const Choice &choice);
    /// Chooses a server again when the store may know of the versions of those that were skipped. Returns false if it is too late for that.
    bool waitForRecord(const Choice &choice);
    void dispatchAfter(Duration wait);
    /// @p requestsPerSecond: what this VM may send to the servers that have no room now.
    void refuseForWantOfRoom(double requestsPerSecond);
    /// The servers of @p usable that may get the request now. Counts in @p choice those that are skipped, by cause.
    std::vector<const directory::KnownServer *> eligibleServers(std::span<const directory::ServerPtr> usable, VersionPick pick, Choice &choice) const;
    void noteVersionOutcome(std::optional<Duration> timeToFirstByte);
    /// The longest prefix of the prompt that a server of the service is believed to have cached.
    struct BestCache {
        std::int64_t tokens = 0; ///< Length of the prefix.
        directory::ServerPtr holder; ///< The server; null if none has cached a prefix.
    };
    bool mayCopyFrom(const directory::KnownServer &known) const;
    BestCache findBestCache(std::span<const prefixindex::PrefixMatch> matches, const std::string &except) const;
    directory::ServerPtr likelyCacheHolder(const std::string &except) const;
    void planPrefill(Choice &choice, std::span<const prefixindex::PrefixMatch> matches) const;
    std::string affinity() const;
    void send(const Choice &choice);
    /// Tells the exchange how much memory this request takes besides it.
    void updateHeldBytes();
    DispatchFields dispatchFields(const Choice &choice) const;
    void onHead(http1::ResponseHead head);
    /// Takes in what the server says of itself in any answer, also one to another request.
    void noteAnnouncements(const std::string &instance, const BackendAnswer &answer) const;
    void noteOverload();
    void noteServed();
    void notePaceOfFirstByte();
    void notePaceOfEvents();
    void notePaceOfAnswer();
    void onBody(std::string_view bytes);
    void forwardEvents(std::string_view bytes);
    void onComplete();
    void onPlainAnswer();
    void onStreamEnd();
    /// Whether the body is a stream of events, rather than a plain answer.
    bool isEventStream(const http1::ResponseHead &head, const BackendAnswer &answer) const;
    /// The current attempt's stream has ended, but not the last of its events.
    bool isBrokenOff() const;
    void onNotRun(std::string_view why);
    void onFailure(http1::CallFailure failure);
    void onBroken(std::string_view why);
    /// Whether the server may still get the request that has waited for a connection to it.
    bool mayStillSend() const;
    void onConnectTimeout();
    Duration silenceLimit(bool waitsForFirstByte) const;
    void watchSilence();
    void onSilenceTimeout();
    bool isServerSilent() const;
    void noteOutcome(outliers::Ending ending);
    bool mayMove(const std::string &instance) const;
    void startMove();
    void callMove();
    void onMoved(const KvMoveAnswer &answer);
    /// Where the KV cache of the run that is moved can be used from: "address:port/handle" at its source.
    std::string kvSourceOf(const KvMoveAnswer &answer) const;
    void logMove(KvMoveOutcome outcome) const;
    /// A late run does not move after all: its copy is freed.
    void abandonMove();
    void leaveIfReclaimed();
    void onLateRunMoved(const KvMoveAnswer &answer);
    void continueAtTarget();
    /// Whether another server may go on with the current attempt's run, which this VM has not moved yet.
    bool mayLeaveServer() const;
    bool canMoveKv() const;
    stragglers::RunProgress runProgress() const;
    stragglers::MoveTarget moveTargetOf(const directory::KnownServer &known, const directory::BackendServer &source) const;
    /// The pause of a stream that is resumed at another server without its KV cache.
    Duration resumePause() const;
    void moveLateRun(const directory::ServerPtr &to);
    void resumeLateRun(const directory::ServerPtr &to);
    void notePauseOfMove();
    void logBehind(std::string_view decision, const stragglers::RunProgress &progress, double paceHere, const stragglers::MoveTarget *target) const;
    /// The request is idempotent, or a stream that may be resumed after the last event that the caller has received.
    bool mayRepeat() const;
    bool mayRunAgain() const;
    bool takeRetry();
    void retryUnsent(metrics::RetryReason reason);
    void retry();
    void endAttempt(bool keepChannel);
    void onDeadline();
    void onCallerGone();
    void forwardAnswer();
    /// A server has answered a request that may run once only with a status that promises that it has not run, but not said so itself.
    void failUnmarkedRefusal();

    /// A send to another entry VM, which takes the request over.
    struct Relay {
        relay::RelayPeer peer;
        std::shared_ptr<http1::BackendChannel> channel;
        http1::ResponseHead head;
        bool isEventStream = false;
        bool needsRoom = false; ///< It is handed over for want of room at servers.
        std::string body;
        std::size_t requestBytes = 0; ///< Of the request as it is sent, until the answer begins.
        TimePoint lastByteAt; ///< The time of the send until a byte is received.
    };
    /// Whether another entry VM may be asked to take the request over.
    bool mayRelay() const;
    bool shouldRelay() const;
    /// Hands the request over to another entry VM. Returns false if there is none.
    bool startRelay();
    /// The same to one that may have room at servers that limit the requests of each VM.
    bool startRelayForRoom();
    /// The same in part of the cases if this VM can't keep up and others can.
    bool handOverIfBusy();
    void sendToPeer(const relay::RelayPeer &peer, std::string_view reason);
    relay::RelayFields relayFields() const;
    void onRelayHead(http1::ResponseHead head);
    void onRelayBody(std::string_view bytes);
    void onRelayComplete();
    void onRelayFailure(http1::CallFailure failure);
    void onRelayUnavailable(std::string_view why, bool keepChannel);
    void onRelayBroken(std::string_view why);
    void forwardRelayedAnswer();
    /// Repeats a request that has failed at another VM, if it may run again. Returns false if not.
    bool retryRelayed();
    void endAnsweredRelay();
    void beginStream(const http1::ResponseHead &head);
    void completeStream(const http1::ResponseHead &head);
    /// An attempt or a relay has broken after the request may have run: repeats it if it may run again, else fails it.
    void retryBroken();
    Duration relaySilenceLimit() const;
    void watchRelay();
    void onRelayTimeout();
    void endRelay(bool keepChannel);
    void logRelay(std::string_view outcome) const;
    void refuse(int status, FailureReason reason, Duration retryAfter);
    void fail(int status, FailureReason reason);
    void finish();
    bool isStream() const;
    bool hasStreamStarted() const;
    std::int64_t cost() const;
    /// Why a failed request is not retried.
    FailureReason noRetryReason() const;
    void logDispatch(const Choice &choice) const;
    Duration timeLeft() const;
    std::int64_t millisecondsSince(TimePoint since) const;
    /// Adds the time since the request's arrival to the histogram of @p step.
    void observeStep(std::string_view step) const;
    void logAttempt(std::string_view outcome);
    void logAllowance(const AllowanceDecision &decision) const;

    Forwarder &forwarder_;
    std::shared_ptr<const ForwarderTools> toolsOwner_; ///< Keeps tools_ alive when the forwarder is gone.
    const ForwarderTools &tools_;
    http1::ExchangePtr exchange_;
    CallerRequest request_;
    std::vector<prefixindex::Prefix> prefixes_; ///< Prefixes of the prompt that other requests may share.
    manifest::ManifestPtr manifest_;
    const manifest::Route *route_ = nullptr;
    const manifest::Customer *customer_ = nullptr;
    std::string service_;
    TimePoint deadline_;
    TimerId deadlineTimer_ = 0;
    TimerId connectTimer_ = 0;
    TimerId silenceTimer_ = 0;
    TimerId dispatchTimer_ = 0;
    bool hasWaitedForRoom_ = false;
    TimePoint silenceDueAt_;
    std::vector<suspects::PartKey> sharedParts_; ///< Of the prompt; see sharedParts().
    std::optional<suspects::PartKey> suspectedPart_; ///< The part because of which the request must not run now.
    std::optional<TimePoint> promptAnsweredAt_; ///< When the answer was last noted for the parts of the prompt.
    std::optional<suspects::Fingerprint> fingerprint_; ///< Computed when first needed: bodies may be large.
    std::optional<Attempt> attempt_;
    std::set<std::string> tried_; ///< Instances not to be chosen again: they failed or refused, or the run leaves them.
    VersionPick pick_ = VersionPick::Usual; ///< For the next send.
    std::optional<Relay> relay_;
    std::set<std::string> triedPeers_; ///< Entry VMs that could not serve the request.
    TimerId relayTimer_ = 0;
    std::size_t relays_ = 0;
    int connectFailures_ = 0; ///< Servers that could not be reached.
    bool wasRefusedByServer_ = false;
    int sends_ = 0;
    int runs_ = 0; ///< Sends after which the request may have run.
    /// A run that is being moved to another server.
    struct Move {
        directory::ServerPtr from;
        directory::ServerPtr to;
        bool isOfLateRun = false; ///< The source stays, and goes on with the run if the target can't.
        bool stopsRun = true; ///< False during the first copy of a late run, while which it goes on.
        bool isFramed = false; ///< The end of the source's stream tells whether it is whole.
        std::shared_ptr<http1::HttpClient> client;
        std::string kvSource; ///< "address:port/handle" at the source of the copy; empty until the source has answered.
        std::string handle; ///< Of the KV cache at the source; empty as kvSource is.
        bool isAnswered = false; ///< The source has answered the last call, whatever it said.
        bool hasMoveAnswer = false; ///< The source has answered the call, with a handle or without.
        bool hasSourceStopped = false; ///< The source has stopped the run and ended its stream.
    };
    std::optional<Move> move_;
    std::string kvSource_; ///< For the next send.
    /// Of a late run.
    struct Lateness {
        int checks = 0; ///< Times in a row that the run was behind.
        TimePoint nextLookAt; ///< Not before, other servers are looked at.
        bool hasLeft = false; ///< It has left a server, or tried to.
        stragglers::StragglerTracker::Ticket ticket; ///< While it moves.
        std::optional<TimePoint> lastEventAt; ///< At the server that it has left, until the next event.
        directory::ServerPtr returnTo; ///< The source of the move, which has stopped the run and can go on with it.
    };
    Lateness late_;
    TimerId moveTimer_ = 0;
    const RequestSource source_;
    bool isCounted_ = false;
    bool isAdmitted_ = false;
    AdmissionState admission_ = AdmissionState::NotAsked;
    std::uint64_t admissionTicket_ = 0; ///< 0: none.
    bool allowanceTaken_ = false;
    bool headSent_ = false; ///< The head of a stream's answer has been sent to the caller.
    bool usageNoted_ = false;
    bool demandNoted_ = false;
    bool finished_ = false;
    EventSplitter splitter_;
    std::optional<origins::SoftwareId> origin_; ///< What has begun the stream: no server with other software may go on with it.
    std::optional<TimePoint> originToldAt_; ///< When other VMs were last told of it.
    bool isOriginStored_ = false;
    http1::ResponseHead streamHead_; ///< From the first server; heads of later servers are not forwarded.
    TimePoint firstEventAt_;
};

} // namespace cardamomlift::forwarding
