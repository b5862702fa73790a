#include "support/fleet.h"

#include "http/json.h"
#include "standinkit/outputtoken.h"
#include "text/digest.h"

#include <fmt/format.h>
#include <gtest/gtest.h>

namespace cardamomlift::test {

namespace {

constexpr char ContractCustomers[][16] = {"print-co-op", "crew-movement"};

Json::Value messagesOf(const std::string &content)
{
    Json::Value messages(Json::arrayValue);
    messages[0]["role"] = "user";
    messages[0]["content"] = content;
    return messages;
}

std::string urlOf(const Process &process, const char *port, const std::string &path)
{
    return fmt::format("http://127.0.0.1:{}{}", process.port(port), path);
}

} // namespace

Fleet::Fleet(int entries, const std::function<void(Json::Value &settings)> &changeSettings)
{
    platform = Process::start("standin-platform", {});
    for (int i = 1; i <= entries; i++) {
        addEntry(fmt::format("entry-{}", i), fmt::format("zone-{}", (i - 1) % Zones + 1), changeSettings);
    }
    if (entries > 0) {
        applyExamples();
    }
}

std::string Fleet::platformUrl() const
{
    return urlOf(*platform, "port", "");
}

void Fleet::applyExamples()
{
    std::string output;
    for (const char *file : {"/examples/co-op/contract.json", "/examples/department/contract.json"}) {
        EXPECT_EQ(tool({"apply", std::string(CARDAMOMLIFT_SOURCES) + file}, output), 0) << output;
    }
}

Process &Fleet::addEntry(const std::string &instance, const std::string &zone, const std::function<void(Json::Value &settings)> &changeSettings)
{
    Json::Value settings;
    settings["instance"] = instance;
    settings["zone"] = zone;
    settings["operatorTokenSha256"] = text::sha256Hex(OperatorToken);
    settings["peerToken"] = "peer-token";
    settings["platform"]["tableEndpoint"] = platformUrl();
    settings["platform"]["accessKey"] = "test";
    settings["platform"]["secretKey"] = "test";
    settings["platform"]["vmListEndpoint"] = platformUrl();
    settings["platform"]["noticeEndpoint"] = platformUrl();
    if (changeSettings) {
        changeSettings(settings);
    }
    const std::string file = writeScratchFile(instance + ".json", http::writeJson(settings));
    auto &process = processes[instance];
    process = Process::start("cardamomliftd", {"--config", file});
    entryNames.push_back(instance);
    announce(instance, "entry", zone, process->port("callers"), process->port("peers"));
    return *process;
}

Process &Fleet::addEngine(const std::string &instance, const std::string &zone, const std::vector<std::string> &arguments)
{
    std::vector<std::string> all{"--instance", instance};
    all.insert(all.end(), arguments.begin(), arguments.end());
    auto &process = processes[instance];
    process = Process::start("standin-engine", all);
    announce(instance, "model", zone, process->port());
    return *process;
}

Process &Fleet::addService(const std::string &instance, const std::string &zone, const std::vector<std::string> &arguments)
{
    std::vector<std::string> all{"--instance", instance};
    all.insert(all.end(), arguments.begin(), arguments.end());
    auto &process = processes[instance];
    process = Process::start("standin-service", all);
    announce(instance, "service", zone, process->port());
    return *process;
}

Process &Fleet::addProxy(int target, int &port)
{
    auto &process = processes[fmt::format("proxy-{}", processes.size())];
    process = Process::start("standin-proxy", {"--target", std::to_string(target)});
    port = process->ready()["ports"][0].asInt();
    return *process;
}

void Fleet::announce(const std::string &instance, const std::string &role, const std::string &zone, int port, int peerPort)
{
    announceAt(*platform, instance, role, zone, port, peerPort);
}

void Fleet::announceAt(Process &list, const std::string &instance, const std::string &role, const std::string &zone, int port, int peerPort)
{
    Json::Value vm;
    vm["instance"] = instance;
    vm["address"] = "127.0.0.1";
    vm["role"] = role;
    vm["zone"] = zone;
    vm["port"] = port;
    vm["peerPort"] = peerPort;
    vm["serves"] = Json::Value(Json::arrayValue);
    if (role == "model") {
        for (const char *model : {"proofreader", "leaflet-writer", "crew-desk", "dossier-writer"}) {
            vm["serves"].append(model);
        }
    } else if (role == "service") {
        vm["serves"].append("orders");
        vm["serves"].append("bookings");
    }
    http::ClientRequest request;
    request.method = "PUT";
    request.url = urlOf(list, "port", "/control/vms/" + instance);
    request.body = http::writeJson(vm);
    EXPECT_EQ(caller.call(request)->status, 200);
}

void Fleet::forget(const std::string &instance)
{
    http::ClientRequest request;
    request.method = "DELETE";
    request.url = platformUrl() + "/control/vms/" + instance;
    EXPECT_EQ(caller.call(request)->status, 200);
}

void Fleet::reclaim(const std::string &instance, int secondsLeft)
{
    Json::Value body;
    body["instance"] = instance;
    body["secondsLeft"] = secondsLeft;
    controlPlatform("/control/reclaim", body);
}

void Fleet::controlPlatform(const std::string &path, const Json::Value &body)
{
    EXPECT_EQ(caller.post(platform->port(), path, body)->status, 200);
}

void Fleet::controlProxy(Process &proxy, const Json::Value &faults)
{
    EXPECT_EQ(caller.post(proxy.port("control"), "/control/0", faults)->status, 200);
}

void Fleet::setCut(Process &proxy, bool isCut)
{
    Json::Value faults;
    faults["refuse"] = isCut;
    faults["closeAll"] = isCut;
    controlProxy(proxy, faults);
}

int Fleet::tool(const std::vector<std::string> &arguments, std::string &output)
{
    std::vector<std::string> all{"--token-file", writeScratchFile("token", std::string(OperatorToken) + "\n"), "--author", "tester"};
    for (const std::string &instance : entryNames) {
        all.push_back("--daemon");
        all.push_back(urlOf(*processes[instance], "operators", ""));
    }
    all.insert(all.end(), arguments.begin(), arguments.end());
    return Process::run("cardamomlift", all, output);
}

Json::Value Fleet::status(const std::string &instance)
{
    http::ClientRequest request;
    request.url = urlOf(*processes[instance], "operators", "/v1/status");
    request.headers["Authorization"] = std::string("Bearer ") + OperatorToken;
    return caller.call(request)->json();
}

void Fleet::waitStatus(const std::string &instance, const std::function<bool(const Json::Value &)> &condition, const std::string &what)
{
    // NOTE Not inside waitUntil: its condition must not run the loop.
    for (int i = 0; i < 2000; i++) {
        if (condition(status(instance))) {
            return;
        }
        usleep(20 * 1000);
    }
    ADD_FAILURE() << instance << " never showed: " << what << "\n" << processes[instance]->log();
}

void Fleet::waitReady()
{
    std::size_t vms = 0;
    for (const auto &[instance, process] : processes) {
        vms += instance.starts_with("proxy-") ? 0 : 1;
    }
    for (const std::string &instance : entryNames) {
        const auto isReady = [&](const Json::Value &status) {
            return status["phase"].asString() == "ready" && status["vms"].size() >= vms && status["contracts"].isMember(ContractCustomers[0])
                && status["contracts"].isMember(ContractCustomers[1]);
        };
        waitStatus(instance, isReady, "ready, with all VMs and contracts");
    }
}

double Fleet::metric(const std::string &instance, const std::string &name)
{
    http::ClientRequest request;
    request.url = urlOf(*processes[instance], "operators", "/metrics");
    request.headers["Authorization"] = std::string("Bearer ") + OperatorToken;
    const std::string page = "\n" + caller.call(request)->body;
    const auto found = page.find("\ncardamomlift_" + name + " ");
    return found == std::string::npos ? 0 : std::strtod(page.c_str() + found + name.size() + 15, nullptr);
}

std::int64_t Fleet::engineTotal(const std::string &engine, const char *name)
{
    return caller.get(processes[engine]->port(), "/totals")->json()[name].asInt64();
}

http::ClientRequest Fleet::chat(const std::string &instance, const std::string &content, int maxTokens, bool stream)
{
    Json::Value body;
    body["model"] = "proofreader";
    body["stream"] = stream;
    body["max_tokens"] = maxTokens;
    body["seed"] = 7;
    body["messages"] = messagesOf(content);
    http::ClientRequest request;
    request.method = "POST";
    request.url = urlOf(*processes[instance], "callers", "/v1/chat/completions");
    request.headers["Authorization"] = std::string("Bearer ") + CoOpKey;
    request.body = http::writeJson(body);
    return request;
}

http::ClientRequest Fleet::serviceCall(const std::string &instance, const std::string &path, const std::string &body, const std::string &key)
{
    http::ClientRequest request;
    request.method = "POST";
    request.url = urlOf(*processes[instance], "callers", "/services" + path);
    request.headers["Authorization"] = std::string("Bearer ") + (path.starts_with("/orders") ? CoOpKey : DepartmentKey);
    if (!key.empty()) {
        request.headers["Idempotency-Key"] = key;
    }
    request.body = body;
    return request;
}

std::vector<std::string> Fleet::expectedTokens(const std::string &content, std::uint64_t seed, int maxTokens)
{
    const std::string messages = http::writeJson(messagesOf(content));
    std::vector<std::string> tokens;
    tokens.reserve(static_cast<std::size_t>(maxTokens));
    for (int i = 0; i < maxTokens; i++) {
        tokens.push_back(standinkit::outputToken(messages, seed, static_cast<std::uint64_t>(i)));
    }
    return tokens;
}

} // namespace cardamomlift::test
