#pragma once

#include "http/client.h"
#include "kernel/eventloop.h"
#include "membership/loadreports.h"
#include "membership/members.h"
#include "membership/serverannouncements.h"

#include <json/json.h>

#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace cardamomlift::membership {

/// Reads a model engine's answer to GET /load. Empty if @p json is not a load report.
std::optional<LoadReport> loadReportFromJson(const Json::Value &json);

/// The model servers whose load this entry VM polls: the union of the subsets it uses of each model, sorted.
std::vector<std::string> polledServers(const Members &members);

/// Dependencies of a LoadPoller.
struct LoadPollerTools {
    EventLoop *loop = nullptr;
    std::shared_ptr<http::Client> client;
    std::shared_ptr<Members> members;
    std::shared_ptr<LoadReports> reports;
    std::shared_ptr<ServerAnnouncements> announcements;
    std::shared_ptr<backoff::BackoffTracker> backoffs;
};

/// Polls the load of the model servers this VM uses, but only of those whose last report is some seconds old.
class LoadPoller
{
public:
    static std::shared_ptr<LoadPoller> create(LoadPollerTools tools);
    void start();
    /// The servers polled now, sorted.
    const std::vector<std::string> &targets() const;

private:
    LoadPoller() = default;
    void tick();
    void poll(const Vm &server);
    LoadPollerTools tools_;
    std::vector<std::string> targets_;
    std::set<std::string> inFlight_; ///< Servers with a poll in progress.
    std::size_t nextTarget_ = 0;
    bool targetsOutdated_ = true; ///< The members changed since targets_ was computed.
};

} // namespace cardamomlift::membership
