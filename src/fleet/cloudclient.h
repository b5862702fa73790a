#pragma once

#include "fleet/fleettypes.h"
#include "http/client.h"
#include "kernel/result.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace cardamomlift::fleet {

/// What became of an order at the cloud.
enum class CloudAnswer {
    Done, ///< Ordered, now or by an earlier order of the same name.
    Refused, ///< No such VM can be had now.
    Unknown, ///< The answer was lost; the next listing tells.
};

/// A create order. The name is chosen by us and never used for anything else, so that a repeat buys nothing twice.
struct CreateOrder {
    std::string name;
    std::string model;
    Offer offer;
};

/// The cloud's interface for VMs, by the published REST form of instances under project and zone.
class Cloud
{
public:
    virtual ~Cloud() = default;
    virtual void list(std::function<void(Result<std::vector<FleetVm>> vms)> handler) = 0;
    virtual void offers(std::function<void(Result<std::vector<Offer>> offers)> handler) = 0;
    virtual void create(const CreateOrder &order, std::function<void(CloudAnswer answer)> handler) = 0;
    virtual void remove(const FleetVm &vm, std::function<void(CloudAnswer answer)> handler) = 0;
};

/// The cloud over HTTP.
class CloudClient : public Cloud
{
public:
    static std::shared_ptr<CloudClient> create(std::shared_ptr<http::Client> client, std::string endpoint);

    void list(std::function<void(Result<std::vector<FleetVm>> vms)> handler) override;
    void offers(std::function<void(Result<std::vector<Offer>> offers)> handler) override;
    void create(const CreateOrder &order, std::function<void(CloudAnswer answer)> handler) override;
    void remove(const FleetVm &vm, std::function<void(CloudAnswer answer)> handler) override;

private:
    CloudClient() = default;
    http::ClientRequest request(const char *method, const std::string &path) const;
    std::shared_ptr<http::Client> client_;
    std::string endpoint_;
};

} // namespace cardamomlift::fleet
