// Model engines' stand-in: --count engines in one process, each on a port of its own.

#include "standinkit/standinmain.h"
#include "standins/engine/engine.h"

#include <vector>

namespace {

using namespace cardamomlift;

struct Running {
    std::unique_ptr<standins::Engine> engine;
    std::unique_ptr<http::Server> server;
};

std::vector<Running> running;

Result<std::uint16_t> startOne(EventLoop &loop, standins::EngineOptions options, std::uint16_t port)
{
    Running one;
    one.engine = standins::Engine::create(loop, std::move(options));
    http::ServerOptions server;
    server.port = port;
    server.idleSeconds = 0;
    auto created = http::Server::create(loop,
        server,
        [engine = one.engine.get()](const http::Request &request, const std::shared_ptr<http::Responder> &responder) { engine->handle(request, responder); });
    if (!created) {
        return created.error();
    }
    one.server = std::move(created.value());
    const std::uint16_t bound = one.server->port();
    running.push_back(std::move(one));
    return bound;
}

} // namespace

int main(int argc, char **argv)
{
    namespace options = boost::program_options;
    options::options_description description("standin-engine [options]");
    description.add_options()("port", options::value<std::uint16_t>()->default_value(0), "port of the first engine; 0: a free one");
    description.add_options()("instance", options::value<std::string>()->default_value("engine"), "instance name; with --count a number follows");
    description.add_options()("count", options::value<int>()->default_value(1), "engines in this process");
    description.add_options()("token-ms", options::value<std::int64_t>()->default_value(5), "milliseconds between two tokens");
    return standinkit::standinMain(argc, argv, description, [](EventLoop &loop, const auto &values, Json::Value &ready) -> Result<void> {
        const int count = values["count"].template as<int>();
        for (int i = 0; i < count; i++) {
            standins::EngineOptions engine;
            engine.instance = values["instance"].template as<std::string>();
            if (count > 1) {
                engine.instance += "-" + std::to_string(i);
            }
            engine.tokenMs = values["token-ms"].template as<std::int64_t>();
            auto port = startOne(loop, engine, i == 0 ? values["port"].template as<std::uint16_t>() : std::uint16_t{0});
            if (!port) {
                return port.error();
            }
            Json::Value entry;
            entry["instance"] = engine.instance;
            entry["port"] = port.value();
            ready["engines"].append(entry);
        }
        ready["port"] = ready["engines"][0]["port"];
        return success();
    });
}
