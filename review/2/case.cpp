// A reclaimable backend server leaves. It stops a run in order to move it, finds no room at the target, and says so; the answer overtakes the end
// of the run's stream. The caller must not get the stopped stream as a whole one.
#include "kit/kit.h"

using namespace kit;

namespace {

constexpr int Events = 200;
constexpr int EventMs = 25; // A stream of 5 s.
constexpr int NoticeMs = 2500;
/// A segment that was lost once is sent again after 200 ms or more.
constexpr int ResendMs = 250;

/// A run at a server.
struct Run {
    std::atomic<bool> stop = false;
    std::atomic<bool> hasStopped = false;
    std::atomic<int> sent = 0;
};

/// A model server.
class Engine
{
public:
    Engine(std::string name, const std::string &ip)
        : name_(std::move(name))
        , server_(ip, [this](int fd) { serve(fd); })
    {
    }

    const Server &server() const
    {
        return server_;
    }

    /// Called when it is asked to move a run.
    std::function<void()> onMoveAsked = [] {
    };

    int started() const
    {
        return started_;
    }

private:
    void serve(int fd)
    {
        Reader reader(fd);
        Message request;
        while (reader.readMessage(request, false)) {
            const std::string target = request.word(1);
            if (target == "/api/kv-move") {
                move(fd, request);
            } else if (target.starts_with("/api/")) {
                sendAll(fd, "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n");
            } else {
                stream(fd, request);
                return;
            }
        }
        close(fd);
    }

    // An answer with neither a length nor chunks: it ends with its channel.
    void stream(int fd, const Message &request)
    {
        const std::string id = request.get("X-Attempt-Id");
        started_++;
        RECORD("%s: runs %s%s%s", name_.c_str(), id.c_str(), request.get("Kv-From").empty() ? "" : ", from memory ", request.get("Kv-From").c_str());
        const auto run = std::make_shared<Run>();
        {
            const std::lock_guard lock(mutex_);
            runs_[id] = run;
        }
        sendAll(fd, "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + id + "\r\nX-Response-Signature: s-" + id + "\r\nContent-Type: text/event-stream\r\n\r\n");
        for (int i = 1; i <= Events && !run->stop; i++) {
            sleepMs(EventMs);
            if (!sendAll(fd, "id: " + std::to_string(i) + "\ndata: token " + std::to_string(i) + "\n\n")) {
                break;
            }
            run->sent = i;
        }
        run->hasStopped = true;
        RECORD("%s: %s has ended after %d of %d events", name_.c_str(), id.c_str(), run->sent.load(), Events);
        close(fd);
    }

    // Stops the run, closes its stream, and finds no room at the target.
    void move(int fd, const Message &request)
    {
        const Json::Value body = fromJson(request.body);
        const std::string id = body["id"].asString();
        RECORD("%s: asked to move %s to %s, last %d", name_.c_str(), id.c_str(), body["to"].asString().c_str(), body["last"].asBool());
        std::shared_ptr<Run> run;
        {
            const std::lock_guard lock(mutex_);
            run = runs_[id];
        }
        if (!run || run->hasStopped) {
            sendAll(fd, "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n");
            return;
        }
        onMoveAsked();
        run->stop = true;
        while (!run->hasStopped) {
            sleepMs(1);
        }
        // The end of the stream has time to arrive first, unless it is held back.
        sleepMs(50);
        const std::string answer = R"({"handle":"h-1","created":)" + std::to_string(run->sent) + "}";
        sendAll(
            fd, "HTTP/1.1 503 Service Unavailable\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(answer.size()) + "\r\n\r\n" + answer);
        RECORD("%s: answers 503 with the handle of %s", name_.c_str(), id.c_str());
    }

    std::string name_;
    std::atomic<int> started_ = 0;
    std::mutex mutex_;
    std::map<std::string, std::shared_ptr<Run>> runs_;
    Server server_;
};

Json::Value entryOf(const Path &path, const std::string &state)
{
    Json::Value json = serverEntry("proofing-models", path.endpoint());
    json["stage"] = "both";
    json["models"] = fromJson(R"([{"name":"m","version":1,"adapters":[]}])");
    json["preemptible"] = true;
    json["state"] = state;
    if (state == "draining") {
        json["leaves_ms"] = NoticeMs;
        json["sequence"] = 2;
    }
    return json;
}

} // namespace

int main(int, char **argv)
{
    Record::instance().open(argv[1]);
    const Folder folder;
    Store store(loopback(1));
    Engine first("server 1", loopback(10));
    Engine second("server 2", loopback(11));
    Path toFirst(loopback(10), first.server().port());
    Path toSecond(loopback(11), second.server().port());
    Clock::time_point streamOpen;
    first.onMoveAsked = [&toFirst, &streamOpen] {
        if (hasTrouble()) {
            toFirst.hold(streamOpen, ResendMs);
            RECORD("path: the end of the stream is lost and sent again after %d ms", ResendMs);
        }
    };
    Json::Value manifest;
    manifest["version"] = 7;
    manifest["routes"].append(route("brochure-proof", "streaming", "proofing-models", 15000, 1, false));
    manifest["services"].append(fromJson(R"({"name":"proofing-models","health_path":"/healthz","max_conns":370,"protocol":"h1","tls":false,
        "engine":{"slots":64,"kv_capacity_tokens":656708,"kv_token_bytes":163840,"link_mbps":740000.0,"moves":true,"backups":true,"stride":5,"most":12,
        "pin_ms":4000.0,"hold_ms":2000.0,"handle_ttl_s":5.0,"models":[{"name":"m"}]}})"));
    manifest["limits"] = callerLimits();
    manifest["tenants"].append(fromJson(R"({"name":"co-op","api_keys":["key-1"]})"));
    store.put("op", "config", manifest);
    store.put("servers", "i-1", entryOf(toFirst, "ready"));
    Entry entry(1, folder.path(), loopback(2), store.endpoint());
    entry.awaitReady();
    sleepMs(12000); // The VM earns retries with its age; a move takes one.

    const int fd = connectTo(entry.ip(), entry.front());
    sendAll(fd,
        "POST /brochure-proof/1 HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: s1\r\nX-Model: m\r\nX-Token-Usage: 800,1000\r\n"
        "X-Prompt-Prefix: 5c1e07a2:400,91bd3f06:400\r\nX-Deadline-Ms: 15000\r\nX-Credential: key-1\r\nContent-Length: 6\r\n\r\nprompt");
    RECORD("caller: sent s1");
    sleepMs(300);
    streamOpen = Clock::now();
    store.put("servers", "i-2", entryOf(toSecond, "ready"));
    sleepMs(300);
    store.put("servers", "i-1", entryOf(toFirst, "draining"));
    RECORD("store: server 1 is draining, %d ms left", NoticeMs);

    setReadTimeout(fd, 5000);
    Reader reader(fd);
    Message answer;
    reader.readMessage(answer, true);
    int received = 0;
    for (std::size_t at = 0; (at = answer.body.find("id: ", at)) != std::string::npos; at++) {
        received++;
    }
    // readMessage() drops the chunks of an answer that has no last chunk; then it is not complete in any case.
    RECORD("caller: status %d, %s, %d of %d events",
        answer.status(),
        answer.isComplete       ? "complete"
            : reader.timedOut() ? "silent"
                                : "broken off",
        received,
        Events);
    const bool isBroken = answer.isComplete && received < Events;
    RECORD("result: %s", isBroken ? "a stream ends as complete before its last event" : "held");
    if (answer.status() != 200 || first.started() == 0) {
        finish(folder, NotRun);
    }
    finish(folder, isBroken ? Broken : Held);
}
