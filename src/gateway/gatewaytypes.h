#pragma once

#include "admission/admission.h"
#include "claims/claimmanager.h"
#include "contract/contractset.h"
#include "engine/engineclient.h"
#include "fleet/demand.h"
#include "gateway/memoryguard.h"
#include "http/client.h"
#include "http/server.h"
#include "kernel/eventloop.h"
#include "lifecycle/lifecycle.h"
#include "metrics/metrics.h"
#include "reachability/reachabilitytracker.h"
#include "retry/attemptplanner.h"
#include "streams/streamregistry.h"

#include <memory>
#include <string>

namespace cardamomlift::gateway {

/// Dependencies of the request handlers.
struct GatewayTools {
    EventLoop *loop = nullptr;
    std::string instance;
    std::size_t callerBufferBytes = 256 * 1024;
    std::shared_ptr<http::Client> client;
    std::shared_ptr<engine::EngineClient> engine;
    std::shared_ptr<contract::ContractSet> contracts;
    std::shared_ptr<admission::Admission> admission;
    std::shared_ptr<retry::AttemptPlanner> planner;
    std::shared_ptr<claims::ClaimManager> claims;
    std::shared_ptr<metrics::Metrics> metrics;
    std::shared_ptr<fleet::DemandMeter> demand;
    std::shared_ptr<lifecycle::Lifecycle> lifecycle;
    std::shared_ptr<membership::Members> members;
    std::shared_ptr<membership::ServerAnnouncements> announcements;
    std::shared_ptr<streams::StreamRegistry> streamRegistry;
    std::shared_ptr<MemoryGuard> memory;
    std::shared_ptr<reachability::ReachabilityTracker> reachability;
    std::string zone; ///< This VM's failure domain.
    std::string peerToken; ///< Secret shared by the entry VMs; empty: no requests are handed over between them.
};

/// An authenticated request of a caller.
struct CallerRequest {
    std::shared_ptr<const contract::ContractInForce> contract;
    http::Request http;
    std::shared_ptr<http::Responder> responder;
};

} // namespace cardamomlift::gateway
