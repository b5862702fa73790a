#pragma once

#include "support/caller.h"
#include "support/process.h"

#include <chrono>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace cardamomlift::test {

using std::chrono::milliseconds;

/// Exit code of standin-worker when a request with the id "crashing-0-..." has ended it; one more for "crashing-1-...".
inline constexpr int FirstCrashExitCode = 70;

/// A request as it reached a worker, run or refused.
struct Arrival {
    std::string id;
    std::string server; ///< The worker's process: its name and the number of its start.
    TimePoint at; ///< By the machine's monotonic clock, as the caller's loop has it.
    milliseconds left{-1}; ///< The time that the request may take; -1: it did not say.
    Duration lag{0}; ///< It may have waited this long for the worker's process to run.
    std::optional<TimePoint> answeredAt; ///< When the head of the answer was sent.
    bool isToldLeaving = false; ///< The answer says that the worker leaves.
    std::string backoff; ///< Retry-After of the answer; empty if it has none.
};

/// Ports of an entry VM.
namespace entryport {
inline constexpr int Callers = 8221;
inline constexpr int Readiness = 8224;
inline constexpr int Metrics = 9464;
inline constexpr int Peers = 7600;
} // namespace entryport

/// Limits that the platform sets for an entry VM.
struct EntryLimits {
    int memoryMegabytes = 256;
    int fileDescriptors = 4096;
};

/// A small deployment that serves routes, on loopback: the store, workers and daemons, each a process of its own. Every
/// process has an address of its own in 127.0.0.0/8, drawn from this test's process id, so ports are fixed and free.
class RouteFleet
{
public:
    /// @p proxied: each daemon reaches the store, and all daemons each worker, through a proxy that can be told faults.
    RouteFleet(int entries, int workers, bool proxied = false);

    void addEntry(int number);
    /// Applies to entry VMs that are added later.
    void setEntryLimits(const EntryLimits &limits);
    /// Limits on callers' requests, as in the platform's manifest. Writes the manifest again.
    void setCallerLimits(const Json::Value &limits);
    std::string entryAddress(int number) const;
    void addWorker(const std::string &instance);
    /// A worker whose software has this version.
    void addWorker(const std::string &instance, const std::string &version);
    /// Orders that the service's traffic moves to @p version within @p seconds.
    void orderRollout(const std::string &version, int seconds);
    /// What the platform was told of the service's rollout; empty: nothing yet.
    std::string rolloutState();
    /// Writes the manifest: routes /safe/, /once/, /stream/ (resumable) and /single/ (a stream that may not be resumed).
    /// @p unusedRoutes: more of them, with names that can't be packed into less.
    void putManifest(int version, const std::vector<std::string> &keys, int unusedRoutes = 0);
    /// Writes a manifest with these routes and customers, as the platform has them; their service is "service".
    void putManifest(int version, const Json::Value &routes, const Json::Value &customers);
    /// Lists all workers with so many slots.
    void listSlots(int slots);
    /// Writes @p bytes where the manifest stands.
    void putUnreadableManifest(const std::string &bytes);
    /// @p startedAt: Unix milliseconds that the worker gives as its start; 0: it gives none.
    void listWorker(const std::string &instance, const std::string &state, std::int64_t startedAt = 0);
    /// Writes bytes of another writer where the worker's entry stands.
    void listUnreadable(const std::string &instance, const std::string &bytes);
    void unlistWorker(const std::string &instance);
    /// "down", "silent" or "loseAnswers" set to true, or nothing.
    void setStoreFault(const std::string &fault);
    /// Keeps a copy of the store's state, to which restoreStore() goes back.
    void copyStore();
    /// What was written since the copy is gone, and its versions are given out again.
    void restoreStore();
    /// Writes in a table that nobody reads: each write takes a version of the store.
    void useUpVersions(int count);
    /// Sets what a worker does; members as standin-worker knows them. Returns what it has counted.
    Json::Value controlWorker(const std::string &instance, const Json::Value &body = Json::Value(Json::objectValue));
    /// Runs of a request over all workers, those that have ended too.
    int runsOf(const std::string &id);
    /// Runs of all requests, by id.
    std::map<std::string, int> allRuns();
    /// All requests that have reached workers, also those that were replaced, in any order.
    std::vector<Arrival> allArrivals();
    /// Waits until all entry VMs are ready and take calls.
    void waitReady();
    /// Waits until each entry VM knows of all the others.
    void waitKnown();
    /// A number of the metrics page of an entry VM; 0 if it is not there.
    double metric(int entry, const std::string &name);

    /// Faults on the way of one entry VM to the store, or of all to a worker; members as standin-proxy knows them.
    void setStorePathFault(int entry, const Json::Value &faults);
    void setWorkerPathFault(const std::string &instance, const Json::Value &faults);
    /// Ends a worker with SIGKILL and starts another instance in its place.
    void replaceWorker(const std::string &instance, const std::string &successor);
    /// Forgets a worker whose process has ended by itself; its entry stays in the list.
    void dropEndedWorker(const std::string &instance);
    /// Ends a worker with SIGKILL and starts it again under its name; its entry says nothing of that yet.
    void restartWorker(const std::string &instance);
    std::vector<std::string> workerNames() const;

    http::ClientRequest request(int entry, const std::string &path, const std::string &id, const std::string &key = "key-1");
    Process &entry(int number);
    Process &worker(const std::string &instance);

    Caller caller;

private:
    std::string address(int host) const;
    void startWorker(const std::string &instance);
    void stopWorker(const std::string &instance);
    /// Adds a failure that says whether the worker's process has ended, and what it wrote.
    void describeProcess(const std::string &instance);
    std::string storeUrl(const std::string &path) const;
    std::vector<Arrival> arrivalsAt(const std::string &instance);
    TestCallPtr put(const std::string &method, const std::string &url, const std::string &body);
    /// A process with the proxy before it.
    struct Proxied {
        std::unique_ptr<Process> proxy;
        std::string endpoint;
    };
    Proxied addProxy(int port);
    bool proxied_;
    EntryLimits entryLimits_;
    Json::Value callerLimits_;
    std::map<int, Proxied> storeProxies_; ///< By entry VM.
    std::map<std::string, Proxied> workerProxies_;
    std::map<std::string, Json::Value> lastCounts_; ///< Of workers that have ended, by name and start.
    std::vector<Arrival> lastArrivals_; ///< At workers that have ended.
    int workerHosts_ = 0;
    int slots_ = 16; ///< Of each worker, as listed.
    int base_; ///< Of the addresses: 127.(base / 256).(base % 256).host
    std::unique_ptr<Process> store_;
    std::string storeEndpoint_;
    std::map<int, std::unique_ptr<Process>> entries_;
    std::map<std::string, std::unique_ptr<Process>> workers_;
    std::map<std::string, int> workerStarts_;
    std::map<std::string, std::string> workerAddresses_;
    std::map<std::string, std::string> workerVersions_; ///< Of those that tell one.
};

} // namespace cardamomlift::test
