#pragma once

#include "http/client.h"
#include "kernel/eventloop.h"
#include "membership/loadreports.h"
#include "membership/members.h"

#include <json/json.h>

#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace cardamomlift::membership {

/// A model engine's answer to GET /load. Empty if it is not one.
std::optional<LoadReport> loadReportFromJson(const Json::Value &json);

/// The model servers this entry VM uses: the union of its subsets of each model.
std::vector<std::string> polledServers(const Members &members);

/// Asks the model servers this VM uses for their load, those only that were not heard of for some seconds.
class LoadPoller
{
public:
    static std::shared_ptr<LoadPoller> create(
        EventLoop &loop, std::shared_ptr<http::Client> client, std::shared_ptr<Members> members, std::shared_ptr<LoadReports> reports);
    void start();
    /// The servers watched now, sorted.
    const std::vector<std::string> &targets() const;

private:
    LoadPoller() = default;
    void tick();
    void poll(const Vm &server);
    EventLoop *loop_ = nullptr;
    std::shared_ptr<http::Client> client_;
    std::shared_ptr<Members> members_;
    std::shared_ptr<LoadReports> reports_;
    std::vector<std::string> targets_;
    std::set<std::string> inFlight_; ///< Polls under way.
    std::size_t nextTarget_ = 0;
    bool targetsChanged_ = true; ///< The members changed since watched_ was computed.
};

} // namespace cardamomlift::membership
