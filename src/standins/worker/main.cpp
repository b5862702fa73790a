// A backend server of routes in small: plain answers and streams, signed, with the faults that tests need. It counts what it
// ran by request id and does not look for repeats: that is what is tested.

#include "http/json.h"
#include "http1/httpserver.h"
#include "standinkit/standinmain.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <cstdlib>
#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace {

using namespace cardamomlift;

constexpr int StatusOk = 200;
constexpr int StatusMisdirected = 421;
constexpr int StatusFailed = 500;
constexpr int StatusUnavailable = 503;
constexpr double Percent = 100;

/// What comes in any span of this length, this long after the limit was first named, counts against it.
constexpr Duration LimitWindow = std::chrono::seconds(4);
constexpr Duration LimitKnownAfter = std::chrono::seconds(3);

/// The process ends when it starts to run a request whose target ends like this.
constexpr std::string_view CrashingTarget = "/crash";
/// It ends in the middle of a stream whose target ends like this, after as many events.
constexpr std::string_view CrashingLateTarget = "/crash-late";
constexpr int EventsBeforeCrash = 3;
/// It answers a request whose target ends like this as any other, and ends within this time, as drawn by worker and request.
constexpr std::string_view CrashingSoonTarget = "/crash-soon";
constexpr std::chrono::milliseconds LongestTimeToCrash(300);
/// It ends when it begins the answer to a request with such a part in its prompt, the last one excepted.
constexpr std::string_view CrashingPartStart = "dead";
/// It answers a request with such a part as any other, and ends as it does for CrashingSoonTarget.
constexpr std::string_view CrashingSoonPartStart = "feed";
constexpr Duration CrashAfterHead = std::chrono::milliseconds(30);
/// Exit code of a process that was ended by a request with the id "crashing-0-...". It is one more for "crashing-1-...".
constexpr int FirstCrashExitCode = 70;
constexpr std::string_view CrashingIdStart = "crashing-";

[[noreturn]] void crash(std::string_view id)
{
    const std::string_view number = id.starts_with(CrashingIdStart) ? id.substr(CrashingIdStart.size()) : std::string_view();
    std::_Exit(FirstCrashExitCode + static_cast<int>(http1::parseNumber(number.substr(0, number.find('-'))).value_or(0)));
}

/// Whether a part other than the last begins with @p start.
bool hasPart(std::string_view prompt, std::string_view start)
{
    const std::string_view shared = prompt.substr(0, std::min(prompt.rfind(','), prompt.size()));
    return shared.size() < prompt.size() && (shared.starts_with(start) || shared.find("," + std::string(start)) != std::string_view::npos);
}

/// A request as it reached the worker, run or refused.
struct Arrival {
    std::string id;
    TimePoint at; ///< By the machine's monotonic clock, which all processes share.
    std::int64_t leftMs = 0; ///< The time that the request may take; -1: it did not say.
    Duration lag{0}; ///< It may have waited this long for the process to run.
    std::optional<TimePoint> answeredAt; ///< When the head of the answer was sent.
    bool isToldLeaving = false; ///< The answer says that the worker leaves.
    std::string backoff; ///< Retry-After of the answer; empty if it has none.
};

/// How late the process runs, by a timer that is due often.
struct LagMeter {
    static constexpr Duration Period = std::chrono::milliseconds(10);
    TimePoint tickAt;
    Duration tickLag{0}; ///< Of the last tick.

    void tick(TimePoint now)
    {
        tickLag = std::max(Duration(0), now - tickAt - Period);
        tickAt = now;
    }

    // Timers that are due run before the sockets' events of the same time.
    Duration lag(TimePoint now) const
    {
        return now - tickAt < Period ? tickLag : now - tickAt;
    }
};

