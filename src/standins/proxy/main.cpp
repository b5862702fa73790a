// The fault-injecting TCP proxy: one proxy for each --target, controlled over HTTP.

#include "http/json.h"
#include "standinkit/standinmain.h"
#include "standins/proxy/proxy.h"

#include <vector>

namespace {

using namespace cardamomlift;

std::vector<std::unique_ptr<standins::Proxy>> proxies;
std::unique_ptr<http::Server> controlServer;

/// POST /control/<index> sets faults; GET /totals/<index>.
void handle(const http::Request &request, const std::shared_ptr<http::Responder> &responder)
{
    const auto slash = request.path.rfind('/');
    const std::size_t index = std::strtoull(request.path.c_str() + slash + 1, nullptr, 10);
    if (index >= proxies.size()) {
        responder->respond({404, {}, "unknown proxy\n"});
        return;
    }
    if (request.path.starts_with("/control/")) {
        proxies[index]->control(http::parseJson(request.body).value_or(Json::Value(Json::objectValue)));
    }
    responder->respond(http::jsonResponse(200, proxies[index]->totals()));
}

} // namespace

int main(int argc, char **argv)
{
    namespace options = boost::program_options;
    options::options_description description("standin-proxy [options]");
    description.add_options()("target", options::value<std::vector<std::uint16_t>>()->required(), "loopback port to pass on to; may be repeated");
    return standinkit::standinMain(argc, argv, description, [](EventLoop &loop, const auto &values, Json::Value &ready) -> Result<void> {
        for (const std::uint16_t target : values["target"].template as<std::vector<std::uint16_t>>()) {
            auto proxy = standins::Proxy::create(loop, target);
            if (!proxy) {
                return proxy.error();
            }
            ready["ports"].append(proxy.value()->port());
            proxies.push_back(std::move(proxy.value()));
        }
        auto created = http::Server::create(loop, http::ServerOptions(), &handle);
        if (!created) {
            return created.error();
        }
        controlServer = std::move(created.value());
        ready["control"] = controlServer->port();
        return success();
    });
}
