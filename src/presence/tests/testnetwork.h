#pragma once

#include "presence/datagramsocket.h"

#include <map>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace cardamomlift::presence {

/// Network between the VMs of a test. Datagrams can be held back and delivered later, or dropped.
class TestNetwork
{
public:
    void send(const http1::Endpoint &to, std::string_view bytes)
    {
        if (isCut) {
            return;
        }
        sentBytes += bytes.size();
        sentCount++;
        if (loss > 0 && std::bernoulli_distribution(loss)(random_)) {
            return;
        }
        if (isHolding) {
            held.emplace_back(to, std::string(bytes));
            return;
        }
        if (loop != nullptr) {
            loop->post([this, to, text = std::string(bytes)] { deliver(to, text); });
            return;
        }
        deliver(to, bytes);
    }

    void deliver(const http1::Endpoint &to, std::string_view bytes)
    {
        const auto found = handlers.find(to);
        if (found != handlers.end()) {
            found->second(bytes);
        }
    }

    EventLoop *loop = nullptr; ///< Delivers the datagrams; if null, a datagram arrives within the call that sends it.
    bool isCut = false; ///< Drops all datagrams, uncounted.
    bool isHolding = false; ///< Collects datagrams in @c held instead of delivering them.
    double loss = 0; ///< Fraction of the datagrams that are lost.
    std::size_t sentBytes = 0;
    std::size_t sentCount = 0;
    std::vector<std::pair<http1::Endpoint, std::string>> held;
    std::map<http1::Endpoint, DatagramSocket::Handler> handlers;

private:
    std::mt19937 random_{1};
};

/// The socket of one VM in a TestNetwork.
class TestDatagramSocket : public DatagramSocket
{
public:
    TestDatagramSocket(TestNetwork &network, http1::Endpoint endpoint)
        : network_(network)
        , endpoint_(std::move(endpoint))
    {
    }

    void send(const http1::Endpoint &to, std::string_view bytes) override
    {
        if (!isCut) {
            sentCount++;
            network_.send(to, bytes);
        }
    }

    void onDatagram(Handler handler) override
    {
        network_.handlers[endpoint_] = [this, handler = std::move(handler)](std::string_view bytes) {
            if (!isCut) {
                handler(bytes);
            }
        };
    }

    std::size_t sentCount = 0;
    bool isCut = false; ///< This VM neither sends nor receives datagrams.

private:
    TestNetwork &network_;
    http1::Endpoint endpoint_;
};

} // namespace cardamomlift::presence
