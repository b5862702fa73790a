// The platform's store of rows in small: reads, feeds and conditional transactions over HTTP, with faults for all VMs or
// for some. The operator and the backend servers of a test write through /control.

#include "http/json.h"
#include "http1/httpserver.h"
#include "rows/memoryrowstore.h"
#include "standinkit/standinmain.h"
#include "text/base64.h"

#include <map>

namespace {

using namespace cardamomlift;

constexpr int StatusOk = 200;
constexpr int StatusNotFound = 404;
constexpr int StatusGone = 410;
constexpr int StatusConditionFailed = 412;
constexpr int StatusUnavailable = 503;
constexpr std::size_t PageRows = 500;
constexpr Duration FeedCheck = std::chrono::milliseconds(10);

/// The values of a query string; "%" escapes are undone.
std::map<std::string, std::string> readQuery(std::string_view target)
{
    std::map<std::string, std::string> values;
    const auto mark = target.find('?');
    std::string_view query = mark == std::string_view::npos ? std::string_view() : target.substr(mark + 1);
    while (!query.empty()) {
        const std::string_view part = query.substr(0, query.find('&'));
        const auto equals = part.find('=');
        std::string value;
        for (std::size_t i = equals + 1; equals != std::string_view::npos && i < part.size(); i++) {
            if (part[i] == '%' && i + 2 < part.size()) {
                value += static_cast<char>(std::stoi(std::string(part.substr(i + 1, 2)), nullptr, 16));
                i += 2;
            } else {
                value += part[i];
            }
        }
        values[std::string(part.substr(0, equals))] = value;
        query = part.size() == query.size() ? std::string_view() : query.substr(part.size() + 1);
    }
    return values;
}

struct Store {
    EventLoop *loop = nullptr;
    std::shared_ptr<http1::HttpServer> server;
    rows::MemoryRows rows;
    rows::MemoryRows copy; ///< Which "restore" goes back to.
    bool down = false;
    bool silent = false;
    bool loseAnswers = false;
    std::uint64_t calls = 0;
    std::vector<http1::ExchangePtr> unanswered;

    void answer(const http1::ExchangePtr &exchange, int status, const Json::Value &body = Json::Value(Json::objectValue)) const
    {
        http1::ResponseHead head;
        head.status = status;
        head.fields.add("Store-Era", std::to_string(rows.version().era));
        head.fields.add("Content-Type", "application/json");
        exchange->answer(std::move(head), http::writeJson(body));
    }

    Json::Value pageJson(const rows::RowPage &page) const
    {
        Json::Value json;
        json["rows"] = Json::Value(Json::arrayValue);
        for (const rows::Row &row : page.rows) {
            Json::Value entry;
            entry["key"] = row.key;
            entry["value"] = text::encodeBase64(row.value);
            entry["row_version"] = static_cast<Json::UInt64>(row.version.number);
            entry["tombstone"] = row.isDeleted;
            json["rows"].append(entry);
        }
        json["has_more"] = page.hasMore;
        json["row_version"] = static_cast<Json::UInt64>(page.version.number);
        json["now_ms"] = static_cast<Json::Int64>(std::chrono::duration_cast<std::chrono::milliseconds>(loop->now().time_since_epoch()).count());
        return json;
    }

    void handle(const http1::ExchangePtr &exchange)
    {
        const std::string_view target = exchange->head().target;
        if (target.starts_with("/control/")) {
            control(exchange, target.substr(std::string_view("/control/").size()));
            return;
        }
        calls++;
        if (down) {
            answer(exchange, StatusUnavailable);
        } else if (silent) {
            unanswered.push_back(exchange);
        } else if (target.starts_with("/api/rows-get")) {
            const auto query = readQuery(target);
            answer(exchange, StatusOk, pageJson(rows.read(query.at("table"), query.contains("from") ? query.at("from") : "", PageRows)));
        } else if (target.starts_with("/api/rows-feed")) {
            const auto query = readQuery(target);
            feed(exchange, query.at("table"), std::stoull(query.at("after")), loop->now() + std::chrono::milliseconds(std::stoll(query.at("wait_ms"))));
        } else if (target.starts_with("/api/rows-tx")) {
            transact(exchange);
        } else {
            answer(exchange, StatusNotFound);
        }
    }

