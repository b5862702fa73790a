#include "http/client.h"

#include <curl/curl.h>
#include <ev.h>

#include <charconv>
#include <mutex>
#include <unordered_map>
#include <vector>

namespace cardamomlift::http {

namespace {

constexpr long CachedConnections = 256;
/// Bounds on an answer: on its body, unless the caller takes it in parts, and on all heads, also those of interim answers.
constexpr std::size_t MaxBodyBytes = 16u << 20;
constexpr std::size_t MaxHeadBytes = 256u << 10;

long milliseconds(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

struct Call {
    CallId id = 0;
    CURL *easy = nullptr;
    curl_slist *headerList = nullptr;
    ClientRequest request;
    ClientHooks hooks;
    ClientResult result;
    std::size_t headBytes = 0;
    bool mayHaveSent = false;
    bool headersReported = false;
    bool cancelled = false;
    char errorText[CURL_ERROR_SIZE] = {};

    ~Call()
    {
        curl_slist_free_all(headerList);
        if (easy) {
            curl_easy_cleanup(easy);
        }
    }
};

} // namespace

struct Client::Impl {
    EventLoop *loop = nullptr;
    CURLM *multi = nullptr;
    ev_timer timer{};
    CallId nextId = 1;
    std::unordered_map<CallId, std::unique_ptr<Call>> calls;
    std::unordered_map<curl_socket_t, std::unique_ptr<ev_io>> watchers;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);

    void act(curl_socket_t socket, int events);
    void collectDone();
    void finish(Call *call, CURLcode code);
    void remove(Call *call);
};

namespace {

std::size_t onBody(char *data, std::size_t size, std::size_t count, void *context)
{
    auto *call = static_cast<Call *>(context);
    const std::string_view bytes(data, size * count);
    if (call->cancelled) {
        return 0;
    }
    if (!call->hooks.onData) {
        if (call->result.body.size() + bytes.size() > MaxBodyBytes) {
            return 0;
        }
        call->result.body.append(bytes);
        return bytes.size();
    }
    return call->hooks.onData(bytes) ? bytes.size() : 0;
}

std::string_view trimmed(std::string_view text)
{
    const auto first = text.find_first_not_of(" \t\r\n");
    if (first == std::string_view::npos) {
        return {};
    }
    return text.substr(first, text.find_last_not_of(" \t\r\n") - first + 1);
}

std::size_t onHeader(char *data, std::size_t size, std::size_t count, void *context)
{
    auto *call = static_cast<Call *>(context);
    const std::string_view line(data, size * count);
    call->headBytes += line.size();
    if (call->headBytes > MaxHeadBytes) {
        return 0;
    }
    if (line.starts_with("HTTP/")) {
        call->result.headers.clear();
        return line.size();
    }
    const std::string_view text = trimmed(line);
    if (!text.empty()) {
        const auto colon = text.find(':');
        if (colon != std::string_view::npos) {
            call->result.headers[std::string(trimmed(text.substr(0, colon)))] = std::string(trimmed(text.substr(colon + 1)));
        }
        return line.size();
    }
    long status = 0;
    curl_easy_getinfo(call->easy, CURLINFO_RESPONSE_CODE, &status);
    if (status < 200) {
        return line.size();
    }
    call->result.status = static_cast<int>(status);
    if (call->hooks.onHeaders && !call->headersReported && !call->cancelled) {
        call->headersReported = true;
        call->hooks.onHeaders(call->result.status, call->result.headers);
    }
    return line.size();
}

bool mayResend(const ClientRequest &request)
{
    return request.mayResend || request.method == "GET" || request.method == "HEAD";
}

// libcurl calls this when the connection stands and nothing of the request has been written.
int onBeforeSend(void *context, char *, char *, int, int)
{
    auto *call = static_cast<Call *>(context);
    if (call->cancelled || (call->hooks.mayStillSend && !call->hooks.mayStillSend())) {
        return CURL_PREREQFUNC_ABORT;
    }
    // NOTE libcurl repeats a request by itself when a reused connection closes before the first answer byte, and comes
    // here a second time. The first request may have taken effect, so a write would be judged by its own repeat.
    if (call->mayHaveSent && !mayResend(call->request)) {
        return CURL_PREREQFUNC_ABORT;
    }
    call->mayHaveSent = true;
    return CURL_PREREQFUNC_OK;
}

void setUp(Call *call)
{
    CURL *easy = call->easy;
    const ClientRequest &request = call->request;
    curl_easy_setopt(easy, CURLOPT_PRIVATE, call);
    curl_easy_setopt(easy, CURLOPT_URL, request.url.c_str());
    curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, request.method.c_str());
    curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(easy, CURLOPT_PROXY, "");
    curl_easy_setopt(easy, CURLOPT_HTTP_VERSION, static_cast<long>(CURL_HTTP_VERSION_1_1));
    curl_easy_setopt(easy, CURLOPT_ERRORBUFFER, call->errorText);
    curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS, milliseconds(request.connectTimeout));
    curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, milliseconds(request.timeout));
    if (request.stallTimeout.count() > 0) {
        curl_easy_setopt(easy, CURLOPT_LOW_SPEED_LIMIT, 1L);
        curl_easy_setopt(easy, CURLOPT_LOW_SPEED_TIME, std::max(1L, milliseconds(request.stallTimeout) / 1000));
    }
    if (!request.body.empty() || request.method == "POST" || request.method == "PUT") {
        curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE, static_cast<long>(request.body.size()));
        curl_easy_setopt(easy, CURLOPT_POSTFIELDS, request.body.data());
    }
    if (request.method == "HEAD") {
        curl_easy_setopt(easy, CURLOPT_NOBODY, 1L);
    }
    // NOTE On a reused connection libcurl by itself repeats a request whose connection closed before the first answer
    // byte. A call that must not run twice asks for a fresh connection, where libcurl never does that.
    if (request.freshConnection) {
        curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, 1L);
        curl_easy_setopt(easy, CURLOPT_FORBID_REUSE, 1L);
    }
    if (request.signature) {
        const Signature &signature = *request.signature;
        const std::string provider = "aws:amz:" + signature.region + ":" + signature.service;
        const std::string credential = signature.accessKey + ":" + signature.secretKey;
        curl_easy_setopt(easy, CURLOPT_AWS_SIGV4, provider.c_str());
        curl_easy_setopt(easy, CURLOPT_USERPWD, credential.c_str());
    }
    if (!request.caPem.empty()) {
        curl_blob blob{const_cast<char *>(request.caPem.data()), request.caPem.size(), CURL_BLOB_COPY};
        curl_easy_setopt(easy, CURLOPT_CAINFO_BLOB, &blob);
    }
    call->headerList = curl_slist_append(call->headerList, "Expect:");
    for (const auto &[name, value] : request.headers) {
        call->headerList = curl_slist_append(call->headerList, (name + ": " + value).c_str());
    }
    curl_easy_setopt(easy, CURLOPT_HTTPHEADER, call->headerList);
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, &onBody);
    curl_easy_setopt(easy, CURLOPT_WRITEDATA, call);
    curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, &onHeader);
    curl_easy_setopt(easy, CURLOPT_HEADERDATA, call);
    curl_easy_setopt(easy, CURLOPT_PREREQFUNCTION, &onBeforeSend);
    curl_easy_setopt(easy, CURLOPT_PREREQDATA, call);
}

