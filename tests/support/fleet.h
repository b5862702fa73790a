#pragma once

#include "support/caller.h"
#include "support/process.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace cardamomlift::test {

inline constexpr char CoOpKey[] = "co-op-order-desk-key";
inline constexpr char DepartmentKey[] = "department-crew-desk-key";
inline constexpr char OperatorToken[] = "operator-token";
inline constexpr int Zones = 4;

/// A whole small system on loopback: platform, engines, services, daemons, each a process of its own.
class Fleet
{
public:
    /// Starts the platform and lets @p entries daemons run with the two example contracts applied.
    /// @p changeSettings may change the settings of each of them.
    explicit Fleet(int entries, const std::function<void(Json::Value &settings)> &changeSettings = {});

    /// Starts a daemon called @p instance. @p changeSettings may change its settings before the start.
    Process &addEntry(const std::string &instance, const std::string &zone, const std::function<void(Json::Value &settings)> &changeSettings = {});
    /// Starts a model engine that serves all models of the examples.
    Process &addEngine(const std::string &instance, const std::string &zone, const std::vector<std::string> &arguments = {});
    /// Starts a plain service that serves "orders" and "bookings".
    Process &addService(const std::string &instance, const std::string &zone, const std::vector<std::string> &arguments = {});
    /// Starts a fault-injecting proxy before loopback port @p target; fills @p port with the proxy's.
    Process &addProxy(int target, int &port);
    /// Announces a VM (or a changed one) in the platform's list.
    void announce(const std::string &instance, const std::string &role, const std::string &zone, int port, int peerPort = 0);
    /// Announces it in the list of another platform's stand-in, which some daemons may read instead.
    void announceAt(Process &list, const std::string &instance, const std::string &role, const std::string &zone, int port, int peerPort = 0);
    void forget(const std::string &instance);
    /// Sends a reclaim notice for a VM, which the list also shows after its lag.
    void reclaim(const std::string &instance, int secondsLeft);
    /// POST to a control path of the platform's stand-in.
    void controlPlatform(const std::string &path, const Json::Value &body);
    /// Sets a proxy's faults.
    void controlProxy(Process &proxy, const Json::Value &faults);
    /// Cuts all connections of a proxy and refuses new ones, or lets them through again.
    void setCut(Process &proxy, bool isCut);

    /// Runs the command-line tool with the daemons' endpoints and the token; returns its exit code.
    int tool(const std::vector<std::string> &arguments, std::string &output);
    /// Waits until every entry VM is ready, knows all VMs and has the examples' contracts in force.
    void waitReady();
    /// Waits until the status page of @p instance fulfils @p condition.
    void waitStatus(const std::string &instance, const std::function<bool(const Json::Value &status)> &condition, const std::string &what);
    Json::Value status(const std::string &instance);
    /// A number of the metrics page; 0 if it is not there.
    double metric(const std::string &instance, const std::string &name);
    /// A total that the stand-in engine @p engine counts.
    std::int64_t engineTotal(const std::string &engine, const char *name);

    /// A chat request to entry VM @p instance.
    http::ClientRequest chat(const std::string &instance, const std::string &content, int maxTokens, bool stream = true);
    /// A call of a plain service at entry VM @p instance; no key header if @p key is empty.
    http::ClientRequest serviceCall(const std::string &instance, const std::string &path, const std::string &body, const std::string &key);
    /// The text the stand-in engines give for this chat, when the seed is @p seed.
    static std::vector<std::string> expectedTokens(const std::string &content, std::uint64_t seed, int maxTokens);

    Caller caller;
    std::unique_ptr<Process> platform;
    std::map<std::string, std::unique_ptr<Process>> processes; ///< By instance; proxies as "proxy-<number>".
    std::vector<std::string> entryNames;

private:
    std::string platformUrl() const;
    void applyExamples();
};

} // namespace cardamomlift::test
