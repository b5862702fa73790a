#include "contract/contractstore.h"

#include "table/memorytable.h"

#include <gtest/gtest.h>

#include <deque>
#include <iostream>

using namespace cardamomlift;
using namespace cardamomlift::contract;

namespace {

/// The outcome of one call to the table.
enum class CallOutcome {
    Completed,
    Failed, ///< No effect, and the caller is told: reads fail, writes return NotWritten.
    AnswerLost, ///< Takes effect, but returns Unknown.
    RequestLost, ///< No effect; returns Unknown.
    AppliedLater, ///< Returns Unknown now; takes effect at a later step.
};

struct Operation {
    bool isWrite = false;
    std::function<void(CallOutcome outcome)> run;
};

/// One operator's connection to the shared rows: reads of one item and writes wait until the interleaving executes them.
class ScheduledTable : public table::Table
{
public:
    explicit ScheduledTable(table::MemoryRows &rows)
        : rows_(rows)
    {
    }

    void get(table::Key key, table::GetHandler handler) override
    {
        waiting.push_back({false, [this, key = std::move(key), handler = std::move(handler)](CallOutcome outcome) {
                               if (outcome == CallOutcome::Completed) {
                                   handler(rows_.get(key));
                               } else {
                                   handler(failure(ErrorKind::Unavailable, "no answer"));
                               }
                           }});
    }

    void query(std::string partition, std::string afterSort, std::size_t limit, table::QueryHandler handler) override
    {
        handler(rows_.query(partition, afterSort, limit));
    }

    void write(table::Write write, table::WriteHandler handler) override
    {
        transact({std::move(write)}, {}, std::move(handler));
    }

    void transact(std::vector<table::Write> writes, std::string, table::WriteHandler handler) override
    {
        waiting.push_back({true, [this, writes = std::move(writes), handler = std::move(handler)](CallOutcome outcome) {
                               if (outcome == CallOutcome::Completed) {
                                   handler(rows_.transact(writes, {}));
                               } else if (outcome == CallOutcome::Failed) {
                                   handler({table::WriteOutcome::NotWritten});
                               } else {
                                   if (outcome == CallOutcome::AnswerLost) {
                                       rows_.transact(writes, {});
                                   } else if (outcome == CallOutcome::AppliedLater) {
                                       delayedWrites.push_back(writes);
                                   }
                                   handler({table::WriteOutcome::Unknown});
                               }
                           }});
    }

    const table::TableCounters &counters() const override
    {
        return counters_;
    }

    void applyDelayedWrite()
    {
        rows_.transact(delayedWrites.front(), {});
        delayedWrites.pop_front();
    }

    std::deque<Operation> waiting;
    std::deque<std::vector<table::Write>> delayedWrites;

private:
    table::MemoryRows &rows_;
    table::TableCounters counters_;
};

/// Enumerates all sequences of choices, depth first. A test is run once per sequence; each choose() of a run returns the
/// next choice of the current sequence.
class ChoiceSequence
{
public:
    std::size_t choose(std::size_t count)
    {
        if (next_ == choices_.size()) {
            choices_.push_back({0, count});
        }
        return choices_[next_++].chosen;
    }

    bool nextSequence()
    {
        next_ = 0;
        while (!choices_.empty() && choices_.back().chosen + 1 == choices_.back().count) {
            choices_.pop_back();
        }
        if (choices_.empty()) {
            return false;
        }
        choices_.back().chosen++;
        return true;
    }

private:
    struct Choice {
        std::size_t chosen;
        std::size_t count;
    };
    std::vector<Choice> choices_;
    std::size_t next_ = 0;
};

/// An operator's tool: sends an edit and, if the outcome is unknown, repeats it once with the same id.
struct EditingOperator {
    Edit edit;
    std::shared_ptr<ScheduledTable> table;
    std::shared_ptr<ContractStore> store;
    std::optional<EditResult> result;
    int repeatsLeft = 1;