    void feed(const http1::ExchangePtr &exchange, const std::string &table, std::uint64_t after, TimePoint end)
    {
        if (down) {
            answer(exchange, StatusUnavailable);
            return;
        }
        const auto [failure, page] = rows.changes(table, {rows.version().era, after});
        if (failure == rows::StoreFailure::HistoryLost) {
            answer(exchange, StatusGone);
            return;
        }
        if (!page.rows.empty() || loop->now() >= end) {
            answer(exchange, StatusOk, pageJson(page));
            return;
        }
        loop->after(FeedCheck, [this, exchange, table, after, end] { feed(exchange, table, after, end); });
    }

    static void addWrites(const Json::Value &list, bool removes, std::vector<rows::RowWrite> &writes)
    {
        for (const Json::Value &entry : list) {
            rows::RowWrite write;
            write.table = entry["table"].asString();
            write.key = entry["key"].asString();
            write.value = text::decodeBase64(entry["value"].asString()).value_or("");
            write.removes = removes;
            writes.push_back(std::move(write));
        }
    }

    void transact(const http1::ExchangePtr &exchange)
    {
        const Json::Value body = http::parseJson(exchange->body()).value_or(Json::Value(Json::objectValue));
        std::vector<rows::RowWrite> writes;
        addWrites(body["writes"], false, writes);
        addWrites(body["remove"], true, writes);
        for (const Json::Value &condition : body["expected_rev"]) {
            for (rows::RowWrite &write : writes) {
                if (write.table == condition["table"].asString() && write.key == condition["key"].asString()) {
                    write.isConditional = true;
                    write.expectedVersion.number = condition["row_version"].asUInt64();
                }
            }
        }
        const rows::WriteResult result = rows.transact(writes);
        if (loseAnswers) {
            unanswered.push_back(exchange);
            return;
        }
        rows::RowPage page;
        page.rows = result.current;
        page.version = result.version;
        answer(exchange, result.outcome == rows::WriteOutcome::Written ? StatusOk : StatusConditionFailed, pageJson(page));
    }

    std::string valueOf(const std::string &table, const std::string &key) const
    {
        const rows::RowPage page = rows.read(table, key, 1);
        return page.rows.empty() || page.rows.front().key != key ? std::string() : page.rows.front().value;
    }

    // PUT, GET or DELETE rows/TABLE/KEY; POST faults, compact, copy, restore; GET calls.
    void control(const http1::ExchangePtr &exchange, std::string_view path)
    {
        if (path.starts_with("rows/")) {
            path.remove_prefix(std::string_view("rows/").size());
            rows::RowWrite write;
            write.table = path.substr(0, path.find('/'));
            write.key = path.substr(path.find('/') + 1);
            if (exchange->head().method == "GET") {
                Json::Value row;
                row["value"] = valueOf(write.table, write.key);
                answer(exchange, StatusOk, row);
                return;
            }
            write.value = exchange->body();
            write.removes = exchange->head().method == "DELETE";
            rows.transact({write});
        } else if (path == "faults") {
            const Json::Value body = http::parseJson(exchange->body()).value_or(Json::Value(Json::objectValue));
            down = body.get("down", false).asBool();
            silent = body.get("silent", false).asBool();
            loseAnswers = body.get("loseAnswers", false).asBool();
        } else if (path == "compact") {
            rows.compact();
        } else if (path == "copy") {
            copy = rows;
        } else if (path == "restore") {
            rows.restore(copy);
        }
        Json::Value state;
        state["calls"] = static_cast<Json::UInt64>(calls);
        answer(exchange, StatusOk, state);
    }
};

} // namespace

int main(int argc, char **argv)
{
    namespace options = boost::program_options;
    options::options_description description("standin-rowstore [options]");
    description.add_options()("address", options::value<std::string>()->default_value("127.0.0.1"), "IPv4 number");
    description.add_options()("port", options::value<std::uint16_t>()->default_value(0), "port; 0: a free one");
    static Store store;
    return standinkit::standinMain(argc, argv, description, [](EventLoop &loop, const auto &values, Json::Value &ready) -> Result<void> {
        store.loop = &loop;
        http1::ServerHandlers handlers;
        handlers.onRequest = [](const http1::ExchangePtr &exchange) {
            store.handle(exchange);
        };
        handlers.onRejected = [](int) {
        };
        const http1::Endpoint at{values["address"].template as<std::string>(), values["port"].template as<std::uint16_t>()};
        BOOST_OUTCOME_TRY(server, http1::HttpServer::listen(loop, at, {}, std::move(handlers), standinkit::ampleBudget(loop)));
        store.server = server;
        ready["port"] = server->port();
        return success();
    });
}