/// Fills in how many bytes the exchange took on the wire.
void countBytes(CURL *easy, ClientResult &result)
{
    long sent = 0;
    long head = 0;
    curl_off_t body = 0;
    // NOTE libcurl counts the body among the request's bytes if it left in one piece with the head (below 64 KiB).
    curl_easy_getinfo(easy, CURLINFO_REQUEST_SIZE, &sent);
    curl_easy_getinfo(easy, CURLINFO_HEADER_SIZE, &head);
    curl_easy_getinfo(easy, CURLINFO_SIZE_DOWNLOAD_T, &body);
    result.bytesSent = static_cast<std::uint64_t>(sent);
    result.bytesReceived = static_cast<std::uint64_t>(head) + static_cast<std::uint64_t>(body);
}

int onSocket(CURL *, curl_socket_t socket, int what, void *context, void *)
{
    auto *impl = static_cast<Client::Impl *>(context);
    auto &watcher = impl->watchers[socket];
    if (watcher) {
        ev_io_stop(impl->loop->raw(), watcher.get());
    }
    if (what == CURL_POLL_REMOVE) {
        impl->watchers.erase(socket);
        return 0;
    }
    if (!watcher) {
        watcher = std::make_unique<ev_io>();
    }
    const int events = ((what & CURL_POLL_IN) ? EV_READ : 0) | ((what & CURL_POLL_OUT) ? EV_WRITE : 0);
    ev_io_init(
        watcher.get(),
        [](struct ev_loop *, ev_io *io, int ready) {
            const int mask = ((ready & EV_READ) ? CURL_CSELECT_IN : 0) | ((ready & EV_WRITE) ? CURL_CSELECT_OUT : 0);
            static_cast<Client::Impl *>(io->data)->act(io->fd, mask);
        },
        socket,
        events);
    watcher->data = impl;
    ev_io_start(impl->loop->raw(), watcher.get());
    return 0;
}

int onTimer(CURLM *, long timeout, void *context)
{
    auto *impl = static_cast<Client::Impl *>(context);
    ev_timer_stop(impl->loop->raw(), &impl->timer);
    if (timeout >= 0) {
        ev_now_update(impl->loop->raw());
        ev_timer_set(&impl->timer, static_cast<double>(timeout) / 1000.0, 0.0);
        ev_timer_start(impl->loop->raw(), &impl->timer);
    }
    return 0;
}

} // namespace