/// A limit on the requests of all callers together, named in each answer, and how it is kept.
struct NamedLimit {
    std::string perSecond; ///< As it is written in answers; empty: none is named.
    std::optional<TimePoint> firstNamedAt;
    std::deque<TimePoint> arrivals; ///< Of the last window.
    std::size_t mostInWindow = 0;

    void noteArrival(TimePoint now)
    {
        if (perSecond.empty() || !firstNamedAt || now - *firstNamedAt < LimitKnownAfter) {
            return;
        }
        arrivals.push_back(now);
        while (now - arrivals.front() > LimitWindow) {
            arrivals.pop_front();
        }
        mostInWindow = std::max(mostInWindow, arrivals.size());
    }

    void addTo(http1::ResponseHead &head, TimePoint now)
    {
        if (perSecond.empty()) {
            return;
        }
        firstNamedAt = firstNamedAt.value_or(now);
        head.fields.add("Server-Limit", perSecond);
    }
};

/// A worker with little room that crashes when it must refuse too many requests within a second.
struct OverloadCrash {
    int refusalsPerSecond = -1; ///< As it is told in all answers; -1: it bears any number.
    std::size_t room = 0; ///< Requests that run at once from LimitKnownAfter after the first such answer.
    Duration downTime = std::chrono::seconds(3);
    std::optional<TimePoint> firstToldAt;
    std::deque<TimePoint> refusals; ///< Of the last second.
    std::vector<http1::ExchangePtr> running;
    std::optional<TimePoint> downUntil;
    int crashes = 0;

    bool isActive(TimePoint now) const
    {
        return refusalsPerSecond >= 0 && firstToldAt && now - *firstToldAt >= LimitKnownAfter;
    }

    bool isDown(TimePoint now) const
    {
        return downUntil && now < *downUntil;
    }

    bool hasRoom(TimePoint now) const
    {
        return !isActive(now) || running.size() < room;
    }

    void addTo(http1::ResponseHead &head, TimePoint now)
    {
        if (refusalsPerSecond >= 0) {
            firstToldAt = firstToldAt.value_or(now);
            head.fields.add("Server-Brittle", std::to_string(refusalsPerSecond));
        }
    }

    /// Counts a request that is refused; one too many within a second ends all that run.
    void noteRefusal(TimePoint now)
    {
        refusals.push_back(now);
        while (now - refusals.front() > std::chrono::seconds(1)) {
            refusals.pop_front();
        }
        if (refusals.size() <= static_cast<std::size_t>(std::max(0, refusalsPerSecond))) {
            return;
        }
        crashes++;
        refusals.clear();
        downUntil = now + downTime;
        for (const http1::ExchangePtr &exchange : running) {
            exchange->abort();
        }
        running.clear();
    }
};

/// The slots of a worker that runs few requests at once, and lets a few more wait.
struct Room {
    struct Waiting {
        http1::ExchangePtr exchange;
        std::string id;
    };
    std::size_t slots = 0; ///< 0: no bound, and the load is not told.
    std::size_t queue = 0; ///< Maximum number of requests that wait for a slot.
    std::size_t running = 0;
    std::deque<Waiting> waiting;

    bool hasSlot() const
    {
        return slots == 0 || running < slots;
    }

    bool isFull() const
    {
        return !hasSlot() && waiting.size() >= queue;
    }
};

