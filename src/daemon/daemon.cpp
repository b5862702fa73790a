#include "daemon/daemon.h"

#include "contract/contractreader.h"
#include "contract/contractstore.h"
#include "duties/leaderlease.h"
#include "eventlog/eventlog.h"
#include "forwarding/routegateway.h"
#include "gateway/gateway.h"
#include "http/json.h"
#include "kernel/log.h"
#include "kernel/runtime.h"
#include "lifecycle/lifecycle.h"
#include "operatorapi/operatorapi.h"
#include "peers/peertransport.h"
#include "text/digest.h"

#include <ev.h>

#include <csignal>
#include <cstdio>
#include <fstream>
#include <sstream>

namespace cardamomlift::daemon {

namespace {

constexpr std::size_t EditIdBytes = 8;

void onSignal(struct ev_loop *, ev_signal *watcher, int)
{
    const auto &context = *static_cast<const Context *>(watcher->data);
    if (const auto gateway = context.find<forwarding::RouteGateway>()) {
        if (const auto lease = context.find<duties::LeaderLease>()) {
            lease->release();
        }
        gateway->drain([loop = context.get<Runtime>()->loop] { loop->stop(); });
        return;
    }
    context.get<lifecycle::Lifecycle>()->drain(std::chrono::seconds(context.get<settings::Settings>()->limits.drainSeconds));
}

std::string readFile(const std::string &path)
{
    std::ifstream file(path);
    std::stringstream text;
    text << file.rdbuf();
    return text.str();
}

} // namespace

Result<std::unique_ptr<Daemon>> Daemon::create(settings::Settings settings)
{
    std::unique_ptr<Daemon> daemon(new Daemon);
    auto loop = EventLoop::create(daemon->clock_);
    if (!loop) {
        return loop.error();
    }
    daemon->loop_ = std::move(loop.value());
    auto runtime = std::make_shared<Runtime>();
    runtime->loop = daemon->loop_.get();
    daemon->context_.set(runtime);
    daemon->context_.set(std::make_shared<settings::Settings>(std::move(settings)));
    const bool servesRoutes = daemon->context_.get<settings::Settings>()->routes.has_value();
    auto modules = createModules(servesRoutes ? Gateway::Routes : Gateway::Chat);
    if (!modules) {
        return modules.error();
    }
    daemon->modules_ = std::move(modules.value());
    for (const auto &module : daemon->modules_) {
        auto started = module->start(daemon->context_);
        if (!started) {
            return failure(started.error().kind, std::string(module->name()) + ": " + started.error().message);
        }
    }
    return daemon;
}

Daemon::~Daemon()
{
    for (auto module = modules_.rbegin(); module != modules_.rend(); ++module) {
        (*module)->stop(context_);
    }
}

void Daemon::run(const std::string &settingsFile)
{
    applyContractFiles();
    watchSignals(settingsFile);
    printReadyLine();
    loop_->run();
    // NOTE libev's signal handlers stay installed after its loop is destroyed; a late signal must not reach them.
    std::signal(SIGTERM, SIG_IGN);
    std::signal(SIGINT, SIG_IGN);
    std::signal(SIGHUP, SIG_IGN);
}

// The ready line is a JSON object with the ports, printed for the process that started the daemon and waits for them.
void Daemon::printReadyLine() const
{
    if (context_.get<settings::Settings>()->routes) {
        // The settings name the ports, and standard output carries the event log.
        context_.get<eventlog::EventLog>()->write(eventlog::Event::Started, {});
        return;
    }
    Json::Value line;
    line["ready"] = true;
    line["instance"] = context_.get<settings::Settings>()->instance;
    line["callers"] = context_.get<gateway::Gateway>()->port();
    line["operators"] = context_.get<operatorapi::OperatorApi>()->port();
    line["peers"] = context_.get<peers::PeerTransport>()->port();
    std::puts(http::writeJson(line).c_str());
    std::fflush(stdout);
}

void Daemon::watchSignals(const std::string &settingsFile)
{
    static ev_signal terminate;
    static ev_signal interrupt;
    ev_signal_init(&terminate, &onSignal, SIGTERM);
    ev_signal_init(&interrupt, &onSignal, SIGINT);
    terminate.data = &context_;
    interrupt.data = terminate.data;
    ev_signal_start(loop_->raw(), &terminate);
    ev_signal_start(loop_->raw(), &interrupt);
    if (settingsFile.empty() || !context_.get<settings::Settings>()->routes) {
        return;
    }
    static ev_signal hangUp;
    reload_ = std::make_unique<SettingsReload>(*loop_, context_, settingsFile);
    ev_signal_init(
        &hangUp, [](struct ev_loop *, ev_signal *watcher, int) { static_cast<SettingsReload *>(watcher->data)->reload(); }, SIGHUP);
    hangUp.data = reload_.get();
    ev_signal_start(loop_->raw(), &hangUp);
}

void Daemon::applyContractFiles()
{
    const auto settings = context_.get<settings::Settings>();
    if (!settings->platform.inMemory) {
        return;
    }
    for (const std::string &file : settings->contractFiles) {
        Findings findings;
        const std::string text = readFile(file);
        const contract::Contract parsed = contract::readContract(file, text, findings);
        if (hasErrors(findings)) {
            partLogger("daemon")->error("A contract file has errors and is not applied. {}", formatFindings(findings));
            continue;
        }
        contract::Edit edit{parsed.customer, text, 0, "settings", text::randomHex(EditIdBytes)};
        context_.get<contract::ContractStore>()->apply(
            edit, [](const contract::ContractVersion *) { return Findings(); }, [](const contract::EditResult &) {});
    }
}

} // namespace cardamomlift::daemon
