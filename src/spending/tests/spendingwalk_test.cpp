#include "kernel/log.h"
#include "spending/spendingkeeper.h"
#include "spending/spendingrules.h"
#include "table/memorytable.h"

#include <fmt/format.h>
#include <gtest/gtest.h>

#include <array>
#include <cmath>

// An exhaustive walk: every sequence of a few steps and faults over two entry VMs. Whatever happens, what was spent and
// what running requests may still spend stays within the bound.

using namespace cardamomlift;
using namespace cardamomlift::spending;

namespace {

constexpr Micros MicrosPerCent = 10000;
constexpr std::int64_t BoundCents = 8;
constexpr std::int64_t LoweredCents = 4;
constexpr Micros Piece = MicrosPerCent / 2;

std::shared_ptr<contract::ContractInForce> contractOf(std::uint64_t version, std::int64_t perDayCents)
{
    auto contract = std::make_shared<contract::ContractInForce>();
    contract->contract.customer = "shop";
    contract->contract.spending = {perDayCents, 100, 1};
    contract->version.version = version;
    return contract;
}

/// A table whose answers may be lost, and whose writes may take effect long after their answer was lost.
class LateTable : public table::Table
{
public:
    LateTable(EventLoop &loop, std::shared_ptr<table::MemoryRows> rows)
        : loop_(loop)
        , rows_(std::move(rows))
    {
    }

    void get(table::Key key, table::GetHandler handler) override
    {
        loop_.post([this, key = std::move(key), handler = std::move(handler)] {
            if (down) {
                handler(failure(ErrorKind::Unavailable, "down"));
                return;
            }
            handler(rows_->get(key));
        });
    }
    void query(std::string, std::string, std::size_t, table::QueryHandler handler) override
    {
        handler(failure(ErrorKind::Unavailable, "not used"));
    }
    void write(table::Write write, table::WriteHandler handler) override
    {
        loop_.post([this, write = std::move(write), handler = std::move(handler)] {
            if (down) {
                handler({table::WriteOutcome::NotWritten, {}, "down"});
                return;
            }
            if (late) {
                lateWrites_.push_back(write);
                handler({table::WriteOutcome::Unknown, {}, "late"});
                return;
            }
            const table::WriteResult result = rows_->transact({&write, 1}, {});
            handler(lose ? table::WriteResult{table::WriteOutcome::Unknown, {}, "lost"} : result);
        });
    }
    void transact(std::vector<table::Write> writes, std::string, table::WriteHandler handler) override
    {
        write(writes.front(), std::move(handler));
    }
    const table::TableCounters &counters() const override
    {
        return counters_;
    }
    void applyLate()
    {
        for (const table::Write &write : std::exchange(lateWrites_, {})) {
            rows_->transact({&write, 1}, {});
        }
    }

    bool down = false;
    bool lose = false;
    bool late = false;

private:
    EventLoop &loop_;
    std::shared_ptr<table::MemoryRows> rows_;
    std::vector<table::Write> lateWrites_;
    table::TableCounters counters_;
};

enum class Event { ReserveA, ReserveB, ReserveHalfRun, SettleA, SettleB, GiveBackA, Down, Lose, Late, LateArrives, Pass, KillA, Lower, Count };

struct Vm {
    std::unique_ptr<LateTable> table;
    std::shared_ptr<SpendingKeeper> keeper;
    std::vector<Reservation> open;
    Micros lost = 0; ///< Reserved by requests of a VM that died: what they used is not known, so all of it counts.
};

class Walk
{
public:
    Walk(EventLoop &loop, ManualClock &clock)
        : loop_(loop)
        , clock_(clock)
    {
        // NOTE A walk must not run over midnight: the next day has a bound of its own.
        if (untilNextDay(clock_.wallNow()) < std::chrono::minutes(1)) {
            clock_.advance(std::chrono::minutes(1));
        }
        for (std::size_t i = 0; i < vms_.size(); i++) {
            vms_[i].table = std::make_unique<LateTable>(loop_, rows_);
            startVm(i, fmt::format("entry-{}", i));
        }
    }

    ~Walk()
    {
        for (Vm &vm : vms_) {
            vm.keeper.reset();
        }
        clock_.advance(std::chrono::seconds(5));
        loop_.runDue();
        loop_.runDue();
    }

    void apply(Event event)
    {
        switch (event) {
        case Event::ReserveA:
            reserve(0, 3 * MicrosPerCent);
            break;
        case Event::ReserveB:
            reserve(1, 3 * MicrosPerCent);
            break;
        case Event::ReserveHalfRun:
            // The table's answer is still under way when the next event comes.
            reserve(0, 2 * MicrosPerCent);
            return;
        case Event::SettleA:
            settle(0);
            break;
        case Event::SettleB:
            settle(1);
            break;
        case Event::GiveBackA:
            vms_[0].keeper->drain();
            break;
        case Event::Down:
            vms_[0].table->down = !vms_[0].table->down;
            break;
        case Event::Lose:
            vms_[0].table->lose = !vms_[0].table->lose;
            break;
        case Event::Late:
            vms_[0].table->late = !vms_[0].table->late;
            break;
        case Event::LateArrives:
            vms_[0].table->applyLate();
            break;
        case Event::Pass:
            clock_.advance(std::chrono::milliseconds(600));
            break;
        case Event::KillA:
            for (const Reservation &reservation : std::exchange(vms_[0].open, {})) {
                vms_[0].lost += reservation.micros;
            }
            startVm(0, fmt::format("entry-0-{}", ++lives_));
            break;
        case Event::Lower:
            lower();
            break;
        case Event::Count:
            break;
        }
        settleDown();
    }

