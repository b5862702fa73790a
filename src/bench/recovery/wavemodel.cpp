#include "bench/recovery/wavemodel.h"

#include "recovery/recoverydecision.h"

#include <algorithm>
#include <random>

namespace cardamomlift::bench {

namespace {

using recovery::RecoveryMethod;

constexpr Duration Step = std::chrono::milliseconds(5);
constexpr Duration AssumedNotice = std::chrono::seconds(2); ///< As in RecoveringClient.
constexpr double ReconnectMs = 2;
constexpr double MicrosPerMilli = 1000;

double toMs(Duration duration)
{
    return static_cast<double>(duration.count()) / MicrosPerMilli;
}

struct Stream {
    std::int64_t prompt = 0;
    std::int64_t soFar = 0;
    std::int64_t left = 0;
    std::size_t entry = 0;
    bool transferring = false;
    double bytesLeft = 0; ///< Of its transfer.
    std::int64_t madeMeanwhile = 0; ///< Tokens since its transfer started.
    bool done = false;
};

/// The measured rates of one entry VM and its transfers.
struct EntryVm {
    std::int64_t bytesInFlight = 0;
    std::size_t transfers = 0;
    bool isKvRateKnown = false;
    std::int64_t prefillInFlight = 0;
};

class Model
{
public:
    Model(const Wave &wave, Policy policy, unsigned seed)
        : wave_(wave)
        , policy_(policy)
        , entries_(static_cast<std::size_t>(wave.entryVms))
        , busyUntilMs_(static_cast<std::size_t>(wave.survivors), 0)
        , start_(clock_.now())
    {
        std::mt19937 random(seed);
        const auto below = [&](std::int64_t bound) {
            return static_cast<std::int64_t>(random() % static_cast<std::uint64_t>(bound));
        };
        for (int i = 0; i < wave.servers * wave.streamsPerServer; i++) {
            Stream stream;
            // One in three is long copy, the others are questions and tags.
            stream.prompt = i % 3 == 0 ? wave.longestPrompt / 4 + below(wave.longestPrompt * 3 / 4) : 50 + below(400);
            stream.soFar = 1 + below(300);
            stream.left = 1 + below(400);
            stream.entry = static_cast<std::size_t>(i) % entries_.size();
            streams_.push_back(stream);
        }
    }

    WaveResult run()
    {
        while (std::any_of(streams_.begin(), streams_.end(), [](const Stream &stream) { return !stream.done; })) {
            if (elapsed() >= wave_.notice) {
                killServers();
                break;
            }
            judge();
            clock_.advance(Step);
            carryBytes();
            makeTokens();
        }
        std::sort(result_.gapsMs.begin(), result_.gapsMs.end());
        return result_;
    }

private:
    Duration elapsed() const
    {
        return std::chrono::duration_cast<Duration>(clock_.now() - start_);
    }

    void judge()
    {
        for (Stream &stream : streams_) {
            if (stream.done || stream.transferring) {
                continue;
            }
            if (policy_ == Policy::AlwaysRecompute) {
                recompute(stream, uncached(stream));
            } else if (policy_ == Policy::Decision) {
                carryOut(stream, recovery::planRecovery(inputsOf(stream)).method);
            }
        }
    }

    recovery::RecoveryInputs inputsOf(const Stream &stream) const
    {
        const EntryVm &entry = entries_[stream.entry];
        recovery::RecoveryInputs inputs;
        inputs.promptTokens = stream.prompt;
        inputs.tokensSoFar = stream.soFar;
        inputs.tokensLeft = stream.left;
        inputs.reclaimLeft = std::max(Duration(0), AssumedNotice - elapsed());
        inputs.betweenTokens = wave_.betweenTokens;
        inputs.cachedShareAtTarget = wave_.cachedShare;
        inputs.prefillTokensPerMs = wave_.prefillTokensPerMs;
        inputs.prefillQueueTokens = entry.prefillInFlight;
        inputs.canMoveKv = bytesOf(stream) <= recovery::MaxTransferBytes;
        inputs.isKvRateKnown = entry.isKvRateKnown;
        inputs.kvBytesPerToken = static_cast<double>(wave_.kvBytesPerToken);
        inputs.kvBytesPerMs = wave_.kvBytesPerMs;
        inputs.kvQueueBytes = entry.bytesInFlight;
        return inputs;
    }

