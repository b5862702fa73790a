#pragma once

#include "duties/capacitytarget.h"
#include "forwarding/servicedemand.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <queue>
#include <random>
#include <vector>

namespace cardamomlift::duties {

/// Requests of one kind.
struct ModelRequests {
    double perSecond = 0;
    std::int64_t promptTokens = 0;
    double goalSeconds = 0;
    double decodeSeconds = 0;
};

/// A service whose servers are ordered by the functions of the autoscaler, under load and reclaims.
struct ModelDay {
    std::vector<ModelRequests> requests;
    double prefillPerSecond = 100'000; ///< Of a server of mean speed.
    bool isPrefillMeasured = true;
    int slots = 16;
    int ordinaryAtStart = 90;
    double firstRequestAt = 8;
    double endsAt = 60;
    double waveFrom = 20; ///< For 40 s, waveFactor times the usual requests.
    double waveFactor = 1;
    std::vector<double> reclaimsAt; ///< One failure domain after the other.
    double noticeSeconds = 2;
    double outOfStockUntil = 0; ///< From the first reclaim on.
    int choices = 4; ///< Servers that a request looks at.
};

struct ModelResult {
    int requests = 0;
    int inTime = 0;
    double worstInTime = 1; ///< Share in time of the worst two seconds.
    double ordinarySeconds = 0;
    double reclaimableSeconds = 0;
    int mostServers = 0;
    int orders = 0;

    double share() const
    {
        return requests > 0 ? static_cast<double>(inTime) / requests : 1;
    }
};

/// Plays a day in steps of 10 ms. A server prefills one prompt after the other; a request takes the least loaded of the servers that
/// it looks at. Half of a prompt is cached at a server that has served for two seconds.
class FleetModel
{
public:
    static ModelResult play(const ModelDay &day, std::uint32_t seed)
    {
        FleetModel model(day, seed);
        model.run();
        return model.result_;
    }

private:
    struct Server {
        std::size_t zone = 0;
        bool isReclaimable = false;
        double readyAt = 0;
        double leavesAt = 1e9;
        bool isLeaving = false;
        double slowness = 1;
        double busyUntil = 0;
        std::vector<double> slotsFreeAt;
    };
    struct Event {
        double at = 0;
        double timeToFirstByte = -1; ///< Negative: the answer has ended.
        double goal = 0;
        bool operator<(const Event &other) const
        {
            return at > other.at;
        }
    };
    static constexpr std::size_t Zones = 4;
    static constexpr double Step = 0.01;
    static constexpr double CacheWarmSeconds = 2;

