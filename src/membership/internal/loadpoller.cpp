#include "membership/loadpoller.h"

#include "http/json.h"
#include "membership/subset.h"

#include <fmt/format.h>

#include <algorithm>
#include <map>

namespace cardamomlift::membership {

namespace {

constexpr Duration TickPeriod = std::chrono::seconds(1);
constexpr Duration MaxReportAge = std::chrono::seconds(5);
constexpr Duration PollTimeout = std::chrono::seconds(1);
constexpr std::size_t MaxPollsPerTick = 4;

std::uint32_t countOf(const Json::Value &json, const char *name)
{
    return json[name].isUInt() ? json[name].asUInt() : 0;
}

} // namespace

std::optional<LoadReport> loadReportFromJson(const Json::Value &json)
{
    if (!json.isObject() || !json["running"].isUInt()) {
        return std::nullopt;
    }
    LoadReport report;
    report.running = countOf(json, "running");
    report.waiting = countOf(json, "waiting");
    report.kvUsed = json["kvUsed"].isNumeric() ? json["kvUsed"].asDouble() : 0.0;
    report.leaving = json["leaving"].isBool() && json["leaving"].asBool();
    return report;
}

std::vector<std::string> polledServers(const Members &members)
{
    std::map<std::string, std::vector<std::string>> byModel;
    std::vector<std::string> entries{members.self()};
    for (const auto &[instance, vm] : members.all()) {
        if (vm.state != VmState::Live) {
            continue;
        }
        if (vm.role == VmRole::Entry && instance != members.self()) {
            entries.push_back(instance);
        }
        for (const std::string &model : vm.serves) {
            if (vm.role == VmRole::Model) {
                byModel[model].push_back(instance);
            }
        }
    }
    std::set<std::string> all;
    std::map<std::vector<std::string>, bool> seen; // Models served by the same servers have the same subset; computed once.
    for (const auto &[model, servers] : byModel) {
        if (!seen.emplace(servers, true).second) {
            continue;
        }
        const std::vector<std::string> subset = chooseSubset(servers, entries, members.self());
        all.insert(subset.begin(), subset.end());
    }
    return {all.begin(), all.end()};
}

std::shared_ptr<LoadPoller> LoadPoller::create(LoadPollerTools tools)
{
    std::shared_ptr<LoadPoller> poller(new LoadPoller);
    poller->tools_ = std::move(tools);
    poller->tools_.members->onChange([raw = poller.get()] { raw->targetsOutdated_ = true; });
    return poller;
}

void LoadPoller::start()
{
    tools_.loop->every(TickPeriod, [this] { tick(); });
}

const std::vector<std::string> &LoadPoller::targets() const
{
    return targets_;
}

void LoadPoller::tick()
{
    if (targetsOutdated_) {
        targetsOutdated_ = false;
        targets_ = polledServers(*tools_.members);
        tools_.reports->keepOnly([this](const std::string &instance) { return tools_.members->find(instance) != nullptr; });
    }
    std::size_t polls = 0;
    for (std::size_t i = 0; i < targets_.size() && polls < MaxPollsPerTick; i++) {
        const std::string &instance = targets_[nextTarget_++ % targets_.size()];
        const auto last = tools_.reports->load(instance);
        const Vm *server = tools_.members->find(instance);
        const bool mayPoll = server && server->state == VmState::Live && !inFlight_.contains(instance) && !tools_.backoffs->endsAt(instance);
        if (mayPoll && (!last || last->age >= MaxReportAge)) {
            polls++;
            poll(*server);
        }
    }
}

void LoadPoller::poll(const Vm &server)
{
    inFlight_.insert(server.instance);
    http::ClientRequest request;
    request.url = fmt::format("http://{}:{}/load", server.address, server.port);
    request.headers["X-Instance"] = server.instance;
    request.timeout = PollTimeout;
    http::ClientHooks hooks;
    hooks.onHeaders = [this, instance = server.instance](int status, const http::Headers &headers) {
        tools_.announcements->note(instance, status, headers);
    };
    hooks.onDone = [this, instance = server.instance](const http::ClientResult &result) {
        inFlight_.erase(instance);
        const auto json = result.status == 200 ? http::parseJson(result.body) : std::nullopt;
        const auto report = json ? loadReportFromJson(*json) : std::nullopt;
        if (!report) {
            return;
        }
        tools_.reports->report(instance, *report);
        if (report->leaving) {
            tools_.members->markLeaving(instance, LeavingSource::LoadReport);
        }
    };
    tools_.client->start(std::move(request), std::move(hooks));
}

} // namespace cardamomlift::membership
