#include "membership/vmlist.h"

#include "http/json.h"
#include "kernel/log.h"
#include "text/digest.h"

#include <algorithm>
#include <array>

namespace cardamomlift::membership {

namespace {

constexpr std::array<std::pair<VmRole, std::string_view>, 3> RoleNames{{{VmRole::Entry, "entry"}, {VmRole::Model, "model"}, {VmRole::Service, "service"}}};
constexpr std::array<std::pair<VmState, std::string_view>, 3> StateNames{{{VmState::Live, "live"}, {VmState::Leaving, "leaving"}, {VmState::Gone, "gone"}}};
constexpr Duration ReadTimeout = std::chrono::seconds(2);
constexpr Duration MinReadInterval = std::chrono::milliseconds(500);
constexpr Duration MaxReadInterval = std::chrono::minutes(2);
constexpr Duration FleetReadInterval = std::chrono::milliseconds(250); // Between two reads by any VMs of the fleet.

template<class Enum, std::size_t Size>
std::optional<Enum> byName(const std::array<std::pair<Enum, std::string_view>, Size> &names, const std::string &name)
{
    for (const auto &[value, text] : names) {
        if (text == name) {
            return value;
        }
    }
    return std::nullopt;
}

template<class Enum, std::size_t Size>
std::string nameOf(const std::array<std::pair<Enum, std::string_view>, Size> &names, Enum value)
{
    for (const auto &[entry, text] : names) {
        if (entry == value) {
            return std::string(text);
        }
    }
    return {};
}

std::uint16_t portOf(const Json::Value &json, const char *name)
{
    const std::uint64_t port = http::jsonUnsigned(json, name);
    return port <= UINT16_MAX ? static_cast<std::uint16_t>(port) : std::uint16_t{0};
}

} // namespace

Duration listReadInterval(std::size_t entries)
{
    return std::clamp(FleetReadInterval * static_cast<std::int64_t>(entries), MinReadInterval, MaxReadInterval);
}

Duration listReadDelay(std::size_t entries, const std::string &self, std::uint64_t readNumber)
{
    constexpr std::uint64_t Steps = 1000;
    const Duration interval = listReadInterval(entries);
    const auto fraction = static_cast<std::int64_t>(text::stableHash(self, readNumber) % Steps);
    const auto steps = static_cast<std::int64_t>(Steps);
    // The first delay spreads the VMs over a whole interval; later ones vary by a third around it, which keeps them apart.
    const Duration delay = readNumber == 1 ? interval * fraction / steps : interval * (steps + fraction) * 2 / (steps * 3);
    return std::max(delay, MinReadInterval);
}

std::optional<Vm> vmFromJson(const Json::Value &json)
{
    if (!json.isObject() || !json["instance"].isString() || !json["address"].isString() || !json["zone"].isString()) {
        return std::nullopt;
    }
    const auto role = byName(RoleNames, http::jsonText(json, "role"));
    const auto state = byName(StateNames, http::jsonText(json, "state", "live"));
    if (!role || !state) {
        return std::nullopt;
    }
    Vm vm;
    vm.instance = json["instance"].asString();
    vm.address = json["address"].asString();
    vm.zone = json["zone"].asString();
    vm.region = http::jsonText(json, "region", "default");
    vm.role = *role;
    vm.state = *state;
    vm.port = portOf(json, "port");
    vm.peerPort = portOf(json, "peerPort");
    vm.machineClass = http::jsonText(json, "machineClass");
    vm.microsPerHour = http::jsonInteger(json, "microsPerHour");
    vm.reclaimable = http::jsonFlag(json, "reclaimable", true);
    vm.checksFencing = http::jsonFlag(json, "checksFencing");
    for (const Json::Value &name : json["serves"]) {
        if (name.isString()) {
            vm.serves.push_back(name.asString());
        }
    }
    return vm;
}

Json::Value vmToJson(const Vm &vm)
{
    Json::Value json;
    json["instance"] = vm.instance;
    json["address"] = vm.address;
    json["zone"] = vm.zone;
    json["region"] = vm.region;
    json["role"] = nameOf(RoleNames, vm.role);
    json["state"] = nameOf(StateNames, vm.state);
    json["port"] = vm.port;
    json["peerPort"] = vm.peerPort;
    json["machineClass"] = vm.machineClass;
    json["microsPerHour"] = static_cast<Json::Int64>(vm.microsPerHour);
    json["reclaimable"] = vm.reclaimable;
    json["checksFencing"] = vm.checksFencing;
    json["serves"] = Json::Value(Json::arrayValue);
    for (const std::string &name : vm.serves) {
        json["serves"].append(name);
    }
    return json;
}

std::shared_ptr<VmListReader> VmListReader::create(
    EventLoop &loop, std::shared_ptr<http::Client> client, std::shared_ptr<Members> members, std::string endpoint)
{
    std::shared_ptr<VmListReader> reader(new VmListReader);
    reader->loop_ = &loop;
    reader->client_ = std::move(client);
    reader->members_ = std::move(members);
    reader->endpoint_ = std::move(endpoint);
    return reader;
}

void VmListReader::start()
{
    read();
}

void VmListReader::onFirstSeen(std::function<void(const Vm &vm)> handler)
{
    firstSeenHandler_ = std::move(handler);
}

bool VmListReader::hasRead() const
{
    return hasRead_;
}

const VmListCounters &VmListReader::counters() const
{
    return counters_;
}

void VmListReader::scheduleRead()
{
    // Until the first successful read, this VM knows no peers that could publish VMs to it, so it retries quickly.
    const Duration delay = hasRead_ ? listReadDelay(members_->peers().size() + 1, members_->self(), ++readCount_) : MinReadInterval;
    loop_->after(delay, [this] { read(); });
}

void VmListReader::read()
{
    http::ClientRequest request;
    request.url = endpoint_ + "/vms";
    request.timeout = ReadTimeout;
    http::ClientHooks hooks;
    hooks.onDone = [this](const http::ClientResult &result) {
        counters_.reads++;
        counters_.bytesSent += result.bytesSent;
        counters_.bytesReceived += result.bytesReceived;
        const auto json = result.status == 200 ? http::parseJson(result.body) : std::nullopt;
        const Json::Value &vms = json ? http::jsonMember(*json, "vms") : Json::Value::nullSingleton();
        if (!vms.isArray()) {
            partLogger("membership")->warn("The platform's VM list can't be read. error={}", result.error);
            scheduleRead();
            return;
        }
        std::vector<Vm> list;
        for (const Json::Value &entry : vms) {
            if (auto vm = vmFromJson(entry)) {
                list.push_back(std::move(*vm));
            }
        }
        onList(list);
        scheduleRead();
    };
    client_->start(std::move(request), std::move(hooks));
}

void VmListReader::onList(std::span<const Vm> list)
{
    std::vector<Vm> firstSeen;
    for (const Vm &vm : list) {
        if (hasRead_ && !members_->find(vm.instance)) {
            firstSeen.push_back(vm);
        }
    }
    hasRead_ = true;
    members_->applyList(list);
    for (const Vm &vm : firstSeen) {
        if (firstSeenHandler_) {
            firstSeenHandler_(vm);
        }
    }
}

} // namespace cardamomlift::membership
