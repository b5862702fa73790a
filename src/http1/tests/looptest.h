#pragma once

#include "kernel/eventloop.h"

#include <gtest/gtest.h>

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <chrono>
#include <functional>
#include <optional>
#include <string>
#include <thread>

namespace cardamomlift::http1 {

/// The system clock until it is paused; from then on only advance() moves it. While it is running, advance() skips time.
class PausableClock : public Clock
{
public:
    TimePoint now() const override
    {
        return pausedAt_ ? *pausedAt_ : system_.now() + skipped_;
    }

    WallTime wallNow() const override
    {
        return system_.wallNow();
    }

    void pause()
    {
        pausedAt_ = now();
    }

    void advance(Duration by)
    {
        if (pausedAt_) {
            *pausedAt_ += by;
            return;
        }
        skipped_ += by;
    }

private:
    SystemClock system_;
    std::optional<TimePoint> pausedAt_;
    Duration skipped_{0};
};

/// Runs an event loop on the real clock, unless a test pauses the clock, until a condition holds.
class LoopTest : public testing::Test
{
protected:
    LoopTest()
    {
        loop_ = std::move(EventLoop::create(clock_).value());
    }

    /// Runs the loop until @p condition holds. The limit only stops a test that would otherwise never end.
    testing::AssertionResult runUntil(const std::function<bool()> &condition)
    {
        constexpr int MaxRounds = 20000;
        for (int i = 0; i < MaxRounds; i++) {
            loop_->runDue();
            if (condition()) {
                return testing::AssertionSuccess();
            }
            std::this_thread::sleep_for(std::chrono::milliseconds(1));
        }
        return testing::AssertionFailure() << "the condition did not hold in time";
    }

    PausableClock clock_;
    std::unique_ptr<EventLoop> loop_;
};

/// A plain client socket that sends raw bytes, and receives them without blocking.
class RawClient
{
public:
    explicit RawClient(std::uint16_t port)
        : descriptor_(::socket(AF_INET, SOCK_STREAM, 0))
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(port);
        inet_pton(AF_INET, "127.0.0.1", &address.sin_addr);
        EXPECT_EQ(::connect(descriptor_, reinterpret_cast<const sockaddr *>(&address), sizeof address), 0);
    }

    ~RawClient()
    {
        close();
    }

    RawClient(const RawClient &) = delete;
    RawClient &operator=(const RawClient &) = delete;

    void send(const std::string &bytes) const
    {
        EXPECT_EQ(::send(descriptor_, bytes.data(), bytes.size(), MSG_NOSIGNAL), static_cast<ssize_t>(bytes.size()));
    }

    /// All bytes received so far.
    const std::string &received()
    {
        char buffer[4096];
        for (;;) {
            const ssize_t count = ::recv(descriptor_, buffer, sizeof buffer, MSG_DONTWAIT);
            if (count <= 0) {
                reset_ = reset_ || (count < 0 && errno == ECONNRESET);
                ended_ = ended_ || count == 0 || reset_;
                return received_;
            }
            received_.append(buffer, static_cast<std::size_t>(count));
        }
    }

    /// True once the server has closed the connection.
    bool hasEnded()
    {
        received();
        return ended_;
    }

    /// True once the connection was reset.
    bool wasReset()
    {
        received();
        return reset_;
    }

    void close()
    {
        if (descriptor_ >= 0) {
            ::close(descriptor_);
            descriptor_ = -1;
        }
    }

private:
    int descriptor_;
    std::string received_;
    bool ended_ = false;
    bool reset_ = false;
};

} // namespace cardamomlift::http1
