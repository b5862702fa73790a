#pragma once

#include "balancing/choose.h"

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <functional>
#include <random>
#include <span>
#include <string>
#include <vector>

namespace cardamomlift::balancing {

/// A request of the model. Times in seconds.
struct ModelRequest {
    double work = 0; ///< Time in its slot after its prompt is read, at pace 1.
    std::int64_t tokens = 0;
    double goal = 0; ///< Time within which it has to begin (if it has a prompt) or end.
};

/// Servers that process one prompt after the other and several requests at once, and the VMs that choose among them with loads
/// that are some time old.
class ServerModel
{
public:
    struct Settings {
        std::size_t vms = 88;
        std::size_t servers = 90;
        int slots = 16;
        double reportAge = 0.15; ///< Age of what VMs know of the servers' open requests.
        double statusPeriod = 0.35; ///< VMs tell each other their waiting tokens this often.
        double tokensPerSecond = 100'000;
        double requestsPerSecond = 0; ///< Load of all VMs, as they tell each other.
        double promptTokensPerSecond = 0;
        double slowdown = 0; ///< A server that is full takes this much longer, relative to an idle one.
        unsigned seed = 1;
    };

    explicit ServerModel(const Settings &settings)
        : settings_(settings)
        , random_(settings.seed)
        , servers_(settings.servers)
        , entries_(settings.servers)
        , toldPace(settings.servers, 1)
        , truePace(settings.servers, 1)
    {
        for (std::size_t i = 0; i < servers_.size(); i++) {
            servers_[i].server.instance = "server-" + std::to_string(i);
            servers_[i].server.slots = settings.slots;
            entries_[i].slotFreeAt.assign(static_cast<std::size_t>(settings.slots), 0);
        }
    }

    std::vector<Candidate> candidates(std::size_t vm, double now) const
    {
        std::vector<Candidate> result(servers_.size());
        for (std::size_t i = 0; i < servers_.size(); i++) {
            result[i].server = &servers_[i];
            result[i].pace = toldPace[i];
            addLoad(result[i].load, entries_[i], vm, now);
        }
        return result;
    }

    /// Sends @p request from a random VM at @p now; returns the time until it begins, or ends if it has no prompt.
    double send(const ModelRequest &request, double now, ChoiceInput input = {})
    {
        const std::size_t vm = random_() % settings_.vms;
        input.salt = random_();
        input.promptTokens = request.tokens;
        input.peerRequestsPerSecond = settings_.requestsPerSecond;
        input.peerTokensPerSecond = settings_.promptTokensPerSecond;
        for (std::size_t i = 0; i < servers_.size(); i++) {
            input.peerOpenRequests += openAt(i, now);
        }
        const std::vector<Candidate> known = candidates(vm, now);
        const std::size_t chosen = chooser ? chooser(known, input) : *choose(known, input, parameters, timeOf(now));
        return run(chosen, vm, request, now);
    }

    /// Runs @p request at @p server; returns the time until it begins, or ends if it has no prompt.
    double run(std::size_t server, std::size_t vm, const ModelRequest &request, double now)
    {
        Entry &entry = entries_[server];
        std::erase_if(entry.open, [&](const Open &open) { return open.endsAt < now - 1; });
        const auto slot = std::min_element(entry.slotFreeAt.begin(), entry.slotFreeAt.end());
        const double startsAt = std::max(now, *slot);
        const auto running = std::count_if(entry.slotFreeAt.begin(), entry.slotFreeAt.end(), [now](double at) { return at > now; });
        const double pace = truePace[server] * (1 + settings_.slowdown * static_cast<double>(running) / settings_.slots);
        const double readAt = std::max(startsAt, entry.prefillFreeAt) + static_cast<double>(request.tokens) / settings_.tokensPerSecond * pace;
        entry.prefillFreeAt = request.tokens > 0 ? readAt : entry.prefillFreeAt;
        *slot = (request.tokens > 0 ? readAt : startsAt) + request.work * pace;
        entry.open.push_back({vm, request.tokens, now, readAt, *slot});
        entry.total++;
        return (request.tokens > 0 ? readAt : *slot) - now;
    }

    std::size_t sentTo(std::size_t server) const
    {
        return entries_[server].total;
    }

    int openAt(std::size_t server, double now) const
    {
        const auto &open = entries_[server].open;
        return static_cast<int>(std::count_if(open.begin(), open.end(), [now](const Open &entry) { return entry.endsAt > now; }));
    }

    std::mt19937_64 &random()
    {
        return random_;
    }

private:
    struct Open {
        std::size_t vm = 0;
        std::int64_t tokens = 0;
        double sentAt = 0;
        double beginsAt = 0;
        double endsAt = 0;
    };
    struct Entry {
        std::vector<double> slotFreeAt;
        double prefillFreeAt = 0;
        std::vector<Open> open;
        std::size_t total = 0;
    };

    static TimePoint timeOf(double now)
    {
        return TimePoint(std::chrono::hours(1)) + Duration(static_cast<std::int64_t>(now * 1e6));
    }

    /// When the last status of @p vm was sent.
    double statusAt(std::size_t vm, double now) const
    {
        const double phase = settings_.statusPeriod * static_cast<double>(vm) / static_cast<double>(settings_.vms);
        return std::floor((now - phase) / settings_.statusPeriod) * settings_.statusPeriod + phase;
    }

    void addLoad(ServerLoad &load, const Entry &entry, std::size_t vm, double now) const
    {
        const double reportedAt = now - settings_.reportAge;
        load.reportedAt = timeOf(reportedAt);
        for (const Open &open : entry.open) {
            load.reportedRequests += open.sentAt <= reportedAt && open.endsAt > reportedAt ? 1 : 0;
            if (open.vm == vm) {
                load.localOpenRequests += open.endsAt > now ? 1 : 0;
                load.localWaitingTokens += open.beginsAt > now ? open.tokens : 0;
                load.sentSinceReport += open.sentAt > reportedAt ? 1 : 0;
                load.sentSinceReport -= open.sentAt <= reportedAt && open.endsAt > reportedAt && open.endsAt <= now ? 1 : 0;
                continue;
            }
            const double toldAt = statusAt(open.vm, now);
            if (open.sentAt <= toldAt && open.beginsAt > toldAt) {
                const double read = (now - toldAt) * settings_.tokensPerSecond;
                load.peerWaitingTokens += std::max<std::int64_t>(0, open.tokens - static_cast<std::int64_t>(read));
            }
        }
    }

    Settings settings_;
    std::mt19937_64 random_;
    std::vector<directory::KnownServer> servers_;
    std::vector<Entry> entries_;

public:
    std::vector<double> toldPace;
    std::vector<double> truePace;
    ChoiceParameters parameters;
    std::function<std::size_t(std::span<const Candidate>, const ChoiceInput &)> chooser; ///< Takes the place of choose().
};

} // namespace cardamomlift::balancing