struct Worker {
    EventLoop *loop = nullptr;
    std::shared_ptr<http1::HttpServer> server;
    std::string instance;
    Duration eventGap{0};
    Duration delay{0};
    Duration work{0}; ///< Of a plain request, at the usual pace.
    double pace = 1; ///< Work, and the pause between events, take this many times as long.
    bool announcesPace = false; ///< The load in answers has the pace as its fourth figure.
    Room room;
    int events = 5;
    std::size_t eventBytes = 0; ///< Added to each event.
    std::size_t answerBytes = 0; ///< Added to each plain answer.
    int breakAfter = -1; ///< Events after which a stream breaks off; -1: none.
    std::string brokenPart = "id"; ///< What is sent of the event in which a stream breaks off: "id", or whole "lines" without the last, empty one.
    bool breaksInOrder = false; ///< The body of a stream that breaks off ends as that of a whole one.
    bool namesServer = false; ///< Each event of a stream names the worker.
    bool unframed = false; ///< Streams have neither a length nor chunks.
    bool resets = false; ///< Plain requests are run and their connection is closed.
    bool fails = false; ///< Plain requests are run and answered with an error of the worker's own.
    bool full = false;
    Duration fullInTurn{0}; ///< Full for so long, then not, and so on, by the clock that all processes share; 0: as @c full says.
    bool isFullAtOddTurns = false;
    bool silent = false; ///< Requests are taken and run; nothing is answered until this ends, and then they are broken off.
    std::vector<http1::ExchangePtr> held; ///< While silent.
    std::map<std::string, int> runs; ///< By request id.
    std::vector<Arrival> arrivals;
    LagMeter lagMeter;
    int cancelled = 0;
    int afterLeaving = 0; ///< Requests that came after the worker said that it leaves.
    bool leaving = false;
    bool announcesLeaving = false; ///< All answers say that the worker leaves.
    std::string retryAfter; ///< Sent with each refusal while full, as it is; empty: none.
    NamedLimit limit;
    OverloadCrash overload;

    http1::ResponseHead head(int status, const std::string &id)
    {
        http1::ResponseHead head;
        head.status = status;
        head.fields.add("X-Attempt-Id", id);
        limit.addTo(head, loop->now());
        overload.addTo(head, loop->now());
        addLoad(head);
        if (announcesLeaving) {
            head.fields.add("Server-Leaving", "1");
        }
        noteAnswered(id, head);
        return head;
    }

    void addLoad(http1::ResponseHead &head) const
    {
        if (room.slots == 0) {
            return;
        }
        const std::string load = fmt::format("{},{},{}", room.running, room.waiting.size(), room.slots);
        head.fields.add("X-Server-Load", announcesPace ? fmt::format("{},{}", load, std::lround(pace * Percent)) : load);
    }

    Duration atPace(Duration usual) const
    {
        return std::chrono::duration_cast<Duration>(usual * pace);
    }

    /// Takes a slot until what is returned, and all copies of it, are gone.
    std::shared_ptr<bool> takeSlot()
    {
        room.running++;
        return {new bool(false), [this](const bool *token) {
                    delete token;
                    room.running--;
                    startWaiting();
                }};
    }

    void startWaiting()
    {
        while (!room.waiting.empty() && room.hasSlot()) {
            const Room::Waiting next = std::move(room.waiting.front());
            room.waiting.pop_front();
            execute(next.exchange, next.id);
        }
    }

    void wait(const http1::ExchangePtr &exchange, const std::string &id)
    {
        room.waiting.push_back({exchange, id});
        exchange->onDisconnected([this, id] {
            std::erase_if(room.waiting, [&id](const Room::Waiting &entry) { return entry.id == id; });
            cancelled++;
        });
    }

    /// Adds what an answer says of the worker to the last arrival of its request.
    void noteAnswered(const std::string &id, const http1::ResponseHead &head)
    {
        const auto arrival = std::find_if(arrivals.rbegin(), arrivals.rend(), [&id](const Arrival &entry) { return entry.id == id; });
        if (arrival == arrivals.rend()) {
            return;
        }
        arrival->answeredAt = loop->now();
        arrival->isToldLeaving = head.fields.has("Server-Leaving");
        arrival->backoff = head.fields.get("Retry-After");
    }

    http1::ResponseHead signedHead(const std::string &id)
    {
        http1::ResponseHead answer = head(StatusOk, id);
        answer.fields.add("X-Response-Signature", instance + "." + id);
        return answer;
    }

