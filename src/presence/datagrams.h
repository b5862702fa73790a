#pragma once

#include "http1/http1types.h"
#include "kernel/eventloop.h"
#include "kernel/result.h"

#include <functional>
#include <memory>
#include <string_view>

namespace cardamomlift::presence {

/// Sends and takes datagrams between entry VMs. Any of them may be lost, doubled or late.
class Datagrams
{
public:
    using Handler = std::function<void(std::string_view bytes)>;
    virtual ~Datagrams() = default;
    virtual void send(const http1::Endpoint &to, std::string_view bytes) = 0;
    virtual void onDatagram(Handler handler) = 0;
};

/// UDP on one port.
class UdpDatagrams : public Datagrams
{
public:
    static Result<std::shared_ptr<UdpDatagrams>> open(EventLoop &loop, const http1::Endpoint &at);
    ~UdpDatagrams() override;
    void send(const http1::Endpoint &to, std::string_view bytes) override;
    void onDatagram(Handler handler) override;

private:
    struct Impl;
    UdpDatagrams();
    std::unique_ptr<Impl> impl_;
};

} // namespace cardamomlift::presence
