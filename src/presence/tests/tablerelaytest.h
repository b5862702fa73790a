#pragma once

#include "presence/tablerelay.h"
#include "presence/tests/testnetwork.h"
#include "rows/memoryrowstore.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace cardamomlift::presence {

inline constexpr std::uint64_t FirstIncarnation = 1'000'000;
inline constexpr Duration MaxTableAge = std::chrono::milliseconds(2800);

/// One VM with a watch of table "t".
struct Vm {
    std::shared_ptr<rows::MemoryRowStore> store;
    std::shared_ptr<TestDatagramSocket> socket;
    std::shared_ptr<Presence> presence;
    std::shared_ptr<TableRelay> relay;
    std::shared_ptr<rows::RowWatch> watch;
    std::map<std::string, std::string> known;
};

/// Several VMs with one store, on a paused clock.
class TableRelayTest : public testing::Test
{
protected:
    TableRelayTest()
    {
        loop_ = std::move(EventLoop::create(clock_).value());
        log_ = eventlog::EventLog::create(clock_, "test", [](std::string_view) { return true; });
    }

    void start(std::size_t count, std::size_t zones = 1)
    {
        zones_ = zones;
        for (std::size_t i = 0; i < count; i++) {
            vms_.push_back(std::make_unique<Vm>());
            startVm(*vms_.back(), i, FirstIncarnation * (i + 1));
        }
    }

    void startVm(Vm &vm, std::size_t index, std::uint64_t incarnation)
    {
        vm.store = rows::MemoryRowStore::create(*loop_, rows_);
        PresenceTools tools;
        tools.loop = loop_.get();
        tools.store = vm.store;
        tools.log = log_;
        tools.instance = "vm-" + std::to_string(index);
        tools.zone = "zone-" + std::to_string(index % zones_);
        tools.endpoint = {"10.0.0.1", static_cast<std::uint16_t>(1000 + index)};
        tools.incarnation = incarnation;
        vm.socket = std::make_shared<TestDatagramSocket>(network_, tools.endpoint);
        tools.socket = vm.socket;
        vm.presence = Presence::start(std::move(tools));
        rows::WatchHandlers handlers;
        handlers.onSnapshot = [&vm](const rows::TableSnapshot &snapshot) {
            vm.known.clear();
            apply(vm, snapshot.rows);
        };
        handlers.onChanges = [&vm](const std::vector<rows::Row> &rows) {
            apply(vm, rows);
        };
        handlers.onConfirmed = [](TimePoint) {
        };
        handlers.onReachabilityChanged = [](bool, rows::StoreFailure) {
        };
        vm.watch = rows::RowWatch::start({loop_.get(), vm.store, log_}, "t", std::chrono::milliseconds(800), std::move(handlers));
        vm.relay = TableRelay::create(*loop_, vm.presence);
        vm.relay->add(vm.watch, MaxTableAge);
        vm.relay->add(vm.presence->rowWatch(), std::chrono::seconds(15));
    }

    static void apply(Vm &vm, const std::vector<rows::Row> &rows)
    {
        for (const rows::Row &row : rows) {
            if (row.isDeleted) {
                vm.known.erase(row.key);
            } else {
                vm.known[row.key] = row.value;
            }
        }
    }

    void put(const std::string &key, const std::string &value, const std::string &table = "t")
    {
        rows::RowWrite write;
        write.table = table;
        write.key = key;
        write.value = value;
        rows_->transact({write});
    }

    /// Advances the clock by @p time and runs the event loop; @p check runs at each step.
    void advance(
        Duration time, const std::function<void()> &check = [] {})
    {
        for (Duration passed(0); passed < time; passed += std::chrono::milliseconds(10)) {
            loop_->runDue();
            check();
            clock_.advance(std::chrono::milliseconds(10));
        }
        loop_->runDue();
    }

    std::uint64_t storeCalls() const
    {
        std::uint64_t sum = 0;
        for (const auto &vm : vms_) {
            sum += vm->store->calls;
        }
        return sum;
    }

    std::size_t storeReaderCount() const
    {
        return static_cast<std::size_t>(std::count_if(vms_.begin(), vms_.end(), [](const auto &vm) { return vm->relay->isStoreReader(); }));
    }

    /// Random text, which hardly compresses.
    static std::string incompressibleText(std::size_t length, std::mt19937 &random)
    {
        std::string text(length, ' ');
        for (char &letter : text) {
            letter = static_cast<char>(' ' + random() % 95);
        }
        return text;
    }

    bool allKnow(const std::string &key, const std::string &value) const
    {
        return std::all_of(vms_.begin(), vms_.end(), [&](const auto &vm) {
            const auto found = vm->known.find(key);
            return found != vm->known.end() && found->second == value;
        });
    }

    ManualClock clock_;
    std::unique_ptr<EventLoop> loop_;
    std::shared_ptr<eventlog::EventLog> log_;
    std::shared_ptr<rows::MemoryRows> rows_ = std::make_shared<rows::MemoryRows>();
    TestNetwork network_;
    std::size_t zones_ = 1;
    std::vector<std::unique_ptr<Vm>> vms_;
};

} // namespace cardamomlift::presence
