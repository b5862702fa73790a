#include "kernel/module.h"
#include "kernel/runtime.h"
#include "metrics/metrics.h"
#include "peers/grpctransport.h"
#include "settings/settingstypes.h"
#include "settings/tlsfiles.h"

#include <fmt/format.h>

namespace cardamomlift::peers {

namespace {

class PeersModule : public Module
{
public:
    std::string_view name() const override
    {
        return "peers";
    }

    std::vector<std::string_view> dependencies() const override
    {
        return {"clientbudget", "metrics"};
    }

    Result<void> start(Context &context) override
    {
        const auto settings = context.get<settings::Settings>();
        GrpcOptions options;
        options.instance = settings->instance;
        options.address = settings->peers.address;
        options.port = settings->peers.port;
        options.token = settings->peerToken;
        options.budget = context.get<clientbudget::ClientBudget>();
        BOOST_OUTCOME_TRY(files, settings::readTlsFiles(settings->peers));
        options.certificatePem = files.certificatePem;
        options.privateKeyPem = files.privateKeyPem;
        options.authorityPem = files.authorityPem;
        options.onCallEnded = [metrics = context.get<metrics::Metrics>()](std::string_view topic, std::size_t bytes) {
            metrics->add(fmt::format("peer_topic_calls_total{{topic=\"{}\"}}", topic));
            metrics->add(fmt::format("peer_topic_bytes_total{{topic=\"{}\"}}", topic), bytes);
        };
        auto transport = GrpcTransport::create(*context.get<Runtime>()->loop, options);
        if (!transport) {
            return transport.error();
        }
        transport_ = transport.value();
        context.set<PeerTransport>(transport_);
        publishCounters(context);
        return success();
    }

    void stop(Context &) override
    {
        if (transport_) {
            transport_->stop();
        }
    }

private:
    static void publishCounters(const Context &context)
    {
        const auto metrics = context.get<metrics::Metrics>();
        const auto transport = context.get<PeerTransport>();
        const auto publish = [&](const char *name, std::uint64_t PeerCounters::*member) {
            metrics->gauge(name, [transport, member] { return static_cast<double>(transport->counters().*member); });
        };
        publish("peer_calls_sent_total", &PeerCounters::callsSent);
        publish("peer_calls_received_total", &PeerCounters::callsReceived);
        publish("peer_calls_failed_total", &PeerCounters::callsFailed);
        publish("peer_bytes_sent_total", &PeerCounters::bytesSent);
        publish("peer_bytes_received_total", &PeerCounters::bytesReceived);
    }

    std::shared_ptr<GrpcTransport> transport_;
};

const ModuleRegistration<PeersModule> Registration;

} // namespace

} // namespace cardamomlift::peers