    void send()
    {
        const auto noFindings = [](const ContractVersion *) {
            return Findings();
        };
        store->apply(edit, noFindings, [this](EditResult end) {
            if (end.outcome == EditOutcome::Unknown && repeatsLeft-- > 0) {
                send();
                return;
            }
            result = std::move(end);
        });
    }
};

/// Limits the interleavings that are run.
struct InterleavingLimits {
    int maxFaults = 0;
    bool readsFail = false; ///< Whether reads may fail, too.
    int maxSwitches = 100; ///< From one operator to the other.
};

/// One order of the table calls of two operators, with the outcome of each call.
class Interleaving
{
public:
    Interleaving(const std::string &firstCustomer, const std::string &secondCustomer, const InterleavingLimits &limits)
        : limits_(limits)
    {
        loop_ = std::move(EventLoop::create(clock_).value());
        for (const auto &[customer, author] : {std::pair(firstCustomer, "ann"), std::pair(secondCustomer, "ben")}) {
            auto editor = std::make_unique<EditingOperator>();
            editor->edit = {customer, std::string("text of ") + author, 0, author, std::string("edit of ") + author};
            editor->table = std::make_shared<ScheduledTable>(rows);
            editor->store = ContractStore::create(*loop_, editor->table);
            operators.push_back(std::move(editor));
        }
    }

    void run(ChoiceSequence &choices)
    {
        for (const auto &editor : operators) {
            editor->send();
        }
        while (step(choices)) {
        }
    }

    table::MemoryRows rows;
    std::vector<std::unique_ptr<EditingOperator>> operators;
    int faultCount = 0;

private:
    bool step(ChoiceSequence &choices)
    {
        std::vector<std::function<void()>> options;
        const bool mustNotSwitch = running_ && switches_ >= limits_.maxSwitches && !running_->table->waiting.empty();
        for (const auto &editor : operators) {
            ScheduledTable *table = editor->table.get();
            if (!table->waiting.empty() && (!mustNotSwitch || editor.get() == running_)) {
                options.push_back([this, editor = editor.get(), &choices] {
                    switches_ += editor == running_ ? 0 : 1;
                    running_ = editor;
                    executeNext(*editor->table, choices);
                });
            }
            if (!table->delayedWrites.empty()) {
                options.push_back([table] { table->applyDelayedWrite(); });
            }
        }
        if (options.empty()) {
            clock_.advance(std::chrono::seconds(1));
            loop_->runDue();
            return std::any_of(operators.begin(), operators.end(), [](const auto &editor) { return !editor->table->waiting.empty(); });
        }
        options[choices.choose(options.size())]();
        clock_.advance(std::chrono::seconds(1));
        loop_->runDue();
        return true;
    }

    void executeNext(ScheduledTable &table, ChoiceSequence &choices)
    {
        const Operation operation = std::move(table.waiting.front());
        table.waiting.pop_front();
        CallOutcome outcome = CallOutcome::Completed;
        if (faultCount < limits_.maxFaults && (operation.isWrite || limits_.readsFail)) {
            outcome = static_cast<CallOutcome>(choices.choose(operation.isWrite ? 5 : 2));
        }
        faultCount += outcome == CallOutcome::Completed ? 0 : 1;
        operation.run(outcome);
    }

    ManualClock clock_;
    std::unique_ptr<EventLoop> loop_;
    InterleavingLimits limits_;
    const EditingOperator *running_ = nullptr;
    int switches_ = 0;
};

std::vector<table::Item> readHistory(const Interleaving &interleaving, const std::string &customer)
{
    return interleaving.rows.query("contract-history#" + customer, {}, 100);
}

std::size_t countVersions(const std::vector<table::Item> &versions, const std::string &editId)
{
    return static_cast<std::size_t>(
        std::count_if(versions.begin(), versions.end(), [&](const table::Item &item) { return table::attribute(item, "editId") == editId; }));
}

/// The invariants at the end of every interleaving, whatever calls were lost.
void checkInvariants(const Interleaving &interleaving)
{
    const auto log = interleaving.rows.query("contracts-log", {}, 100);
    for (std::size_t i = 0; i < log.size(); i++) {
        EXPECT_EQ(table::attribute(log[i], "revision"), std::to_string(i + 1));
    }
    const auto head = interleaving.rows.get({"contracts-head", "head"});
    EXPECT_EQ(head ? table::attribute(*head, "revision") : "0", std::to_string(log.size()));
    for (const auto &editor : interleaving.operators) {
        const auto versions = readHistory(interleaving, editor->edit.customer);
        const std::size_t count = countVersions(versions, editor->edit.editId);
        ASSERT_TRUE(editor->result);
        switch (editor->result->outcome) {
        case EditOutcome::Accepted:
            EXPECT_EQ(count, 1U);
            EXPECT_EQ(editor->result->current.editId, editor->edit.editId);
            break;
        case EditOutcome::Conflict:
            EXPECT_EQ(count, 0U);
            EXPECT_NE(editor->result->current.editId, editor->edit.editId);
            EXPECT_EQ(countVersions(versions, editor->result->current.editId), 1U);
            break;
        case EditOutcome::Unknown:
            EXPECT_LE(count, 1U);
            break;
        default:
            EXPECT_EQ(count, 0U);
        }
    }
}

int countOutcome(const Interleaving &interleaving, EditOutcome outcome)
{
    return static_cast<int>(std::count_if(interleaving.operators.begin(), interleaving.operators.end(), [&](const auto &editor) {
        return editor->result && editor->result->outcome == outcome;
    }));
}

/// Runs every interleaving of two edits within @p limits; returns their number.
std::size_t runAllInterleavings(
    const std::string &first, const std::string &second, const InterleavingLimits &limits, const std::function<void(const Interleaving &interleaving)> &check)
{
    ChoiceSequence choices;
    std::size_t count = 0;
    do {
        Interleaving interleaving(first, second, limits);
        interleaving.run(choices);
        checkInvariants(interleaving);
        check(interleaving);
        count++;
    } while (choices.nextSequence() && !testing::Test::HasFailure());
    std::cout << "Interleavings: " << count << "\n";
    return count;
}

} // namespace

