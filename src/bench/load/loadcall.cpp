#include "bench/load/loadcall.h"

#include "bench/load/mix.h"
#include "http/json.h"
#include "standinkit/outputtoken.h"

#include <fmt/format.h>

namespace cardamomlift::bench {

namespace {

constexpr char DoneMarker[] = "[DONE]";
constexpr std::string_view ContentStart = "\"content\":\"";
constexpr char DrainingCode[] = "draining";
constexpr std::uint64_t MostResumes = 40;
constexpr std::uint64_t MostReroutes = 8;
constexpr Duration ResumeDelay = std::chrono::milliseconds(150);
constexpr Duration StallTimeout = std::chrono::seconds(10);
constexpr Duration ServiceTimeout = std::chrono::seconds(15);

/// The token of a chunk; empty if it carries none. Tokens of the stand-in engine need no JSON escapes, so a search does,
/// which keeps this tool cheaper than what it measures.
std::string_view contentOf(std::string_view data)
{
    const auto start = data.find(ContentStart);
    if (start == std::string_view::npos) {
        return {};
    }
    const std::string_view rest = data.substr(start + ContentStart.size());
    return rest.substr(0, rest.find('"'));
}

std::string errorCode(std::string_view body)
{
    const auto json = http::parseJson(body);
    if (!json || !json->isObject() || !(*json)["error"].isObject()) {
        return {};
    }
    return (*json)["error"].get("code", "").asString();
}

std::uint64_t seedOf(const CallPlan &plan)
{
    return plan.number + 1;
}

} // namespace

std::shared_ptr<LoadCall> LoadCall::create(CallTools tools, CallPlan plan)
{
    std::shared_ptr<LoadCall> call(new LoadCall);
    call->tools_ = std::move(tools);
    call->plan_ = std::move(plan);
    return call;
}

void LoadCall::start()
{
    startedAt_ = tools_.loop->now();
    idempotencyKey_ = fmt::format("load-{}-{}", startedAt_.time_since_epoch().count(), plan_.number);
    send();
}

void LoadCall::send()
{
    if (plan_.kind.form == CallForm::Stream) {
        startStream();
    } else {
        startService();
    }
}

void LoadCall::startStream()
{
    messages_ = messagesOf(plan_.kind, plan_.number);
    http::ClientRequest request;
    request.method = "POST";
    request.url = plan_.url + "/v1/chat/completions";
    request.headers["Authorization"] = "Bearer " + plan_.kind.credential;
    request.headers["Content-Type"] = "application/json";
    request.headers["X-Request-Id"] = fmt::format("load-{}", plan_.number);
    request.body = fmt::format(
        R"({{"model":"{}","stream":true,"max_tokens":{},"seed":{},"messages":{}}})", plan_.kind.target, plan_.kind.maxTokens, seedOf(plan_), messages_);
    open(std::move(request));
}

void LoadCall::open(http::ClientRequest request)
{
    request.timeout = Duration(0);
    request.stallTimeout = StallTimeout;
    parser_ = {};
    errorBody_.clear();
    status_ = 0;
    const auto self = shared_from_this();
    http::ClientHooks hooks;
    hooks.onHeaders = [self](int status, const http::Headers &headers) {
        self->status_ = status;
        if (status == 200 && !self->outcome_.accepted) {
            self->outcome_.accepted = true;
            self->requestId_ = std::string(http::headerValue(headers, "X-Request-Id"));
        }
    };
    hooks.onData = [self](std::string_view bytes) {
        if (self->status_ != 200) {
            self->errorBody_.append(bytes);
            return true;
        }
        return self->parser_.feed(bytes, [&](const engine::SseEvent &event) { self->onEvent(event); });
    };
    hooks.onDone = [self](const http::ClientResult &result) {
        self->onStreamEnd(result);
    };
    tools_.client->start(std::move(request), std::move(hooks));
}

void LoadCall::onEvent(const engine::SseEvent &event)
{
    if (event.data == DoneMarker) {
        whole_ = true;
        return;
    }
    const std::string_view text = contentOf(event.data);
    if (!text.empty() && !event.id.empty()) {
        onToken(std::strtoull(event.id.c_str(), nullptr, 10), text);
        return;
    }
    const std::string code = event.data.find("\"error\"") == std::string::npos ? "" : errorCode(event.data);
    if (!code.empty()) {
        outcome_.reason = code;
    }
}

void LoadCall::onToken(std::uint64_t position, std::string_view text)
{
    const TimePoint now = tools_.loop->now();
    if (outcome_.tokens == 0) {
        outcome_.firstToken = now - startedAt_;
    } else {
        outcome_.gaps.push_back(now - lastTokenAt_);
    }
    lastTokenAt_ = now;
    outcome_.tokens++;
    if (position != next_ || text != standinkit::outputToken(messages_, seedOf(plan_), position)) {
        outcome_.wrongTokens++;
    }
    next_ = std::max(next_, position + 1);
}

// What the balancer does with a request that certainly was not run, because its entry VM was closed or draining.
bool LoadCall::sentElsewhere(const http::ClientResult &result)
{
    const bool notRun = result.transport == http::Transport::NotSent || outcome_.reason == DrainingCode;
    if (!notRun || plan_.path != Path::System || outcome_.reroutes >= MostReroutes) {
        return false;
    }
    outcome_.reroutes++;
    outcome_.reason.clear();
    plan_.url = tools_.anotherEntry();
    send();
    return true;
}

void LoadCall::onStreamEnd(const http::ClientResult &result)
{
    if (whole_) {
        const auto expected = static_cast<std::uint64_t>(plan_.kind.maxTokens);
        outcome_.missingTokens = next_ < expected ? expected - next_ : 0;
        end(CallEnd::Whole);
        return;
    }
    if (!outcome_.accepted) {
        outcome_.reason = status_ >= 400 ? errorCode(errorBody_) : result.error;
        if (!sentElsewhere(result)) {
            end(status_ >= 400 ? CallEnd::Refused : CallEnd::Failed);
        }
        return;
    }
    const bool mayResume = plan_.path == Path::System && !requestId_.empty() && outcome_.reason.empty() && outcome_.resumes < MostResumes;
    if (!mayResume) {
        end(CallEnd::Broken);
        return;
    }
    outcome_.resumes++;
    tools_.loop->after(ResumeDelay, [self = shared_from_this()] { self->resume(); });
}

void LoadCall::resume()
{
    http::ClientRequest request;
    request.url = fmt::format("{}/v1/requests/{}", tools_.anotherEntry(), requestId_);
    if (next_ > 0) {
        request.url += fmt::format("?starting_after={}", next_ - 1);
    }
    request.headers["Authorization"] = "Bearer " + plan_.kind.credential;
    open(std::move(request));
}

void LoadCall::startService()
{
    http::ClientRequest request;
    request.method = "POST";
    request.url = plan_.url + "/services" + plan_.kind.target;
    request.headers["Authorization"] = "Bearer " + plan_.kind.credential;
    request.headers["Content-Type"] = "application/json";
    if (!plan_.kind.idempotent) {
        request.headers["Idempotency-Key"] = idempotencyKey_;
    }
    request.body = fmt::format(R"({{"job":{}}})", plan_.number);
    request.timeout = ServiceTimeout;
    http::ClientHooks hooks;
    hooks.onDone = [self = shared_from_this()](const http::ClientResult &result) {
        self->onServiceEnd(result);
    };
    tools_.client->start(std::move(request), std::move(hooks));
}

void LoadCall::onServiceEnd(const http::ClientResult &result)
{
    outcome_.firstToken = tools_.loop->now() - startedAt_;
    const bool answered = result.transport == http::Transport::Completed;
    outcome_.accepted = answered && result.status == 200;
    if (!outcome_.accepted) {
        outcome_.reason = answered ? errorCode(result.body) : result.error;
        if (!sentElsewhere(result)) {
            end(answered ? CallEnd::Refused : CallEnd::Failed);
        }
        return;
    }
    const auto json = http::parseJson(result.body);
    const std::string echo = fmt::format(R"({{"job":{}}})", plan_.number);
    const bool mine = json && json->isObject() && json->get("echo", "").asString() == echo;
    outcome_.wrongTokens = mine ? 0 : 1;
    end(CallEnd::Whole);
}

void LoadCall::end(CallEnd how)
{
    outcome_.end = how;
    tools_.onEnd(outcome_);
}

} // namespace cardamomlift::bench