    Json::Value report() const
    {
        Json::Value json;
        json["runs"] = Json::Value(Json::objectValue);
        for (const auto &[id, count] : runs) {
            json["runs"][id] = count;
        }
        json["cancelled"] = cancelled;
        json["afterLeaving"] = afterLeaving;
        json["crashes"] = overload.crashes;
        json["mostInLimitWindow"] = Json::Int64(limit.mostInWindow);
        json["limitNamedMs"] =
            limit.firstNamedAt ? Json::Int64(std::chrono::duration_cast<std::chrono::milliseconds>(loop->now() - *limit.firstNamedAt).count()) : -1;
        return json;
    }

    void noteArrival(const http1::ExchangePtr &exchange, const std::string &id)
    {
        const auto left = http1::parseNumber(exchange->head().fields.get("X-Deadline-Ms"));
        arrivals.push_back({id, loop->now(), left ? static_cast<std::int64_t>(*left) : -1, lagMeter.lag(loop->now())});
    }

    Json::Value arrivalReport() const
    {
        Json::Value json(Json::arrayValue);
        for (const Arrival &arrival : arrivals) {
            Json::Value entry;
            entry["id"] = arrival.id;
            entry["atUs"] = Json::Int64(arrival.at.time_since_epoch().count());
            entry["leftMs"] = Json::Int64(arrival.leftMs);
            entry["lagUs"] = Json::Int64(arrival.lag.count());
            entry["answeredAtUs"] = arrival.answeredAt ? Json::Int64(arrival.answeredAt->time_since_epoch().count()) : -1;
            entry["isToldLeaving"] = arrival.isToldLeaving;
            entry["backoff"] = arrival.backoff;
            json.append(std::move(entry));
        }
        return json;
    }

    void control(const http1::ExchangePtr &exchange)
    {
        const Json::Value body = http::parseJson(exchange->body()).value_or(Json::Value(Json::objectValue));
        // What a request does not name stays as it is.
        const auto number = [&body](const char *name, std::int64_t current) {
            return body.isMember(name) ? body[name].asInt64() : current;
        };
        eventGap = std::chrono::milliseconds(number("eventGapMs", std::chrono::duration_cast<std::chrono::milliseconds>(eventGap).count()));
        delay = std::chrono::milliseconds(number("delayMs", std::chrono::duration_cast<std::chrono::milliseconds>(delay).count()));
        work = std::chrono::milliseconds(number("workMs", std::chrono::duration_cast<std::chrono::milliseconds>(work).count()));
        pace = body.get("pace", pace).asDouble();
        announcesPace = body.get("announcesPace", announcesPace).asBool();
        room.slots = static_cast<std::size_t>(number("slots", static_cast<std::int64_t>(room.slots)));
        room.queue = static_cast<std::size_t>(number("queue", static_cast<std::int64_t>(room.queue)));
        startWaiting();
        events = static_cast<int>(number("events", events));
        eventBytes = static_cast<std::size_t>(number("eventBytes", static_cast<std::int64_t>(eventBytes)));
        answerBytes = static_cast<std::size_t>(number("answerBytes", static_cast<std::int64_t>(answerBytes)));
        breakAfter = static_cast<int>(number("breakAfter", breakAfter));
        brokenPart = body.get("brokenPart", brokenPart).asString();
        breaksInOrder = body.get("breaksInOrder", breaksInOrder).asBool();
        unframed = body.get("unframed", unframed).asBool();
        namesServer = body.get("namesServer", namesServer).asBool();
        resets = body.get("resets", resets).asBool();
        fails = body.get("fails", fails).asBool();
        full = body.get("full", full).asBool();
        isFullAtOddTurns = body.get("isFullAtOddTurns", isFullAtOddTurns).asBool();
        fullInTurn = std::chrono::milliseconds(number("fullInTurnMs", std::chrono::duration_cast<std::chrono::milliseconds>(fullInTurn).count()));
        silent = body.get("silent", silent).asBool();
        if (!silent) {
            breakHeld();
        }
        leaving = body.get("leaving", leaving).asBool();
        announcesLeaving = body.get("announcesLeaving", announcesLeaving).asBool();
        retryAfter = body.get("retryAfter", retryAfter).asString();
        limit.perSecond = body.get("limit", limit.perSecond).asString();
        overload.refusalsPerSecond = static_cast<int>(number("refusalsBorne", overload.refusalsPerSecond));
        overload.room = static_cast<std::size_t>(number("room", static_cast<std::int64_t>(overload.room)));
        exchange->answer(http1::ResponseHead{StatusOk, {}, {}}, http::writeJson(report()));
    }