    FleetModel(const ModelDay &day, std::uint32_t seed)
        : day_(day)
        , random_(seed)
    {
        service_.engine = manifest::EngineProfile{day.slots, 500'000, true, true};
        scaling_.maxPerZone = 200;
        scaling_.startup = std::chrono::seconds(4);
        for (int i = 0; i < day.ordinaryAtStart; i++) {
            add(static_cast<std::size_t>(i) % Zones, false, 0);
        }
    }

    TimePoint timePoint() const
    {
        return TimePoint(std::chrono::milliseconds(std::llround(now_ * 1000) + 1000));
    }

    void add(std::size_t zone, bool isReclaimable, double readyAt)
    {
        Server server{zone, isReclaimable, readyAt};
        server.slowness = servers_.size() % 3 == 0 ? 1.7 : 0.7;
        server.slotsFreeAt.assign(static_cast<std::size_t>(day_.slots), 0);
        servers_.push_back(std::move(server));
    }

    void run()
    {
        for (int step = 0; now_ < day_.endsAt; step++, now_ = step * Step) {
            for (std::size_t i = 0; i < day_.reclaimsAt.size(); i++) {
                if (std::abs(day_.reclaimsAt[i] - now_) < Step / 2) {
                    reclaim(i % Zones);
                }
            }
            std::erase_if(servers_, [this](const Server &server) { return server.leavesAt <= now_; });
            noteEvents();
            if (now_ >= day_.firstRequestAt) {
                arrive();
            }
            if (step % 25 == 0) {
                order();
            }
            bill();
        }
        for (const auto &[window, counts] : windows_) {
            if (counts.first > 0) {
                result_.worstInTime = std::min(result_.worstInTime, static_cast<double>(counts.second) / counts.first);
            }
        }
    }

    void reclaim(std::size_t zone)
    {
        for (Server &server : servers_) {
            if (server.zone == zone && server.isReclaimable && !server.isLeaving) {
                leave(server, day_.noticeSeconds);
            }
        }
    }

    void leave(Server &server, double in)
    {
        server.isLeaving = true;
        server.leavesAt = now_ + in;
    }

    void noteEvents()
    {
        for (; !events_.empty() && events_.top().at <= now_; events_.pop()) {
            const Event &event = events_.top();
            if (event.timeToFirstByte < 0) {
                demand_.noteEnded("models");
            } else {
                demand_.noteFirstByte("models", duration(event.timeToFirstByte), duration(event.goal), timePoint());
            }
        }
    }

    static Duration duration(double seconds)
    {
        return Duration(std::llround(seconds * 1e6));
    }

    void arrive()
    {
        const bool isWave = now_ >= day_.waveFrom && now_ < day_.waveFrom + 40;
        // Requests come in clumps: four times as many in a fifth of each second as in the rest of it.
        const bool isClump = now_ - std::floor(now_) < 0.2;
        const double factor = (isWave ? day_.waveFactor : 1) * (isClump ? 2.5 : 0.625);
        for (const ModelRequests &kind : day_.requests) {
            const int count = std::poisson_distribution<int>(kind.perSecond * factor * Step)(random_);
            for (int i = 0; i < count; i++) {
                send(kind);
            }
        }
    }

    Server *choose()
    {
        std::vector<Server *> ready;
        for (Server &server : servers_) {
            if (server.readyAt <= now_ && !server.isLeaving) {
                ready.push_back(&server);
            }
        }
        Server *best = nullptr;
        for (int i = 0; i < day_.choices && !ready.empty(); i++) {
            Server *candidate = ready[std::uniform_int_distribution<std::size_t>(0, ready.size() - 1)(random_)];
            best = !best || startAt(*candidate) < startAt(*best) ? candidate : best;
        }
        return best;
    }

    double startAt(const Server &server) const
    {
        return std::max({now_, server.busyUntil, *std::min_element(server.slotsFreeAt.begin(), server.slotsFreeAt.end())});
    }

    void send(const ModelRequests &kind)
    {
        auto &window = windows_[static_cast<int>(now_ / 2)];
        window.first++;
        result_.requests++;
        demand_.noteRequest("models", kind.promptTokens, timePoint());
        Server *server = choose();
        if (!server) {
            demand_.noteEnded("models");
            return;
        }
        const double cached = now_ - server->readyAt > CacheWarmSeconds ? 0.5 : 0;
        const double noise = std::uniform_real_distribution<double>(0, 1)(random_) < 0.15 ? 2.5 : 1;
        const double slowness = server->slowness * noise;
        const auto slot = std::min_element(server->slotsFreeAt.begin(), server->slotsFreeAt.end());
        const double firstByteAt = startAt(*server) + static_cast<double>(kind.promptTokens) * (1 - cached) / day_.prefillPerSecond * slowness;
        server->busyUntil = firstByteAt;
        *slot = firstByteAt + kind.decodeSeconds * slowness;
        const bool isInTime = firstByteAt - now_ <= kind.goalSeconds && firstByteAt < server->leavesAt;
        result_.inTime += isInTime ? 1 : 0;
        window.second += isInTime ? 1 : 0;
        events_.push({firstByteAt, firstByteAt - now_, kind.goalSeconds});
        events_.push({*slot});
    }

    void order()
    {
        std::vector<ZoneServers> zones{{"0"}, {"1"}, {"2"}, {"3"}};
        PresentServers present;
        for (const Server &server : servers_) {
            if (server.isLeaving) {
                zones[server.zone].leaving++;
            } else if (server.readyAt <= now_) {
                (server.isReclaimable ? zones[server.zone].reclaimable : zones[server.zone].ordinary)++;
                (server.isReclaimable ? present.reclaimable : present.ordinary)++;
            }
        }
        present.isReclaimableUnavailable = wasRefused_;
        present.recentReclaims = countRecentReclaims(reclaims_, zones, timePoint());
        const auto measured =
            day_.isPrefillMeasured && now_ > day_.firstRequestAt + 2 ? std::optional(pace::FirstByteModel{{}, day_.prefillPerSecond}) : std::nullopt;
        rescaleDemand(history_, updateCapacity(capacity_, measured, timePoint()));
        const auto loads = demand_.loads(timePoint());
        const double need = neededServers(sumLoads(loads, presence::nameHash("models")), service_, capacity_);
        const CapacityTarget target = updateTarget(history_, need, present, Zones, scaling_, timePoint());
        wasRefused_ = false;
        for (const ServerOrder &order : planOrders("models", scaling_, zones, target)) {
            apply(order);
        }
    }

    void apply(const ServerOrder &order)
    {
        const std::size_t zone = static_cast<std::size_t>(std::stoi(order.zone));
        std::vector<Server *> own;
        for (Server &server : servers_) {
            if (server.zone == zone && server.isReclaimable == order.isReclaimable && !server.isLeaving) {
                own.push_back(&server);
            }
        }
        const int missing = order.wanted - static_cast<int>(own.size());
        const bool isOutOfStock = !day_.reclaimsAt.empty() && now_ >= day_.reclaimsAt.front() && now_ < day_.outOfStockUntil;
        if (missing > 0 && order.isReclaimable && isOutOfStock) {
            wasRefused_ = true;
            return;
        }
        result_.orders += missing != 0 ? 1 : 0;
        for (int i = 0; i < -missing; i++) {
            leave(*own[own.size() - 1 - static_cast<std::size_t>(i)], 3);
        }
        for (int i = 0; i < missing; i++) {
            add(zone, order.isReclaimable, now_ + 4);
        }
    }

    void bill()
    {
        for (const Server &server : servers_) {
            (server.isReclaimable ? result_.reclaimableSeconds : result_.ordinarySeconds) += Step;
        }
        result_.mostServers = std::max(result_.mostServers, static_cast<int>(servers_.size()));
    }

    ModelDay day_;
    std::mt19937 random_;
    double now_ = 0;
    std::vector<Server> servers_;
    std::priority_queue<Event> events_;
    forwarding::ServiceDemand demand_;
    manifest::Service service_;
    manifest::Scaling scaling_;
    DemandHistory history_;
    ServerCapacity capacity_;
    ReclaimHistory reclaims_;
    bool wasRefused_ = false;
    std::map<int, std::pair<int, int>> windows_; ///< Requests and those in time, by time.
    ModelResult result_;
};

} // namespace cardamomlift::duties
