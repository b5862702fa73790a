// A reclaimable backend server leaves, and spoils its answer to the move of a run: digits of the handle's number come again and again. The VM must go on,
// and callers whose requests are at another, sound server must get their answers.
#include "kit/kit.h"

using namespace kit;

namespace {

constexpr int Events = 200;
constexpr int EventMs = 25; // A stream of 5 s.
constexpr int NoticeMs = 2500;
constexpr int Callers = 8;
constexpr int WorkMs = 400;
constexpr int ShortStreams = 30; // Answered soundly by the server that leaves.
constexpr char Handle[] = "71";
constexpr char SpoiltHandle[] = "7171717171717171717171";

std::atomic<bool> hasStopped = false;
std::atomic<int> soundAnswers = 0; ///< Of the model servers.

void answerPlain(int fd, int status, const std::string &id, const std::string &body)
{
    std::string head = "HTTP/1.1 " + std::to_string(status) + " X\r\nContent-Length: " + std::to_string(body.size()) + "\r\n";
    if (!id.empty()) {
        head += "X-Attempt-Id: " + id + "\r\nX-Response-Signature: s-" + id + "\r\n";
    }
    sendAll(fd, head + "\r\n" + body);
}

// A sound server with plain requests.
void serveDesk(int fd)
{
    Reader reader(fd);
    Message request;
    while (reader.readMessage(request, false)) {
        sleepMs(WorkMs);
        answerPlain(fd, 200, request.get("X-Attempt-Id"), "ticket");
    }
    close(fd);
}

void sendChunk(int fd, const std::string &text, bool &isOpen)
{
    char size[20];
    snprintf(size, sizeof size, "%zx\r\n", text.size());
    isOpen = isOpen && sendAll(fd, size + text + "\r\n");
}

// A model server, whose runs can be moved.
void serveModel(int fd)
{
    Reader reader(fd);
    Message request;
    while (reader.readMessage(request, false)) {
        const std::string target = request.word(1);
        const std::string id = request.get("X-Attempt-Id");
        if (target == "/api/kv-move") {
            RECORD("model server: asked to move a run");
            hasStopped = true;
            sleepMs(30);
            const std::string answer = std::string(R"({"handle":)") + (hasTrouble() ? SpoiltHandle : Handle) + R"(,"created":80})";
            RECORD("model server: answers 200 %s", answer.c_str());
            answerPlain(fd, 200, "", answer);
            continue;
        }
        if (target.starts_with("/api/")) {
            answerPlain(fd, 404, "", "");
            continue;
        }
        if (id.starts_with("short")) {
            soundAnswers++;
            const std::string body = "id: 1\ndata: token\n\n";
            sendAll(fd,
                "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + id + "\r\nX-Response-Signature: s-" + id
                    + "\r\nContent-Type: text/event-stream\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
            continue;
        }
        const int after = atoi(request.get("Last-Event-Id").c_str());
        RECORD("model server: runs %s from event %d %s", id.c_str(), after + 1, request.get("Kv-From").c_str());
        bool isOpen = sendAll(fd,
            "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + id + "\r\nX-Response-Signature: s-" + id
                + "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
        for (int i = after + 1; i <= Events && isOpen; i++) {
            if (after == 0 && hasStopped) {
                break;
            }
            sleepMs(EventMs);
            sendChunk(fd, "id: " + std::to_string(i) + "\ndata: token\n\n", isOpen);
        }
        if (!isOpen || (after == 0 && hasStopped)) {
            // The stream of a stopped run is closed without its end.
            break;
        }
        sendAll(fd, "0\r\n\r\n");
    }
    close(fd);
}

Json::Value modelEntry(const Server &server, const std::string &state)
{
    Json::Value json = serverEntry("proofing-models", server.endpoint());
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

struct Outcome {
    int answered = 0;
    int lost = 0; ///< Channels that ended after a request on them had been sent, which was not their first.
};

/// Sends plain requests on one channel, one after the other.
void sendTickets(const Entry &entry, int caller, const std::atomic<bool> &stop, Outcome &outcome)
{
    const int fd = connectTo(entry.ip(), entry.front());
    setReadTimeout(fd, 3000);
    Reader reader(fd);
    for (int i = 1; !stop; i++) {
        const std::string id = "t" + std::to_string(caller) + "-" + std::to_string(i);
        sendAll(fd,
            "POST /plate-ticket/1 HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: " + id
                + "\r\nX-Deadline-Ms: 1500\r\nX-Credential: key-1\r\nContent-Length: 4\r\n\r\nbody");
        Message answer;
        if (!reader.readMessage(answer, true)) {
            RECORD("caller %d: the channel ended without an answer to %s", caller, id.c_str());
            outcome.lost += i > 1;
            break;
        }
        outcome.answered += answer.status() == 200;
    }
    close(fd);
}

} // namespace

int main(int, char **argv)
{
    Record::instance().open(argv[1]);
    const Folder folder;
    Store store(loopback(1));
    Server desk(loopback(9), serveDesk);
    Server first(loopback(10), serveModel);
    Server second(loopback(11), serveModel);
    Json::Value manifest;
    manifest["version"] = 7;
    manifest["routes"].append(route("brochure-proof", "streaming", "proofing-models", 15000, 1, false));
    manifest["routes"].append(route("plate-ticket", "unsafe", "order-desk", 1500, 1, false));
    manifest["services"].append(fromJson(R"({"name":"proofing-models","health_path":"/healthz","max_conns":370,"protocol":"h1","tls":false,
        "engine":{"slots":64,"kv_capacity_tokens":656708,"kv_token_bytes":163840,"link_mbps":740000.0,"moves":true,"backups":true,"stride":5,"most":12,
        "pin_ms":4000.0,"hold_ms":2000.0,"handle_ttl_s":5.0,"models":[{"name":"m"}]}})"));
    manifest["services"].append(fromJson(R"({"name":"order-desk","health_path":"/healthz","max_conns":110,"protocol":"h1","tls":false})"));
    manifest["limits"] = callerLimits();
    manifest["tenants"].append(fromJson(R"({"name":"co-op","api_keys":["key-1"]})"));
    store.put("op", "config", manifest);
    store.put("servers", "i-0", serverEntry("order-desk", desk.endpoint(), 16));
    store.put("servers", "i-1", modelEntry(first, "ready"));
    Entry entry(1, folder.path(), loopback(2), store.endpoint());
    entry.awaitReady();
    sleepMs(12000); // The VM earns retries with its age; a move takes one.

    // Only the first model server is listed yet.
    for (int i = 1; i <= ShortStreams; i++) {
        const int channel = connectTo(entry.ip(), entry.front());
        sendAll(channel,
            "POST /brochure-proof/1 HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: short" + std::to_string(i)
                + "\r\nX-Model: m\r\nX-Token-Usage: 80,5\r\nX-Prompt-Prefix: 5c1e07a2:40,1" + std::to_string(i)
                + ":40\r\nX-Deadline-Ms: 3000\r\nX-Credential: key-1\r\nContent-Length: 6\r\n\r\nprompt");
        setReadTimeout(channel, 3000);
        Reader answers(channel);
        Message one;
        answers.readMessage(one, true);
        close(channel);
    }
    RECORD("the first model server has given %d sound answers", soundAnswers.load());
    std::atomic<bool> stop = false;
    std::vector<Outcome> outcomes(Callers);
    std::vector<std::thread> threads;
    for (int i = 0; i < Callers; i++) {
        threads.emplace_back([&, i] { sendTickets(entry, i + 1, stop, outcomes[i]); });
    }
    const int fd = connectTo(entry.ip(), entry.front());
    sendAll(fd,
        "POST /brochure-proof/1 HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: s1\r\nX-Model: m\r\nX-Token-Usage: 800,1000\r\n"
        "X-Prompt-Prefix: 5c1e07a2:400,91bd3f06:400\r\nX-Deadline-Ms: 15000\r\nX-Credential: key-1\r\nContent-Length: 6\r\n\r\nprompt");
    RECORD("caller: sent stream s1");
    sleepMs(300);
    store.put("servers", "i-2", modelEntry(second, "ready"));
    sleepMs(300);
    store.put("servers", "i-1", modelEntry(first, "draining"));
    RECORD("store: server i-1 is draining, %d ms left", NoticeMs);
    setReadTimeout(fd, 5000);
    Reader reader(fd);
    Message answer;
    reader.readMessage(answer, true);
    RECORD("caller: stream s1 status %d, %s", answer.status(), answer.isComplete ? "complete" : "broken off");
    sleepMs(1000);
    const bool hasEnded = entry.hasEnded();
    stop = true;
    for (std::thread &thread : threads) {
        thread.join();
    }
    int answered = 0;
    int lost = 0;
    for (const Outcome &outcome : outcomes) {
        answered += outcome.answered;
        lost += outcome.lost;
    }
    RECORD("result: %d plain requests answered, %d on kept channels lost; the VM's process %s", answered, lost, hasEnded ? "has ended by itself" : "runs");
    if (answered < Callers || soundAnswers < ShortStreams) {
        finish(folder, NotRun);
    }
    finish(folder, lost > 3 ? Broken : Held);
}