    void breakHeld()
    {
        for (const http1::ExchangePtr &exchange : held) {
            exchange->abort();
        }
        held.clear();
    }

    bool isFullInTurn() const
    {
        if (fullInTurn.count() == 0) {
            return false;
        }
        const bool isOddTurn = (loop->now().time_since_epoch() / fullInTurn) % 2 != 0;
        return isOddTurn == isFullAtOddTurns;
    }

    void handle(const http1::ExchangePtr &exchange)
    {
        if (exchange->head().target == "/control") {
            control(exchange);
            return;
        }
        if (exchange->head().target == "/arrivals") {
            exchange->answer(http1::ResponseHead{StatusOk, {}, {}}, http::writeJson(arrivalReport()));
            return;
        }
        const std::string id(exchange->head().fields.get("X-Attempt-Id"));
        noteArrival(exchange, id);
        if (exchange->head().fields.get("X-Expect-Instance") != instance) {
            exchange->answer(head(StatusMisdirected, id), "");
            return;
        }
        afterLeaving += leaving ? 1 : 0;
        limit.noteArrival(loop->now());
        if (overload.isDown(loop->now())) {
            exchange->abort();
            return;
        }
        if (!overload.hasRoom(loop->now())) {
            refuseForWantOfRoom(exchange, id);
            return;
        }
        if (full || isFullInTurn() || room.isFull()) {
            http1::ResponseHead refusal = head(StatusUnavailable, id);
            refusal.fields.add("X-Not-Executed", "1");
            if (!retryAfter.empty()) {
                refusal.fields.add("Retry-After", retryAfter);
                noteAnswered(id, refusal);
            }
            exchange->answer(std::move(refusal), "");
            return;
        }
        if (!room.hasSlot()) {
            wait(exchange, id);
            return;
        }
        execute(exchange, id);
    }

    Duration timeToCrash(const std::string &id) const
    {
        return std::chrono::milliseconds(std::hash<std::string>()(instance + "/" + id) % LongestTimeToCrash.count());
    }

    void execute(const http1::ExchangePtr &exchange, const std::string &id)
    {
        runs[id]++;
        if (exchange->head().target.ends_with(CrashingTarget)) {
            crash(id);
        }
        const std::string_view prompt = exchange->head().fields.get("X-Prompt-Prefix");
        if (exchange->head().target.ends_with(CrashingSoonTarget) || hasPart(prompt, CrashingSoonPartStart)) {
            loop->after(timeToCrash(id), [id] { crash(id); });
        }
        if (hasPart(prompt, CrashingPartStart)) {
            exchange->begin(signedHead(id));
            loop->after(CrashAfterHead, [id] { crash(id); });
            return;
        }
        if (silent) {
            held.push_back(exchange);
            return;
        }
        if (resets) {
            exchange->abort();
            return;
        }
        if (fails) {
            http1::ResponseHead failure = signedHead(id);
            failure.status = StatusFailed;
            exchange->answer(std::move(failure), "failed");
            return;
        }
        const std::string_view target = exchange->head().target;
        if (target.starts_with("/stream/") || target.starts_with("/single/")) {
            startStream(exchange, id);
            return;
        }
        overload.running.push_back(exchange);
        loop->after(delay + atPace(work), [this, exchange, id, slot = takeSlot()] {
            std::erase(overload.running, exchange);
            exchange->answer(signedHead(id), fmt::format("{} {}{}", id, exchange->body(), std::string(answerBytes, 'x')));
        });
    }