TEST(ContractStoreInterleavings, TwoOperatorsEditOneContract)
{
    const auto checkOneAccepted = [](const Interleaving &interleaving) {
        EXPECT_LE(readHistory(interleaving, "shop").size(), 1U);
        if (interleaving.faultCount == 0) {
            EXPECT_EQ(countOutcome(interleaving, EditOutcome::Accepted), 1);
            EXPECT_EQ(countOutcome(interleaving, EditOutcome::Conflict), 1);
        }
    };
    EXPECT_GT(runAllInterleavings("shop", "shop", {1, true}, checkOneAccepted), 10000U);
    EXPECT_GT(runAllInterleavings("shop", "shop", {2, false, 3}, checkOneAccepted), 10000U);
    EXPECT_GT(runAllInterleavings("shop", "shop", {2, true, 2}, checkOneAccepted), 1000U);
}

TEST(ContractStoreInterleavings, TwoOperatorsEditDifferentContracts)
{
    const auto checkBothAccepted = [](const Interleaving &interleaving) {
        if (interleaving.faultCount == 0) {
            EXPECT_EQ(countOutcome(interleaving, EditOutcome::Accepted), 2);
        }
    };
    EXPECT_GT(runAllInterleavings("shop", "desk", {1, true}, checkBothAccepted), 10000U);
}

TEST(ContractStore, ValidatesAnEditAgainstTheVersionInTheTable)
{
    ManualClock clock;
    const auto loop = std::move(EventLoop::create(clock).value());
    const auto store = ContractStore::create(*loop, table::MemoryTable::create(*loop, std::make_shared<table::MemoryRows>()));
    std::vector<std::string> replaced;
    EditOutcome outcome = EditOutcome::Unknown;
    const auto validator = [&](const ContractVersion *version) {
        replaced.push_back(version ? version->text : "");
        return replaced.size() < 3 ? Findings() : Findings{{"file", 1, 1, "a slip", "look", Severity::Danger}};
    };
    for (std::uint64_t base = 0; base < 3; base++) {
        store->apply({"shop", "text " + std::to_string(base + 1), base, "ann", "edit-" + std::to_string(base)}, validator, [&](const EditResult &result) {
            outcome = result.outcome;
        });
        for (int i = 0; i < 10; i++) {
            loop->runDue();
        }
        EXPECT_EQ(outcome, base < 2 ? EditOutcome::Accepted : EditOutcome::Rejected);
    }
    EXPECT_EQ(replaced, (std::vector<std::string>{"", "text 1", "text 2"}));
}

// Guards against an item with a number that can't be read that ends the process of each VM that reads it.
TEST(ContractStore, ItemsWithOddNumbersAreRead)
{
    ManualClock clock;
    const auto loop = std::move(EventLoop::create(clock).value());
    table::MemoryRows rows;
    const auto store = ContractStore::create(*loop, std::make_shared<ScheduledTable>(rows));
    for (const char *number : {"", "x", "7x", "-1", "7.5", "99999999999999999999999"}) {
        table::Item item;
        item.key = {"contracts-log", "00000000000000000001"};
        item.attributes = {{"customer", "c"}, {"version", number}, {"revision", number}, {"acceptedAtMs", number}};
        const table::Write write{table::WriteKind::Put, item, {}};
        rows.transact({&write, 1}, {});
        bool isRead = false;
        store->changesAfter(0, [&](const Result<std::vector<ContractVersion>> &versions) {
            isRead = true;
            ASSERT_TRUE(versions);
            EXPECT_EQ(versions.value().at(0).version, 0U) << number;
        });
        EXPECT_TRUE(isRead);
    }
}
