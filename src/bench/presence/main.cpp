// What the entry VMs tell each other costs, and how old what each knows of all others is, by the number of VMs: real
// Presence objects on a paused clock, with datagrams that are lost now and then. --check ends with 1 if a bound is broken;
// --vms N,N... plays other sizes.

#include "presence/presence.h"
#include "rows/memoryrowstore.h"

#include <boost/program_options.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <map>
#include <random>

namespace {

using namespace cardamomlift;
using namespace cardamomlift::presence;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t Zones = 6;
constexpr std::size_t Customers = 40;
constexpr double Loss = 0.025; ///< Part of the datagrams.
constexpr Duration Delay = milliseconds(2); ///< Of a datagram.
constexpr Duration Settle = seconds(5);
constexpr Duration Measured = seconds(4);
constexpr Duration Step = milliseconds(10);
constexpr std::size_t OneGroupVms = 24;

// Bounds of --check. Datagrams sent by a VM in a second, as a multiple of the root of the VMs: 66 are sent by each of 24.
constexpr double MostDatagramsByRoot = 14;
/// 95 of 100 sums that a VM knows of another group are no older.
constexpr Duration MostAge = milliseconds(2500);

/// Brings datagrams to the VMs of one process.
class Network
{
public:
    explicit Network(EventLoop &loop)
        : loop_(loop)
    {
    }

    void send(const http1::Endpoint &to, std::string_view bytes)
    {
        sent++;
        this->bytes += bytes.size();
        if (std::bernoulli_distribution(Loss)(random_)) {
            return;
        }
        loop_.after(Delay, [this, to, text = std::string(bytes)] {
            const auto handler = handlers.find(to);
            if (handler != handlers.end()) {
                handler->second(text);
            }
        });
    }

    std::size_t sent = 0;
    std::size_t bytes = 0;
    std::map<http1::Endpoint, DatagramSocket::Handler> handlers;

private:
    EventLoop &loop_;
    std::mt19937 random_{1};
};

class NetworkEnd : public DatagramSocket
{
public:
    NetworkEnd(Network &network, http1::Endpoint endpoint)
        : network_(network)
        , endpoint_(std::move(endpoint))
    {
    }

    void send(const http1::Endpoint &to, std::string_view bytes) override
    {
        network_.send(to, bytes);
    }

    void onDatagram(Handler handler) override
    {
        network_.handlers[endpoint_] = std::move(handler);
    }

private:
    Network &network_;
    http1::Endpoint endpoint_;
};

struct FleetCost {
    double datagrams = 0; ///< Sent by a VM in a second.
    double kilobytes = 0; ///< The same.
    std::vector<Duration> ages; ///< Of what VMs know of each other VM, or of its group's sum.
};

class Fleet
{
public:
    explicit Fleet(std::size_t vms)
    {
        log_ = eventlog::EventLog::create(clock_, "bench", [](std::string_view) { return true; });
        for (std::size_t i = 0; i < vms; i++) {
            start(i);
        }
    }

    FleetCost run()
    {
        pass(Settle);
        const std::size_t sent = network_.sent;
        const std::size_t bytes = network_.bytes;
        pass(Measured);
        const double vmSeconds = static_cast<double>(vms_.size()) * std::chrono::duration<double>(Measured).count();
        FleetCost result;
        result.datagrams = static_cast<double>(network_.sent - sent) / vmSeconds;
        result.kilobytes = static_cast<double>(network_.bytes - bytes) / vmSeconds / 1000;
        for (const auto &vm : vms_) {
            collectAges(*vm, result.ages);
        }
        std::sort(result.ages.begin(), result.ages.end());
        return result;
    }

private:
    void start(std::size_t index)
    {
        PresenceTools tools;
        tools.loop = loop_.get();
        tools.store = rows::MemoryRowStore::create(*loop_, rows_);
        tools.log = log_;
        tools.instance = "vm-" + std::to_string(index);
        tools.zone = "zone-" + std::to_string(index % Zones);
        tools.endpoint = {"10.0.0.1", static_cast<std::uint16_t>(1000 + index)};
        tools.incarnation = 1'000'000 * (index + 1);
        tools.socket = std::make_shared<NetworkEnd>(network_, tools.endpoint);
        const auto vm = Presence::start(std::move(tools));
        vm->addStatusContributor([this](Status &status) {
            for (std::size_t i = 0; i < Customers; i++) {
                // The time stands in for a counter: a sum of them over its VMs says how old it is.
                status.demands.push_back({i, 1, std::chrono::duration<double>(loop_->now().time_since_epoch()).count()});
            }
        });
        vms_.push_back(vm);
    }

    void pass(Duration time)
    {
        for (Duration passed(0); passed < time; passed += Step) {
            loop_->runDue();
            clock_.advance(Step);
        }
        loop_->runDue();
    }

    void collectAges(const Presence &vm, std::vector<Duration> &ages) const
    {
        const double now = std::chrono::duration<double>(loop_->now().time_since_epoch()).count();
        for (const Peer *peer : vm.recentlyHeard(Settle)) {
            if (peer->status->demands.empty()) {
                continue;
            }
            const CustomerDemand &demand = peer->status->demands.front();
            ages.push_back(std::chrono::duration_cast<Duration>(std::chrono::duration<double>(now - demand.admittedTotal / demand.perSecond)));
        }
    }

    ManualClock clock_;
    std::unique_ptr<EventLoop> loop_ = std::move(EventLoop::create(clock_).value());
    Network network_{*loop_};
    std::shared_ptr<eventlog::EventLog> log_;
    std::shared_ptr<rows::MemoryRows> rows_ = std::make_shared<rows::MemoryRows>();
    std::vector<std::shared_ptr<Presence>> vms_;
};

std::int64_t ageAt(const FleetCost &result, double part)
{
    const auto place = static_cast<std::size_t>(part * static_cast<double>(result.ages.size() - 1));
    return std::chrono::duration_cast<milliseconds>(result.ages[place]).count();
}

bool holds(std::size_t vms, const FleetCost &result)
{
    const double most = MostDatagramsByRoot * std::sqrt(static_cast<double>(std::max(vms, OneGroupVms)));
    return result.datagrams <= most && milliseconds(ageAt(result, 0.95)) <= MostAge;
}

} // namespace

int main(int argc, char **argv)
{
    namespace options = boost::program_options;
    options::options_description description("bench-presence");
    std::vector<std::size_t> sizes;
    description.add_options()("check", "end with 1 if a bound is broken")(
        "vms", options::value(&sizes)->multitoken()->default_value({8, 30, 90, 300}, "8 30 90 300"), "numbers of VMs");
    options::variables_map given;
    options::store(options::parse_command_line(argc, argv, description), given);
    options::notify(given);
    bool isSound = true;
    for (const std::size_t vms : sizes) {
        const FleetCost result = Fleet(vms).run();
        isSound = isSound && holds(vms, result);
        fmt::print("{:5} VMs: {:6.1f} datagrams and {:7.1f} KB sent by a VM in a second; what is known is {} ms old (p50), {} (p95), {} (most)\n",
            vms,
            result.datagrams,
            result.kilobytes,
            ageAt(result, 0.5),
            ageAt(result, 0.95),
            ageAt(result, 1));
    }
    return given.contains("check") && !isSound ? 1 : 0;
}