void Client::Impl::act(curl_socket_t socket, int events)
{
    int running = 0;
    curl_multi_socket_action(multi, socket, events, &running);
    collectDone();
}

void Client::Impl::collectDone()
{
    int left = 0;
    while (CURLMsg *message = curl_multi_info_read(multi, &left)) {
        if (message->msg != CURLMSG_DONE) {
            continue;
        }
        Call *call = nullptr;
        curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &call);
        finish(call, message->data.result);
    }
}

void Client::Impl::finish(Call *call, CURLcode code)
{
    auto owned = std::move(calls[call->id]);
    calls.erase(call->id);
    curl_multi_remove_handle(multi, owned->easy);
    ClientResult result = std::move(owned->result);
    countBytes(owned->easy, result);
    if (owned->cancelled) {
        result.transport = Transport::Cancelled;
    } else if (code == CURLE_OK) {
        result.transport = Transport::Completed;
    } else {
        result.timedOut = code == CURLE_OPERATION_TIMEDOUT;
        result.transport = owned->mayHaveSent ? Transport::Broken : Transport::NotSent;
        result.heldBack = code == CURLE_ABORTED_BY_CALLBACK && !owned->mayHaveSent;
        result.error = owned->errorText[0] ? owned->errorText : curl_easy_strerror(code);
    }
    if (owned->hooks.onDone) {
        owned->hooks.onDone(std::move(result));
    }
}

Result<std::unique_ptr<Client>> Client::create(EventLoop &loop)
{
    static std::once_flag once;
    std::call_once(once, [] { curl_global_init(CURL_GLOBAL_ALL); });
    std::unique_ptr<Client> client(new Client);
    client->impl_ = std::make_unique<Impl>();
    Impl *impl = client->impl_.get();
    impl->loop = &loop;
    impl->multi = curl_multi_init();
    if (!impl->multi) {
        return failure(ErrorKind::Internal, "libcurl did not start");
    }
    curl_multi_setopt(impl->multi, CURLMOPT_SOCKETFUNCTION, &onSocket);
    curl_multi_setopt(impl->multi, CURLMOPT_SOCKETDATA, impl);
    curl_multi_setopt(impl->multi, CURLMOPT_TIMERFUNCTION, &onTimer);
    curl_multi_setopt(impl->multi, CURLMOPT_TIMERDATA, impl);
    curl_multi_setopt(impl->multi, CURLMOPT_MAXCONNECTS, CachedConnections);
    impl->timer.data = impl;
    ev_timer_init(
        &impl->timer, [](struct ev_loop *, ev_timer *watcher, int) { static_cast<Impl *>(watcher->data)->act(CURL_SOCKET_TIMEOUT, 0); }, 0.0, 0.0);
    return client;
}

Client::~Client()
{
    if (!impl_ || !impl_->multi) {
        return;
    }
    *impl_->alive = false;
    for (auto &[id, call] : impl_->calls) {
        curl_multi_remove_handle(impl_->multi, call->easy);
    }
    impl_->calls.clear();
    curl_multi_cleanup(impl_->multi);
    ev_timer_stop(impl_->loop->raw(), &impl_->timer);
    for (auto &[socket, watcher] : impl_->watchers) {
        ev_io_stop(impl_->loop->raw(), watcher.get());
    }
}

CallId Client::start(ClientRequest request, ClientHooks hooks)
{
    auto call = std::make_unique<Call>();
    call->id = impl_->nextId++;
    call->request = std::move(request);
    call->hooks = std::move(hooks);
    call->easy = curl_easy_init();
    setUp(call.get());
    const CallId id = call->id;
    CURL *easy = call->easy;
    impl_->calls.emplace(id, std::move(call));
    // NOTE libcurl adds no handle inside one of its callbacks, as when a piece of an answer makes its reader start a call.
    if (curl_multi_add_handle(impl_->multi, easy) == CURLM_RECURSIVE_API_CALL) {
        impl_->loop->post([impl = impl_.get(), alive = impl_->alive, id] {
            const bool isOpen = *alive && impl->calls.contains(id);
            if (isOpen) {
                curl_multi_add_handle(impl->multi, impl->calls[id]->easy);
            }
        });
    }
    return id;
}

void Client::cancel(CallId id)
{
    const auto found = impl_->calls.find(id);
    if (found == impl_->calls.end() || found->second->cancelled) {
        return;
    }
    found->second->cancelled = true;
    // NOTE Removing a handle inside one of its own callbacks is forbidden, so the end is posted.
    impl_->loop->post([impl = impl_.get(), alive = impl_->alive, id] {
        if (!*alive) {
            return;
        }
        const auto call = impl->calls.find(id);
        if (call != impl->calls.end()) {
            impl->finish(call->second.get(), CURLE_ABORTED_BY_CALLBACK);
        }
    });
}

std::size_t Client::openCalls() const
{
    return impl_->calls.size();
}

} // namespace cardamomlift::http
