#include "support/routefleet.h"

#include "http/json.h"
#include "text/digest.h"

#include <fmt/format.h>
#include <gtest/gtest.h>

#include <csignal>
#include <cstdlib>
#include <unistd.h>

namespace cardamomlift::test {

namespace {

constexpr int StorePort = 8225;
constexpr int WorkerPort = 8080;
constexpr int StoreHost = 1;
constexpr int FirstWorkerHost = 100;
/// Keeps clear of 127.0.x.x, which other tests use.
constexpr int FirstBase = 10 * 256;
constexpr int Bases = 200 * 256;
constexpr int StatusOk = 200;

Json::Value routeJson(const std::string &name, const std::string &kind, int attempts, bool resumable)
{
    Json::Value route;
    route["name"] = name;
    route["host"] = "test";
    route["prefix"] = "/" + name + "/";
    route["kind"] = kind;
    route["timeout_ms"] = 20000;
    route["latency_goal_ms"] = 500;
    route["service"] = "service";
    route["max_attempts"] = attempts;
    route["stream_resume"] = resumable;
    return route;
}

} // namespace

RouteFleet::RouteFleet(int entries, int workers, bool proxied)
    : proxied_(proxied)
    , base_(FirstBase + static_cast<int>(getpid()) % Bases)
{
    // The proxy passes on to 127.0.0.1 only.
    const std::string at = proxied ? "127.0.0.1" : address(StoreHost);
    store_ = Process::start("standin-rowstore", {"--address", at, "--port", std::to_string(proxied ? 0 : StorePort)});
    storeEndpoint_ = fmt::format("{}:{}", at, store_->port());
    putManifest(1, {"key-1", "key-2"});
    for (int i = 1; i <= workers; i++) {
        addWorker(fmt::format("worker-{}", i));
    }
    for (int i = 1; i <= entries; i++) {
        addEntry(i);
    }
}

std::string RouteFleet::address(int host) const
{
    return fmt::format("127.{}.{}.{}", base_ / 256, base_ % 256, host);
}

std::string RouteFleet::storeUrl(const std::string &path) const
{
    return fmt::format("http://{}{}", storeEndpoint_, path);
}

TestCallPtr RouteFleet::put(const std::string &method, const std::string &url, const std::string &body)
{
    http::ClientRequest request;
    request.method = method;
    request.url = url;
    request.body = body;
    const auto call = caller.call(request);
    EXPECT_EQ(call->status, StatusOk) << url;
    return call;
}

void RouteFleet::setEntryLimits(const EntryLimits &limits)
{
    entryLimits_ = limits;
}

void RouteFleet::setCallerLimits(const Json::Value &limits)
{
    callerLimits_ = limits;
    putManifest(1, {"key-1", "key-2"});
}

std::string RouteFleet::entryAddress(int number) const
{
    return address(1 + number);
}

void RouteFleet::addEntry(int number)
{
    const std::string own = entryAddress(number);
    Json::Value deployment;
    deployment["node_name"] = fmt::format("entry-{}", number);
    deployment["zone"] = fmt::format("zone-{}", number % 3);
    deployment["region"] = "region";
    deployment["ip"] = own;
    deployment["internal_ports"].append(entryport::Peers);
    deployment["listen_addrs"]["front"] = fmt::format("{}:{}", own, entryport::Callers);
    deployment["listen_addrs"]["ready_addr"] = fmt::format("{}:{}", own, entryport::Readiness);
    if (proxied_ && !storeProxies_.contains(number)) {
        storeProxies_[number] = addProxy(store_->port());
    }
    deployment["platform"]["address"] = proxied_ ? storeProxies_.at(number).endpoint : storeEndpoint_;
    deployment["zones"]["zone-0"] = "region";
    deployment["limits"]["memory_mb"] = entryLimits_.memoryMegabytes;
    deployment["limits"]["max_fds"] = entryLimits_.fileDescriptors;
    deployment["bounds"]["strict_revoke"] = true;
    deployment["bounds"]["revoke_ms"] = 5000;
    deployment["bounds"]["grace_s"] = 8;
    deployment["bounds"]["retry_slack"] = 200;
    deployment["contracts"].append("rollout");
    deployment["bounds"]["expose_share"] = 0.1;
    deployment["bounds"]["expose_slack"] = 50;
    deployment["bounds"]["rollback_ms"] = 5000;
    Json::Value settings;
    settings["deployment"] = deployment;
    const std::string file = writeScratchFile(fmt::format("route-entry-{}.json", number), http::writeJson(settings));
    entries_[number] = Process::start("cardamomliftd", {"--config", file});
}

void RouteFleet::addWorker(const std::string &instance)
{
    startWorker(instance);
    listWorker(instance, "ready");
}

void RouteFleet::addWorker(const std::string &instance, const std::string &version)
{
    workerVersions_[instance] = version;
    addWorker(instance);
}

void RouteFleet::orderRollout(const std::string &version, int seconds)
{
    Json::Value order;
    order["service"] = "service";
    order["to"] = version;
    order["duration_s"] = seconds;
    put("PUT", storeUrl("/control/rows/op/rollout/service"), http::writeJson(order));
}

std::string RouteFleet::rolloutState()
{
    const Json::Value row = put("GET", storeUrl("/control/rows/status/rollout/service"), "")->json();
    const auto status = http::parseJson(row["value"].asString());
    return status && (*status)["state"].isString() ? (*status)["state"].asString() : std::string();
}

void RouteFleet::startWorker(const std::string &instance)
{
    const std::string own = proxied_ ? "127.0.0.1" : address(FirstWorkerHost + workerHosts_++);
    workers_[instance] = Process::start("standin-worker", {"--instance", instance, "--address", own, "--port", std::to_string(proxied_ ? 0 : WorkerPort)});
    workerStarts_[instance]++;
    workerAddresses_[instance] = fmt::format("{}:{}", own, workers_[instance]->port());
    if (proxied_) {
        workerProxies_[instance] = addProxy(workers_[instance]->port());
    }
}

RouteFleet::Proxied RouteFleet::addProxy(int port)
{
    Proxied result;
    result.proxy = Process::start("standin-proxy", {"--target", std::to_string(port)});
    result.endpoint = fmt::format("127.0.0.1:{}", result.proxy->ready()["ports"][0].asInt());
    return result;
}

void RouteFleet::setStorePathFault(int entry, const Json::Value &faults)
{
    caller.post(storeProxies_.at(entry).proxy->port("control"), "/control/0", faults);
}

void RouteFleet::setWorkerPathFault(const std::string &instance, const Json::Value &faults)
{
    caller.post(workerProxies_.at(instance).proxy->port("control"), "/control/0", faults);
}

void RouteFleet::stopWorker(const std::string &instance)
{
    lastCounts_[fmt::format("{}, start {}", instance, lastCounts_.size())] = controlWorker(instance);
    const std::vector<Arrival> arrivals = arrivalsAt(instance);
    lastArrivals_.insert(lastArrivals_.end(), arrivals.begin(), arrivals.end());
    workers_.at(instance)->signal(SIGKILL);
    workers_.at(instance)->wait();
    workers_.erase(instance);
}

void RouteFleet::dropEndedWorker(const std::string &instance)
{
    workers_.erase(instance);
}

void RouteFleet::restartWorker(const std::string &instance)
{
    stopWorker(instance);
    startWorker(instance);
}

void RouteFleet::replaceWorker(const std::string &instance, const std::string &successor)
{
    stopWorker(instance);
    unlistWorker(instance);
    addWorker(successor);
}

std::vector<std::string> RouteFleet::workerNames() const
{
    std::vector<std::string> names;
    for (const auto &[instance, process] : workers_) {
        names.push_back(instance);
    }
    return names;
}

void RouteFleet::listUnreadable(const std::string &instance, const std::string &bytes)
{
    put("PUT", storeUrl("/control/rows/servers/" + instance), bytes);
}

void RouteFleet::listWorker(const std::string &instance, const std::string &state, std::int64_t startedAt)
{
    Json::Value entry;
    entry["service"] = "service";
    entry["address"] = proxied_ ? workerProxies_.at(instance).endpoint : workerAddresses_.at(instance);
    entry["zone"] = "zone-0";
    entry["slots"] = slots_;
    entry["state"] = state;
    if (workerVersions_.contains(instance)) {
        entry["version"] = workerVersions_.at(instance);
    }
    if (startedAt != 0) {
        entry["born"] = Json::Int64(startedAt);
    }
    put("PUT", storeUrl("/control/rows/servers/" + instance), http::writeJson(entry));
}

void RouteFleet::unlistWorker(const std::string &instance)
{
    put("DELETE", storeUrl("/control/rows/servers/" + instance), "");
}

void RouteFleet::putManifest(int version, const std::vector<std::string> &keys, int unusedRoutes)
{
    Json::Value manifest;
    manifest["version"] = version;
    manifest["routes"].append(routeJson("safe", "safe", 2, false));
    manifest["routes"].append(routeJson("once", "unsafe", 1, false));
    manifest["routes"].append(routeJson("stream", "streaming", 3, true));
    manifest["routes"].append(routeJson("single", "streaming", 1, false));
    for (int i = 0; i < unusedRoutes; i++) {
        manifest["routes"].append(routeJson(text::randomHex(16), "safe", 1, false));
    }
    manifest["limits"] = callerLimits_;
    manifest["services"][0]["name"] = "service";
    manifest["tenants"][0]["name"] = "customer";
    for (const std::string &key : keys) {
        manifest["tenants"][0]["api_keys"].append(key);
    }
    put("PUT", storeUrl("/control/rows/op/config"), http::writeJson(manifest));
}

void RouteFleet::putManifest(int version, const Json::Value &routes, const Json::Value &customers)
{
    Json::Value manifest;
    manifest["version"] = version;
    manifest["routes"] = routes;
    manifest["services"][0]["name"] = "service";
    manifest["tenants"] = customers;
    put("PUT", storeUrl("/control/rows/op/config"), http::writeJson(manifest));
}

void RouteFleet::listSlots(int slots)
{
    slots_ = slots;
    for (const std::string &worker : workerNames()) {
        listWorker(worker, "ready");
    }
}

void RouteFleet::putUnreadableManifest(const std::string &bytes)
{
    put("PUT", storeUrl("/control/rows/op/config"), bytes);
}

void RouteFleet::setStoreFault(const std::string &fault)
{
    Json::Value faults(Json::objectValue);
    if (!fault.empty()) {
        faults[fault] = true;
    }
    put("POST", storeUrl("/control/faults"), http::writeJson(faults));
}

void RouteFleet::copyStore()
{
    put("POST", storeUrl("/control/copy"), {});
}

void RouteFleet::restoreStore()
{
    put("POST", storeUrl("/control/restore"), {});
}

void RouteFleet::useUpVersions(int count)
{
    for (int i = 0; i < count; i++) {
        put("PUT", storeUrl("/control/rows/unused/key"), std::to_string(i));
    }
}

void RouteFleet::describeProcess(const std::string &instance)
{
    Process &process = *workers_.at(instance);
    const std::string state = process.isRunning() ? "runs" : fmt::format("ended with {}", process.wait());
    ADD_FAILURE() << fmt::format("{}, process {}, {}: {}", instance, process.pid(), state, process.log());
}

Json::Value RouteFleet::controlWorker(const std::string &instance, const Json::Value &body)
{
    const auto call = put("POST", fmt::format("http://{}/control", workerAddresses_.at(instance)), http::writeJson(body));
    if (call->status != StatusOk) {
        describeProcess(instance);
    }
    return call->json();
}

int RouteFleet::runsOf(const std::string &id)
{
    int sum = 0;
    for (const auto &[instance, counts] : lastCounts_) {
        sum += counts["runs"].get(id, 0).asInt();
    }
    for (const auto &[instance, process] : workers_) {
        sum += controlWorker(instance)["runs"].get(id, 0).asInt();
    }
    return sum;
}

std::map<std::string, int> RouteFleet::allRuns()
{
    std::vector<Json::Value> counts;
    for (const auto &[instance, last] : lastCounts_) {
        counts.push_back(last);
    }
    for (const auto &[instance, process] : workers_) {
        counts.push_back(controlWorker(instance));
    }
    std::map<std::string, int> runs;
    for (const Json::Value &count : counts) {
        for (const std::string &id : count["runs"].getMemberNames()) {
            runs[id] += count["runs"][id].asInt();
        }
    }
    return runs;
}

std::vector<Arrival> RouteFleet::arrivalsAt(const std::string &instance)
{
    std::vector<Arrival> arrivals;
    for (const Json::Value &entry : put("GET", fmt::format("http://{}/arrivals", workerAddresses_.at(instance)), "")->json()) {
        Arrival arrival;
        arrival.id = entry["id"].asString();
        arrival.server = fmt::format("{}, start {}", instance, workerStarts_.at(instance));
        arrival.at = TimePoint(Duration(entry["atUs"].asInt64()));
        arrival.left = milliseconds(entry["leftMs"].asInt64());
        arrival.lag = Duration(entry["lagUs"].asInt64());
        if (const std::int64_t answeredAt = entry["answeredAtUs"].asInt64(); answeredAt >= 0) {
            arrival.answeredAt = TimePoint(Duration(answeredAt));
        }
        arrival.isToldLeaving = entry["isToldLeaving"].asBool();
        arrival.backoff = entry["backoff"].asString();
        arrivals.push_back(std::move(arrival));
    }
    return arrivals;
}

std::vector<Arrival> RouteFleet::allArrivals()
{
    std::vector<Arrival> arrivals = lastArrivals_;
    for (const auto &[instance, process] : workers_) {
        const std::vector<Arrival> current = arrivalsAt(instance);
        arrivals.insert(arrivals.end(), current.begin(), current.end());
    }
    return arrivals;
}

void RouteFleet::waitReady()
{
    for (const auto &[number, process] : entries_) {
        const std::string url = fmt::format("http://{}:{}/api/readyz", address(1 + number), entryport::Readiness);
        int status = 0;
        for (int i = 0; i < 200 && status != StatusOk; i++) {
            http::ClientRequest request;
            request.url = url;
            status = caller.call(request)->status;
        }
        EXPECT_EQ(status, StatusOk) << url;
    }
}

void RouteFleet::waitKnown()
{
    for (const auto &[number, process] : entries_) {
        const auto knows = [this, entry = number] {
            return metric(entry, "entry_vms_listed") == static_cast<double>(entries_.size());
        };
        EXPECT_TRUE(caller.waitUntil(knows, fmt::format("entry {} knows the others", number)));
    }
}

double RouteFleet::metric(int entry, const std::string &name)
{
    http::ClientRequest request;
    request.url = fmt::format("http://{}:{}/metrics", address(1 + entry), entryport::Metrics);
    const std::string page = "\n" + caller.call(request)->body;
    const std::string line = "\ncardamomlift_" + name + " ";
    const auto found = page.find(line);
    return found == std::string::npos ? 0 : std::strtod(page.c_str() + found + line.size(), nullptr);
}

http::ClientRequest RouteFleet::request(int entry, const std::string &path, const std::string &id, const std::string &key)
{
    http::ClientRequest request;
    request.method = "POST";
    request.url = fmt::format("http://{}:{}{}", address(1 + entry), entryport::Callers, path);
    request.headers = {{"Host", "test"}, {"X-Attempt-Id", id}, {"X-Credential", key}, {"X-Deadline-Ms", "15000"}};
    request.body = "body of " + id;
    request.freshConnection = true;
    return request;
}

Process &RouteFleet::worker(const std::string &instance)
{
    return *workers_.at(instance);
}

Process &RouteFleet::entry(int number)
{
    return *entries_.at(number);
}

} // namespace cardamomlift::test
