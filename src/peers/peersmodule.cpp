#include "kernel/module.h"
#include "kernel/runtime.h"
#include "peers/grpctransport.h"
#include "settings/listenfiles.h"
#include "settings/settingstypes.h"

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
        return {};
    }

    Result<void> start(Context &context) override
    {
        const auto settings = context.get<settings::Settings>();
        GrpcOptions options;
        options.instance = settings->instance;
        options.address = settings->peers.address;
        options.port = settings->peers.port;
        options.token = settings->peerToken;
        BOOST_OUTCOME_TRY(files, settings::readListenFiles(settings->peers));
        options.certificatePem = files.certificatePem;
        options.privateKeyPem = files.privateKeyPem;
        options.authorityPem = files.authorityPem;
        auto transport = GrpcTransport::create(*context.get<Runtime>()->loop, options);
        if (!transport) {
            return transport.error();
        }
        context.set<PeerTransport>(transport.value());
        return success();
    }
};

const ModuleRegistration<PeersModule> Registration;

} // namespace

} // namespace cardamomlift::peers