    void carryOut(Stream &stream, RecoveryMethod method)
    {
        EntryVm &entry = entries_[stream.entry];
        if (method == RecoveryMethod::Recompute) {
            recompute(stream, uncached(stream));
        }
        if (method != RecoveryMethod::MoveKv || !recovery::canStartTransfer(bytesOf(stream), entry.bytesInFlight, entry.transfers, entry.isKvRateKnown)) {
            return;
        }
        stream.transferring = true;
        stream.bytesLeft = static_cast<double>(bytesOf(stream));
        stream.madeMeanwhile = 0;
        entry.bytesInFlight += bytesOf(stream);
        entry.transfers++;
    }

    /// Transfers through one entry VM share its rate.
    void carryBytes()
    {
        for (Stream &stream : streams_) {
            if (!stream.transferring) {
                continue;
            }
            EntryVm &entry = entries_[stream.entry];
            stream.bytesLeft -= wave_.kvBytesPerMs * toMs(Step) / static_cast<double>(entry.transfers);
            if (stream.bytesLeft > 0) {
                continue;
            }
            stream.transferring = false;
            entry.transfers--;
            entry.bytesInFlight -= bytesOf(stream, stream.soFar - stream.madeMeanwhile);
            entry.isKvRateKnown = true;
            continueElsewhere(stream, stream.madeMeanwhile);
            result_.movedKv++;
        }
    }

    void makeTokens()
    {
        const auto made = elapsed() / wave_.betweenTokens - (elapsed() - Step) / wave_.betweenTokens;
        for (Stream &stream : streams_) {
            if (stream.done) {
                continue;
            }
            stream.soFar += made;
            stream.madeMeanwhile += made;
            stream.left -= made;
            if (stream.left <= 0 && !stream.transferring) {
                stream.done = true;
                result_.stayed++;
                result_.gapsMs.push_back(0);
            }
        }
    }

    void killServers()
    {
        for (Stream &stream : streams_) {
            if (!stream.done) {
                result_.broken++;
                recompute(stream, uncached(stream));
            }
        }
    }

    void recompute(Stream &stream, std::int64_t tokens)
    {
        result_.recomputed++;
        continueElsewhere(stream, tokens);
    }

    /// The surviving servers take the streams in turn and compute one prompt after the other.
    void continueElsewhere(Stream &stream, std::int64_t tokens)
    {
        double &busyUntil = busyUntilMs_[next_++ % busyUntilMs_.size()];
        const double now = toMs(elapsed());
        busyUntil = std::max(busyUntil, now) + static_cast<double>(tokens) / wave_.prefillTokensPerMs;
        result_.recomputedTokens += tokens;
        result_.gapsMs.push_back(busyUntil - now + ReconnectMs);
        stream.done = true;
    }

    std::int64_t uncached(const Stream &stream) const
    {
        return static_cast<std::int64_t>(static_cast<double>(stream.prompt) * (1 - wave_.cachedShare)) + stream.soFar;
    }

    std::int64_t bytesOf(const Stream &stream, std::int64_t soFar) const
    {
        return (stream.prompt + soFar) * wave_.kvBytesPerToken;
    }

    std::int64_t bytesOf(const Stream &stream) const
    {
        return bytesOf(stream, stream.soFar);
    }

    const Wave &wave_;
    Policy policy_;
    ManualClock clock_;
    std::vector<EntryVm> entries_;
    std::vector<double> busyUntilMs_;
    TimePoint start_;
    std::size_t next_ = 0;
    std::vector<Stream> streams_;
    WaveResult result_;
};

} // namespace

WaveResult runWave(const Wave &wave, Policy policy, unsigned seed)
{
    return Model(wave, policy, seed).run();
}

} // namespace cardamomlift::bench
