#include "cli/operatorclient.h"

#include "http/json.h"

#include <ev.h>

namespace cardamomlift::cli {

namespace {

constexpr Duration CallTimeout = std::chrono::seconds(20);

} // namespace

Result<std::unique_ptr<OperatorClient>> OperatorClient::create(std::vector<std::string> endpoints, std::string token, std::string caPem)
{
    std::unique_ptr<OperatorClient> client(new OperatorClient);
    auto loop = EventLoop::create(client->clock_);
    if (!loop) {
        return loop.error();
    }
    client->loop_ = std::move(loop.value());
    auto created = http::Client::create(*client->loop_);
    if (!created) {
        return created.error();
    }
    client->client_ = std::move(created.value());
    client->endpoints_ = std::move(endpoints);
    client->token_ = std::move(token);
    client->caPem_ = std::move(caPem);
    return client;
}

OperatorAnswer OperatorClient::call(const std::string &method, const std::string &path, const Json::Value &body)
{
    OperatorAnswer answer;
    bool mayHaveTakenEffect = false;
    for (const std::string &endpoint : endpoints_) {
        answer = callOne(endpoint, method, path, body);
        mayHaveTakenEffect = mayHaveTakenEffect || answer.mayHaveTakenEffect;
        if (answer.answered && answer.status != StatusUnavailable) {
            break;
        }
    }
    answer.mayHaveTakenEffect = mayHaveTakenEffect;
    return answer;
}

OperatorAnswer OperatorClient::callOne(const std::string &endpoint, const std::string &method, const std::string &path, const Json::Value &body)
{
    http::ClientRequest request;
    request.method = method;
    request.url = endpoint + path;
    request.headers["Content-Type"] = "application/json";
    request.timeout = CallTimeout;
    request.caPem = caPem_;
    if (!token_.empty()) {
        request.headers["Authorization"] = "Bearer " + token_;
    }
    if (!body.isNull()) {
        request.body = http::writeJson(body);
    }
    OperatorAnswer answer;
    answer.endpoint = endpoint;
    http::ClientHooks hooks;
    hooks.onDone = [this, &answer](http::ClientResult result) {
        answer.answered = result.transport == http::Transport::Completed;
        answer.mayHaveTakenEffect = result.transport == http::Transport::Broken;
        answer.status = result.status;
        answer.body = http::parseJson(result.body).value_or(Json::Value());
        answer.error = result.error;
        ev_break(loop_->raw(), EVBREAK_ALL);
    };
    client_->start(std::move(request), std::move(hooks));
    loop_->run();
    return answer;
}

const std::vector<std::string> &OperatorClient::endpoints() const
{
    return endpoints_;
}

} // namespace cardamomlift::cli
