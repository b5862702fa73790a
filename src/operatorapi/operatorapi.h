#pragma once

#include "contract/contractexchange.h"
#include "contract/contractset.h"
#include "contract/contractstore.h"
#include "contract/contractsync.h"
#include "http/server.h"
#include "kernel/eventloop.h"
#include "lifecycle/lifecycle.h"
#include "membership/members.h"
#include "metrics/metrics.h"

#include <json/json.h>

#include <memory>
#include <string>

namespace cardamomlift::operatorapi {

/// The dependencies of an OperatorApi.
struct OperatorTools {
    EventLoop *loop = nullptr;
    std::string instance;
    std::string tokenSha256; ///< Of the operators' bearer token. Empty: no token is required (a single daemon on loopback).
    std::shared_ptr<contract::ContractStore> store;
    std::shared_ptr<contract::ContractSet> contracts;
    std::shared_ptr<contract::ContractSync> sync;
    std::shared_ptr<contract::ContractExchange> exchange;
    std::shared_ptr<membership::Members> members;
    std::shared_ptr<metrics::Metrics> metrics;
    std::shared_ptr<lifecycle::Lifecycle> lifecycle;
};

/// The HTTP server for operators: contracts, status, metrics. Its port and credential are separate from those of the
/// customer API.
class OperatorApi
{
public:
    static Result<std::shared_ptr<OperatorApi>> create(OperatorTools tools, http::ServerOptions options, std::shared_ptr<clientbudget::ClientBudget> budget);
    std::uint16_t port() const;

private:
    using ResponderPtr = std::shared_ptr<http::Responder>;
    OperatorApi() = default;
    void onRequest(http::Request request, ResponderPtr responder);
    bool isAuthorized(const http::Request &request) const;
    void onContractRequest(const http::Request &request, const ResponderPtr &responder);
    void respondContract(const std::string &customer, const ResponderPtr &responder);
    void respondHistory(const std::string &customer, std::uint64_t after, const ResponderPtr &responder);
    void respondRevisionStatus(const std::string &customer, const ResponderPtr &responder);
    void respondContractList(const ResponderPtr &responder);
    void respondStatus(const ResponderPtr &responder);
    OperatorTools tools_;
    std::unique_ptr<http::Server> server_;
};

} // namespace cardamomlift::operatorapi
