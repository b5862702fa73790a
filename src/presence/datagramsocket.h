#pragma once

#include "http1/http1types.h"
#include "kernel/eventloop.h"
#include "kernel/result.h"

#include <functional>
#include <memory>
#include <string_view>

namespace cardamomlift::presence {

/// Sends and receives datagrams between entry VMs. Datagrams may be lost, duplicated, delayed or reordered.
class DatagramSocket
{
public:
    using Handler = std::function<void(std::string_view bytes)>;
    virtual ~DatagramSocket() = default;
    virtual void send(const http1::Endpoint &to, std::string_view bytes) = 0;
    /// Sets the handler of received datagrams and starts to receive.
    virtual void onDatagram(Handler handler) = 0;
};

/// A UDP socket (IPv4).
class UdpDatagramSocket : public DatagramSocket
{
public:
    static Result<std::shared_ptr<UdpDatagramSocket>> open(EventLoop &loop, const http1::Endpoint &at);
    ~UdpDatagramSocket() override;
    void send(const http1::Endpoint &to, std::string_view bytes) override;
    void onDatagram(Handler handler) override;

private:
    struct Impl;
    UdpDatagramSocket();
    std::unique_ptr<Impl> impl_;
};

} // namespace cardamomlift::presence
