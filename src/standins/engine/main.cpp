// Model engines' stand-in: --count engines in one process, each on a port of its own.

#include "standinkit/standinmain.h"
#include "standins/engine/engine.h"

#include <vector>

namespace {

using namespace cardamomlift;
namespace options = boost::program_options;

constexpr std::size_t LargestBody = 64 << 20;

struct Running {
    std::unique_ptr<standins::Engine> engine;
    std::unique_ptr<http::Server> server;
};

std::vector<Running> running;

Result<std::uint16_t> startOne(EventLoop &loop, standins::EngineOptions engineOptions, std::uint16_t port)
{
    Running one;
    one.engine = standins::Engine::create(loop, std::move(engineOptions));
    http::ServerOptions server;
    server.port = port;
    server.idleSeconds = 0;
    server.maxBodyBytes = LargestBody;
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

std::int64_t number(const options::variables_map &values, const char *name)
{
    return values[name].as<std::int64_t>();
}

void addOptions(options::options_description &description)
{
    const auto add = [&](const char *name, std::int64_t value, const char *text) {
        description.add_options()(name, options::value<std::int64_t>()->default_value(value), text);
    };
    const standins::EngineOptions defaults;
    description.add_options()("port", options::value<std::uint16_t>()->default_value(0), "port of the first engine; 0: a free one");
    description.add_options()("instance", options::value<std::string>()->default_value("engine"), "instance name; with --count a number follows");
    description.add_options()("crash-on", options::value<std::string>()->default_value(""), "exit with 1 when a prompt with this text is scheduled");
    description.add_options()("check-fencing", options::bool_switch(), "refuse orders with an old fencing number");
    add("count", 1, "engines in this process");
    add("token-ms", defaults.tokenMs, "milliseconds between two tokens");
    add("prefill-per-ms", defaults.prefillPerMs, "prompt tokens computed in a millisecond");
    add("max-batch", static_cast<std::int64_t>(defaults.maxBatch), "streams running at once");
    add("batch-slowdown", defaults.batchSlowdown, "a step takes token-ms * (1 + batch / this); 0: token-ms");
    add("cache-blocks", static_cast<std::int64_t>(defaults.cacheBlocks), "blocks of the prefix cache");
    add("kv-bytes-per-token", defaults.kvBytesPerToken, "size of an exported KV cache");
    add("kv-bytes-per-ms", defaults.kvBytesPerMs, "rate of KV export and import");
    add("load-lag-ms", 0, "age of the reported load");
    add("event-lag-ms", 0, "age of the newest cache event shown");
    add("event-loss", 0, "percentage of cache events never shown");
}

standins::EngineOptions readOptions(const options::variables_map &values)
{
    standins::EngineOptions engine;
    engine.instance = values["instance"].as<std::string>();
    engine.crashOn = values["crash-on"].as<std::string>();
    engine.checkFencing = values["check-fencing"].as<bool>();
    engine.tokenMs = number(values, "token-ms");
    engine.prefillPerMs = std::max<std::int64_t>(number(values, "prefill-per-ms"), 1);
    engine.maxBatch = static_cast<std::size_t>(number(values, "max-batch"));
    engine.batchSlowdown = number(values, "batch-slowdown");
    engine.cacheBlocks = static_cast<std::size_t>(number(values, "cache-blocks"));
    engine.kvBytesPerToken = number(values, "kv-bytes-per-token");
    engine.kvBytesPerMs = number(values, "kv-bytes-per-ms");
    engine.loadLag = std::chrono::milliseconds(number(values, "load-lag-ms"));
    engine.eventLag = std::chrono::milliseconds(number(values, "event-lag-ms"));
    engine.eventLossPercent = static_cast<int>(number(values, "event-loss"));
    return engine;
}

Result<void> startAll(EventLoop &loop, const options::variables_map &values, Json::Value &ready)
{
    const std::int64_t count = number(values, "count");
    for (std::int64_t i = 0; i < count; i++) {
        standins::EngineOptions engine = readOptions(values);
        if (count > 1) {
            engine.instance += "-" + std::to_string(i);
        }
        auto port = startOne(loop, engine, i == 0 ? values["port"].as<std::uint16_t>() : std::uint16_t{0});
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
}

} // namespace

int main(int argc, char **argv)
{
    options::options_description description("standin-engine [options]");
    addOptions(description);
    return standinkit::standinMain(argc, argv, description, &startAll);
}
