#pragma once

#include "http/client.h"
#include "kernel/eventloop.h"

#include <json/json.h>

#include <memory>
#include <string>
#include <vector>

namespace cardamomlift::cli {

inline constexpr int StatusUnavailable = 503; ///< Nothing was done by this daemon; another may be able to.

/// One answer of a daemon's operators' port.
struct OperatorAnswer {
    bool answered = false; ///< False: no endpoint gave a whole answer.
    bool mayHaveTakenEffect = false; ///< The request was sent, its answer was lost.
    int status = 0;
    Json::Value body;
    std::string endpoint;
    std::string error;
};

/// Calls daemons' operators' ports and waits for the answer.
class OperatorClient
{
public:
    /// @p endpoints as in "http://10.0.0.1:8081"; they are tried in order. @p caPem: the authority of https endpoints.
    static Result<std::unique_ptr<OperatorClient>> create(std::vector<std::string> endpoints, std::string token, std::string caPem = {});

    /// The answer of the first endpoint that gives one other than "unavailable" (503), else the last answer.
    OperatorAnswer call(const std::string &method, const std::string &path, const Json::Value &body = Json::Value());
    OperatorAnswer callOne(const std::string &endpoint, const std::string &method, const std::string &path, const Json::Value &body = Json::Value());
    const std::vector<std::string> &endpoints() const;

private:
    OperatorClient() = default;
    SystemClock clock_;
    std::unique_ptr<EventLoop> loop_;
    std::unique_ptr<http::Client> client_;
    std::vector<std::string> endpoints_;
    std::string token_;
    std::string caPem_;
};

} // namespace cardamomlift::cli