    Micros committed() const
    {
        Micros sum = spent_;
        for (const Vm &vm : vms_) {
            sum += vm.lost;
            for (const Reservation &reservation : vm.open) {
                sum += reservation.micros;
            }
        }
        return sum;
    }

    /// The highest sum that is right now: after the bound was lowered, what was committed then may stay.
    Micros allowed() const
    {
        return std::max(committedAtLower_, bound_ * MicrosPerCent);
    }

    /// All faults end; then one VM spends what nobody has committed or holds.
    void spendRest()
    {
        for (Vm &vm : vms_) {
            vm.table->down = vm.table->lose = vm.table->late = false;
            vm.table->applyLate();
        }
        for (int i = 0; i < 4; i++) {
            clock_.advance(std::chrono::milliseconds(600));
            settleDown();
        }
        for (int i = 0; i < 16; i++) {
            reserve(1, Piece);
            settleDown();
        }
    }

    /// Money of the bound that is neither committed nor held by a VM that runs.
    Micros missing() const
    {
        Micros sum = bound_ * MicrosPerCent - committed();
        for (const Vm &vm : vms_) {
            sum -= vm.keeper->view({"shop", dayOf(clock_.wallNow())}).held;
        }
        return sum;
    }

    bool hasKilled() const
    {
        return lives_ > 0;
    }

private:
    void startVm(std::size_t index, const std::string &instance)
    {
        contracts_[index] = contract::ContractSet::create();
        vms_[index].keeper =
            SpendingKeeper::create({&loop_, instance, std::shared_ptr<table::Table>(vms_[index].table.get(), [](auto *) {}), contracts_[index]});
    }
    void reserve(std::size_t index, Micros micros)
    {
        Vm &vm = vms_[index];
        // A request that a dead VM had not yet let in never runs.
        const std::weak_ptr<SpendingKeeper> keeper = vm.keeper;
        vm.keeper->reserve(*contract_, micros, [&vm, keeper](const ReserveResult &result) {
            if (result.outcome == ReserveOutcome::Reserved && keeper.lock() == vm.keeper) {
                vm.open.push_back(result.reservation);
            }
        });
    }
    void settle(std::size_t index)
    {
        Vm &vm = vms_[index];
        if (vm.open.empty()) {
            return;
        }
        const Reservation reservation = vm.open.back();
        vm.open.pop_back();
        spent_ += reservation.micros / 3;
        vm.keeper->settle(reservation, reservation.micros / 3);
    }
    void lower()
    {
        if (bound_ == LoweredCents) {
            return;
        }
        bound_ = LoweredCents;
        contract_ = contractOf(2, bound_);
        committedAtLower_ = committed();
        for (const auto &contracts : contracts_) {
            contracts->applyIfNewer({"shop", 2, 2, text(), "tester", "edit-2", 0});
        }
    }
    static std::string text()
    {
        return fmt::format(R"({{"customer": "shop", "keys": [], "classes": [{{"name": "quick", "priority": "urgent", "firstTokenMs": 500}}],
            "models": [{{"model": "m", "class": "quick", "maxOutputTokens": 100}}],
            "limits": {{"requestsPerSecond": 10, "openRequests": 20, "tokensPerMinute": 30000}},
            "spending": {{"perDayCents": {}, "centsPerMillionTokens": 100, "centsPerThousandCalls": 1}}}})",
            LoweredCents);
    }
    void settleDown()
    {
        constexpr int Rounds = 6;
        for (int i = 0; i < Rounds; i++) {
            clock_.advance(std::chrono::milliseconds(10));
            loop_.runDue();
        }
    }

    EventLoop &loop_;
    ManualClock &clock_;
    std::shared_ptr<table::MemoryRows> rows_ = std::make_shared<table::MemoryRows>();
    std::array<Vm, 2> vms_;
    std::array<std::shared_ptr<contract::ContractSet>, 2> contracts_;
    std::shared_ptr<contract::ContractInForce> contract_ = contractOf(1, BoundCents);
    std::int64_t bound_ = BoundCents;
    Micros committedAtLower_ = 0;
    Micros spent_ = 0;
    int lives_ = 0;
};

constexpr int Length = 4;
constexpr int Events = static_cast<int>(Event::Count);

std::string describe(const std::array<Event, Length> &sequence)
{
    std::string text;
    for (const Event event : sequence) {
        text += fmt::format("{} ", static_cast<int>(event));
    }
    return text;
}

} // namespace

TEST(SpendingWalk, NoSequenceOfStepsAndFaultsPassesTheBound)
{
    setLogLevel("error");
    ManualClock clock;
    const auto loop = std::move(EventLoop::create(clock).value());
    std::array<Event, Length> sequence{};
    const int all = static_cast<int>(std::pow(Events, Length));
    for (int number = 0; number < all * 2; number++) {
        int rest = number / 2;
        for (Event &event : sequence) {
            event = static_cast<Event>(rest % Events);
            rest /= Events;
        }
        Walk walk(*loop, clock);
        if (number % 2 == 1) {
            // From a start at which entry-0 holds money that no request needs.
            walk.apply(Event::ReserveA);
            walk.apply(Event::SettleA);
        }
        for (const Event event : sequence) {
            walk.apply(event);
            ASSERT_LE(walk.committed(), walk.allowed()) << describe(sequence);
        }
        walk.spendRest();
        ASSERT_LE(walk.committed(), walk.allowed()) << "at the end of " << describe(sequence);
        if (!walk.hasKilled()) {
            ASSERT_LT(walk.missing(), Piece) << "money is lost though no VM died: " << describe(sequence);
        }
    }
    setLogLevel("info");
}
