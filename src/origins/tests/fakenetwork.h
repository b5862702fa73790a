#pragma once

#include "kernel/eventloop.h"
#include "presence/datagramsocket.h"

#include <map>
#include <memory>
#include <set>
#include <string>

namespace cardamomlift::origins {

/// Datagrams between VMs of one test, delivered by the event loop.
struct FakeNetwork {
    EventLoop *loop = nullptr;
    std::map<http1::Endpoint, presence::DatagramSocket::Handler> handlers;
    std::set<http1::Endpoint> cutOff; ///< Nothing reaches these VMs, and nothing comes from them.
    std::size_t datagrams = 0;
    std::size_t bytes = 0;
};

/// The socket of one VM.
class FakeSocket : public presence::DatagramSocket
{
public:
    FakeSocket(std::shared_ptr<FakeNetwork> network, http1::Endpoint self)
        : network_(std::move(network))
        , self_(std::move(self))
    {
    }

    ~FakeSocket() override
    {
        network_->handlers.erase(self_);
    }

    void send(const http1::Endpoint &to, std::string_view bytes) override
    {
        network_->datagrams++;
        network_->bytes += bytes.size();
        if (network_->cutOff.contains(self_) || network_->cutOff.contains(to)) {
            return;
        }
        network_->loop->post([network = network_, to, copy = std::string(bytes)] {
            const auto handler = network->handlers.find(to);
            if (handler != network->handlers.end()) {
                handler->second(copy);
            }
        });
    }

    void onDatagram(Handler handler) override
    {
        network_->handlers[self_] = std::move(handler);
    }

private:
    std::shared_ptr<FakeNetwork> network_;
    http1::Endpoint self_;
};

} // namespace cardamomlift::origins
