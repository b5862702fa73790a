// A plain service's stand-in: runs every call it gets and counts its runs by idempotency key. It does not look for
// repeats: that is what is tested.

#include "http/json.h"
#include "standinkit/standinmain.h"

#include <map>

namespace {

using namespace cardamomlift;

struct Service {
    EventLoop *loop = nullptr;
    std::string instance;
    Duration delay{0};
    bool announcesLeaving = false; ///< All answers say that the service leaves.
    std::string retryAfter; ///< Calls are refused with this Retry-After; empty: they are run.
    std::uint64_t refusedBackoff = 0;
    std::uint64_t runs = 0;
    std::map<std::string, std::uint64_t> runsByKey;
    std::unique_ptr<http::Server> server;

    Json::Value counts() const
    {
        Json::Value json;
        json["runs"] = static_cast<Json::UInt64>(runs);
        json["refusedBackoff"] = static_cast<Json::UInt64>(refusedBackoff);
        json["byKey"] = Json::Value(Json::objectValue);
        for (const auto &[key, count] : runsByKey) {
            json["byKey"][key] = static_cast<Json::UInt64>(count);
        }
        return json;
    }

    void handle(const http::Request &request, const std::shared_ptr<http::Responder> &responder)
    {
        if (request.path == "/runs") {
            responder->respond(http::jsonResponse(200, counts()));
            return;
        }
        if (request.path == "/control") {
            const Json::Value body = http::parseJson(request.body).value_or(Json::Value(Json::objectValue));
            delay = std::chrono::milliseconds(body.get("delayMs", 0).asInt64());
            announcesLeaving = body.get("announcesLeaving", announcesLeaving).asBool();
            retryAfter = body.get("retryAfter", retryAfter).asString();
            responder->respond({200, {}, "ok\n"});
            return;
        }
        const std::string_view meant = http::headerValue(request.headers, "X-Instance");
        if (!meant.empty() && meant != instance) {
            responder->respond({503, {{"X-Not-Run", "true"}}, "another instance\n"});
            return;
        }
        if (!retryAfter.empty()) {
            refusedBackoff++;
            responder->respond({503, {{"X-Not-Run", "true"}, {"Retry-After", retryAfter}}, "overloaded\n"});
            return;
        }
        runs++;
        runsByKey[std::string(http::headerValue(request.headers, "Idempotency-Key"))]++;
        Json::Value answer;
        answer["run"] = static_cast<Json::UInt64>(runs);
        answer["path"] = request.path;
        answer["echo"] = request.body;
        http::Response response = http::jsonResponse(200, answer);
        if (announcesLeaving) {
            response.headers["X-Leaving"] = "true";
        }
        if (delay.count() == 0) {
            responder->respond(std::move(response));
            return;
        }
        loop->after(delay, [responder, response] { responder->respond(response); });
    }
};

} // namespace

int main(int argc, char **argv)
{
    namespace options = boost::program_options;
    options::options_description description("standin-service [options]");
    description.add_options()("port", options::value<std::uint16_t>()->default_value(0), "port; 0: a free one");
    description.add_options()("instance", options::value<std::string>()->default_value("service"), "instance name");
    description.add_options()("delay-ms", options::value<std::int64_t>()->default_value(0), "time a call takes");
    static Service service;
    return standinkit::standinMain(argc, argv, description, [](EventLoop &loop, const auto &values, Json::Value &ready) -> Result<void> {
        service.loop = &loop;
        service.instance = values["instance"].template as<std::string>();
        service.delay = std::chrono::milliseconds(values["delay-ms"].template as<std::int64_t>());
        http::ServerOptions server;
        server.port = values["port"].template as<std::uint16_t>();
        auto created = http::Server::create(
            loop, server, [](const http::Request &request, const std::shared_ptr<http::Responder> &responder) { service.handle(request, responder); });
        if (!created) {
            return created.error();
        }
        service.server = std::move(created.value());
        ready["port"] = service.server->port();
        return success();
    });
}