    void refuseForWantOfRoom(const http1::ExchangePtr &exchange, const std::string &id)
    {
        http1::ResponseHead refusal = head(StatusUnavailable, id);
        refusal.fields.add("X-Not-Executed", "1");
        exchange->answer(std::move(refusal), "");
        overload.noteRefusal(loop->now());
    }

    void startStream(const http1::ExchangePtr &exchange, const std::string &id)
    {
        const auto gone = takeSlot();
        exchange->onDisconnected([this, gone] {
            *gone = true;
            cancelled++;
        });
        const std::string_view last = exchange->head().fields.get("Last-Event-Id");
        if (unframed) {
            exchange->beginUnframed(signedHead(id));
        } else {
            exchange->begin(signedHead(id));
        }
        sendEvent(exchange, gone, id, last.empty() ? 1 : static_cast<int>(http1::parseNumber(last).value_or(0)) + 1, 0);
    }

    void breakOff(const http1::ExchangePtr &exchange, const std::string &id, int number) const
    {
        exchange->send(brokenPart == "lines" ? fmt::format("id: {}\ndata: {} {}\n", number, id, number) : fmt::format("id: {}\nda", number));
        if (breaksInOrder) {
            exchange->end();
        } else {
            exchange->abort();
        }
    }

    void sendEvent(const http1::ExchangePtr &exchange, const std::shared_ptr<bool> &gone, const std::string &id, int number, int sent)
    {
        if (*gone) {
            return;
        }
        if (silent) {
            held.push_back(exchange);
            return;
        }
        if (exchange->head().target.ends_with(CrashingLateTarget) && number > EventsBeforeCrash) {
            crash(id);
        }
        if (number > events) {
            exchange->end();
            return;
        }
        if (breakAfter >= 0 && sent >= breakAfter) {
            breakOff(exchange, id, number);
            return;
        }
        const std::string padding(eventBytes, 'x');
        exchange->send(fmt::format("id: {}\ndata: {} {}{}{}\n\n", number, id, number, namesServer ? " " + instance : std::string(), padding));
        loop->after(atPace(eventGap), [this, exchange, gone, id, number, sent] { sendEvent(exchange, gone, id, number + 1, sent + 1); });
    }
};

} // namespace

int main(int argc, char **argv)
{
    namespace options = boost::program_options;
    options::options_description description("standin-worker [options]");
    description.add_options()("address", options::value<std::string>()->default_value("127.0.0.1"), "IPv4 number");
    description.add_options()("port", options::value<std::uint16_t>()->default_value(0), "port; 0: a free one");
    description.add_options()("instance", options::value<std::string>()->default_value("worker"), "instance name");
    static Worker worker;
    return standinkit::standinMain(argc, argv, description, [](EventLoop &loop, const auto &values, Json::Value &ready) -> Result<void> {
        worker.loop = &loop;
        worker.instance = values["instance"].template as<std::string>();
        worker.lagMeter.tickAt = loop.now();
        loop.every(LagMeter::Period, [&loop] { worker.lagMeter.tick(loop.now()); });
        http1::ServerHandlers handlers;
        handlers.onRequest = [](const http1::ExchangePtr &exchange) {
            worker.handle(exchange);
        };
        handlers.onRejected = [](int) {
        };
        const http1::Endpoint at{values["address"].template as<std::string>(), values["port"].template as<std::uint16_t>()};
        BOOST_OUTCOME_TRY(server, http1::HttpServer::listen(loop, at, {}, std::move(handlers), standinkit::ampleBudget(loop)));
        worker.server = server;
        ready["port"] = server->port();
        return success();
    });
}
