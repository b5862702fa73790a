// All VMs are killed at the same moment and start again, while servers of two software versions serve. Callers take their streams up again once the
// VMs are in touch. These must go on about as often as new streams begin.
#include "kit/kit.h"

using namespace kit;

namespace {

constexpr int Streams = 24;
constexpr int Events = 200;
constexpr int EventMs = 50; // A stream of 10 s.
constexpr int TimeLimitMs = 15000;
constexpr int ContactMs = 3000;

/// A model server of one software version. Streams go on after the event that the request names.
class Engine
{
public:
    Engine(std::string version, const std::string &ip)
        : version_(std::move(version))
        , server_(ip, [this](int fd) { serve(fd); })
    {
    }

    Json::Value entry() const
    {
        Json::Value json = serverEntry("proofing-models", server_.endpoint());
        json["version"] = version_;
        json["stage"] = "both";
        json["models"] = fromJson(R"([{"name":"m","version":1,"adapters":[]}])");
        return json;
    }

private:
    void serve(int fd)
    {
        Reader reader(fd);
        Message request;
        while (reader.readMessage(request, false)) {
            const std::string id = request.get("X-Attempt-Id");
            const int after = atoi(request.get("Last-Event-Id").c_str());
            RECORD("server of %s: runs %s from event %d", version_.c_str(), id.c_str(), after + 1);
            bool isOpen = sendAll(fd,
                "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + id + "\r\nX-Response-Signature: s-" + id
                    + "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
            for (int i = after + 1; i <= Events && isOpen; i++) {
                sleepMs(EventMs);
                const std::string event = "id: " + std::to_string(i) + "\ndata: " + version_ + "\n\n";
                char size[20];
                snprintf(size, sizeof size, "%zx\r\n", event.size());
                isOpen = sendAll(fd, size + event + "\r\n");
            }
            if (!isOpen || !sendAll(fd, "0\r\n\r\n")) {
                break;
            }
        }
        close(fd);
    }

    std::string version_;
    Server server_;
};

/// A caller's stream, over its tries.
struct Stream {
    std::string first; ///< The attempt that brought the first event.
    int events = 0;
    std::set<std::string> versions;
    bool hasGoneOn = false;
    Clock::time_point start = Clock::now();
};

/// One attempt. Reads events until @p stop says so or the answer ends. Returns the status; 0 if there is none.
int attempt(const Entry &entry, const std::string &id, Stream &stream, const std::function<bool()> &stop)
{
    const int fd = connectTo(entry.ip(), entry.front());
    if (fd < 0) {
        return 0;
    }
    const long left = TimeLimitMs - std::chrono::duration_cast<milliseconds>(Clock::now() - stream.start).count();
    std::string head = "POST /leaflet-draft/1 HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: " + id
        + "\r\nX-Model: m\r\nX-Token-Usage: 500,400\r\nX-Prompt-Prefix: " + (stream.first.empty() ? id : stream.first)
        + ":500\r\nX-Deadline-Ms: " + std::to_string(left) + "\r\nX-Credential: key-1\r\n";
    if (!stream.first.empty()) {
        head += "Resumes: " + stream.first + "\r\nLast-Event-Id: " + std::to_string(stream.events) + "\r\n";
    }
    sendAll(fd, head + "Content-Length: 6\r\n\r\nprompt");
    setReadTimeout(fd, 3000);
    Reader reader(fd);
    Message answer;
    int status = 0;
    if (reader.readHead(answer)) {
        status = answer.status();
        std::string part;
        while (status == 200 && !stop() && reader.readChunk(part) && !part.empty()) {
            stream.hasGoneOn = !stream.first.empty() && stream.first != id;
            stream.first = stream.first.empty() ? id : stream.first;
            stream.events += static_cast<int>(std::count(part.begin(), part.end(), 'i'));
            stream.versions.insert(part.substr(part.find("data: ") + 6, 2));
        }
    }
    close(fd);
    return status;
}

} // namespace

int main(int, char **argv)
{
    Record::instance().open(argv[1]);
    const Folder folder;
    Store store(loopback(1));
    std::vector<std::unique_ptr<Engine>> engines;
    for (int i = 0; i < 4; i++) {
        engines.push_back(std::make_unique<Engine>(i < 2 ? "v1" : "v2", loopback(10 + i)));
        store.put("servers", "i-" + std::to_string(i + 1), engines.back()->entry());
    }
    Json::Value manifest;
    manifest["version"] = 7;
    manifest["routes"].append(route("leaflet-draft", "streaming", "proofing-models", TimeLimitMs, 2, true));
    manifest["services"].append(fromJson(R"({"name":"proofing-models","health_path":"/healthz","max_conns":370,"protocol":"h1","tls":false,
        "engine":{"slots":64,"kv_capacity_tokens":656708,"kv_token_bytes":163840,"link_mbps":740000.0,"moves":true,"backups":true,"stride":5,"most":12,
        "pin_ms":4000.0,"hold_ms":2000.0,"handle_ttl_s":5.0,"models":[{"name":"m"}]}})"));
    manifest["limits"] = callerLimits();
    manifest["tenants"].append(fromJson(R"({"name":"co-op","api_keys":["key-1"]})"));
    store.put("op", "config", manifest);
    std::vector<std::unique_ptr<Entry>> entries;
    for (int i = 0; i < 3; i++) {
        entries.push_back(std::make_unique<Entry>(i + 1, folder.path(), loopback(2 + i), store.endpoint()));
    }
    for (const auto &entry : entries) {
        entry->awaitReady();
    }
    sleepMs(3000);

    Clock::time_point startedAt = Clock::now();
    // The streams run for two seconds. Then all VMs are killed, or, without trouble, the callers lose their channels.
    std::vector<Stream> streams(Streams);
    std::atomic<bool> leave = false;
    std::vector<std::thread> threads;
    for (int i = 0; i < Streams; i++) {
        threads.emplace_back([&, i] {
            streams[i].start = Clock::now();
            attempt(*entries[i % entries.size()], "s" + std::to_string(i + 1), streams[i], [&leave] { return leave.load(); });
        });
    }
    sleepMs(2000);
    if (hasTrouble()) {
        for (const auto &entry : entries) {
            entry->signal(SIGKILL);
        }
        for (const auto &entry : entries) {
            entry->wait();
        }
        sleepMs(500);
        for (const auto &entry : entries) {
            entry->start();
        }
        startedAt = Clock::now();
        for (const auto &entry : entries) {
            entry->awaitReady();
        }
    }
    leave = true;
    for (std::thread &thread : threads) {
        thread.join();
    }
    threads.clear();
    int begun = 0;
    for (const Stream &stream : streams) {
        begun += stream.events > 0;
    }
    RECORD("%d of %d streams have begun and lost their channels", begun, Streams);
    // The VMs have been in touch again since the start of their processes.
    std::this_thread::sleep_until(startedAt + milliseconds(ContactMs + 300));

    // The callers take their streams up at the next VM, once, beside callers with new streams.
    std::vector<Stream> fresh(Streams);
    for (int i = 0; i < Streams; i++) {
        threads.emplace_back([&, i] {
            const std::string id = "s" + std::to_string(i + 1) + "-again";
            const int before = streams[i].events;
            const int status = attempt(*entries[(i + 1) % entries.size()], id, streams[i], [&, i] { return streams[i].events >= before + 20; });
            RECORD("caller: %s after event %d: status %d, %d further events", id.c_str(), before, status, streams[i].events - before);
        });
        threads.emplace_back([&, i] {
            fresh[i].start = Clock::now();
            const std::string id = "new" + std::to_string(i + 1);
            const int status = attempt(*entries[i % entries.size()], id, fresh[i], [&, i] { return fresh[i].events >= 20; });
            RECORD("caller: %s: status %d, %d events", id.c_str(), status, fresh[i].events);
        });
    }
    for (std::thread &thread : threads) {
        thread.join();
    }
    int goneOn = 0;
    int newBegun = 0;
    int mixed = 0;
    for (int i = 0; i < Streams; i++) {
        goneOn += streams[i].hasGoneOn;
        newBegun += fresh[i].events > 0;
        mixed += streams[i].versions.size() > 1;
    }
    RECORD("result: %d of %d streams go on, %d of them at another version; %d of %d new streams begin", goneOn, begun, mixed, newBegun, Streams);
    if (begun < 12 || newBegun < 12) {
        finish(folder, NotRun);
    }
    const bool isBroken = goneOn * Streams * 2 < newBegun * begun;
    finish(folder, isBroken ? Broken : Held);
}
