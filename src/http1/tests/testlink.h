#pragma once

#include "http1/tests/looptest.h"

#include <ev.h>
#include <fcntl.h>
#include <netinet/in.h>

#include <array>
#include <list>
#include <memory>
#include <vector>

namespace cardamomlift::http1 {

/// A TCP port that passes connections on to a port of 127.0.0.1, and can be cut in several ways. It listens at an address that no other
/// process uses, so that a port that is closed for a time is not taken by another test.
class TestLink
{
public:
    TestLink(EventLoop &loop, std::uint16_t target)
        : loop_(loop)
        , target_(target)
    {
        open();
    }

    ~TestLink()
    {
        stopListening();
        closeAll();
    }

    TestLink(const TestLink &) = delete;
    TestLink &operator=(const TestLink &) = delete;

    Endpoint endpoint() const
    {
        return {ownAddress(), port_};
    }

    /// New connections are refused; open ones live on.
    void refuseNew()
    {
        stopListening();
    }

    /// New connections are refused, and open ones are reset.
    void reset()
    {
        stopListening();
        closeAll();
    }

    /// New connections get no answer, and nothing gets through open ones.
    void hang()
    {
        stopListening();
        for (const auto &pipe : pipes_) {
            pipe->pause();
        }
        // A queue of connections that is full: further ones are dropped without an answer.
        listener_ = listenOn(0);
        for (int i = 0; i < Fillers; i++) {
            fillers_.push_back(connectTo(endpoint()));
        }
    }

    /// Ends a cut. What was held back gets through now.
    void open()
    {
        stopListening();
        listener_ = listenOn(Backlog);
        watcher_.data = this;
        ev_io_init(
            &watcher_, [](struct ev_loop *, ev_io *watcher, int) { static_cast<TestLink *>(watcher->data)->accept(); }, listener_, EV_READ);
        ev_io_start(loop_.raw(), &watcher_);
        for (const auto &pipe : pipes_) {
            pipe->resume();
        }
    }

    /// Ends a cut in which the other ends of all open connections have been closed: they are reset when they are used.
    void openWithDeadConnections()
    {
        open();
        for (const auto &pipe : pipes_) {
            pipe->resetWhenUsed();
        }
    }

    /// Connections that have been accepted so far.
    int accepted() const
    {
        return accepted_;
    }

private:
    static constexpr int Backlog = 64;
    static constexpr int Fillers = 3;

    /// One connection and the one made for it to the target.
    class Pipe
    {
    public:
        Pipe(EventLoop &loop, int client, int server)
            : loop_(loop)
            , descriptors_{client, server}
        {
            for (std::size_t i = 0; i < watchers_.size(); i++) {
                watchers_[i].data = this;
                ev_io_init(
                    &watchers_[i],
                    [](struct ev_loop *, ev_io *watcher, int) { static_cast<Pipe *>(watcher->data)->pass(watcher->fd); },
                    descriptors_[i],
                    EV_READ);
            }
            resume();
        }

        ~Pipe()
        {
            pause();
            for (const int descriptor : descriptors_) {
                const linger immediately{1, 0};
                setsockopt(descriptor, SOL_SOCKET, SO_LINGER, &immediately, sizeof immediately);
                ::close(descriptor);
            }
        }

        Pipe(const Pipe &) = delete;
        Pipe &operator=(const Pipe &) = delete;

        void resetWhenUsed()
        {
            isDead_ = true;
        }

        void pause()
        {
            for (ev_io &watcher : watchers_) {
                ev_io_stop(loop_.raw(), &watcher);
            }
        }

        void resume()
        {
            for (ev_io &watcher : watchers_) {
                ev_io_start(loop_.raw(), &watcher);
            }
        }

    private:
        void pass(int from)
        {
            const std::size_t side = from == descriptors_[0] ? 0 : 1;
            std::array<char, 65536> buffer;
            const ssize_t count = ::recv(from, buffer.data(), buffer.size(), MSG_DONTWAIT);
            if (isDead_) {
                pause();
                const linger immediately{1, 0};
                setsockopt(descriptors_[0], SOL_SOCKET, SO_LINGER, &immediately, sizeof immediately);
                ::close(descriptors_[0]);
                descriptors_[0] = -1;
                return;
            }
            if (count > 0) {
                ::send(descriptors_[1 - side], buffer.data(), static_cast<std::size_t>(count), MSG_NOSIGNAL);
                return;
            }
            if (count == 0) {
                ::shutdown(descriptors_[1 - side], SHUT_WR);
            } else {
                ::shutdown(descriptors_[1 - side], SHUT_RDWR);
            }
            ev_io_stop(loop_.raw(), &watchers_[side]);
        }

        EventLoop &loop_;
        std::array<int, 2> descriptors_;
        std::array<ev_io, 2> watchers_{};
        bool isDead_ = false;
    };

    static std::string ownAddress()
    {
        constexpr int FirstNetwork = 210; // 127.0.x.x to 127.209.x.x are used by process tests.
        constexpr int Networks = 40;
        const int process = static_cast<int>(getpid());
        return "127." + std::to_string(FirstNetwork + process / 65536 % Networks) + "." + std::to_string(process / 256 % 256) + "."
            + std::to_string(process % 256);
    }

    static sockaddr_in addressOf(const Endpoint &endpoint)
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(endpoint.port);
        inet_pton(AF_INET, endpoint.address.c_str(), &address.sin_addr);
        return address;
    }

    static int connectTo(const Endpoint &endpoint)
    {
        const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
        const sockaddr_in address = addressOf(endpoint);
        ::connect(descriptor, reinterpret_cast<const sockaddr *>(&address), sizeof address);
        return descriptor;
    }

    int listenOn(int backlog)
    {
        const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
        const int on = 1;
        setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        sockaddr_in address = addressOf(endpoint());
        EXPECT_EQ(::bind(descriptor, reinterpret_cast<const sockaddr *>(&address), sizeof address), 0);
        EXPECT_EQ(::listen(descriptor, backlog), 0);
        socklen_t size = sizeof address;
        getsockname(descriptor, reinterpret_cast<sockaddr *>(&address), &size);
        port_ = ntohs(address.sin_port);
        return descriptor;
    }

    void stopListening()
    {
        ev_io_stop(loop_.raw(), &watcher_);
        for (const int filler : fillers_) {
            ::close(filler);
        }
        fillers_.clear();
        if (listener_ >= 0) {
            ::close(listener_);
            listener_ = -1;
        }
    }

    void closeAll()
    {
        pipes_.clear();
    }

    void accept()
    {
        const int client = ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
        if (client < 0) {
            return;
        }
        accepted_++;
        pipes_.push_back(std::make_unique<Pipe>(loop_, client, connectTo({"127.0.0.1", target_})));
    }

    EventLoop &loop_;
    std::uint16_t target_;
    std::uint16_t port_ = 0;
    int listener_ = -1;
    int accepted_ = 0;
    ev_io watcher_{};
    std::vector<int> fillers_;
    std::list<std::unique_ptr<Pipe>> pipes_;
};

} // namespace cardamomlift::http1
