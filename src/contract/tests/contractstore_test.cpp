#include "contract/contractstore.h"

#include "table/memorytable.h"

#include <gtest/gtest.h>

#include <deque>
#include <iostream>

using namespace cardamomlift;
using namespace cardamomlift::contract;

namespace {

/// What happens to one operation on its way to the table and back.
enum class Fate {
    Done,
    Failed, ///< No effect, and the caller knows: reads fail, writes end as NotWritten.
    AnswerLost, ///< Takes effect; Unknown.
    RequestLost, ///< No effect; Unknown.
    Late, ///< Unknown now; takes effect at some later step.
};

struct Operation {
    bool isWrite = false;
    std::function<void(Fate fate)> run;
};

/// One actor's way to the shared rows: operations wait until the walk picks them.
class WalkTable : public table::Table
{
public:
    explicit WalkTable(table::MemoryRows &rows)
        : rows_(rows)
    {
    }

    void get(table::Key key, table::GetHandler handler) override
    {
        waiting.push_back({false, [this, key = std::move(key), handler = std::move(handler)](Fate fate) {
                               if (fate == Fate::Done) {
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
        waiting.push_back({true, [this, writes = std::move(writes), handler = std::move(handler)](Fate fate) {
                               if (fate == Fate::Done) {
                                   handler(rows_.transact(writes, {}));
                               } else if (fate == Fate::Failed) {
                                   handler({table::WriteOutcome::NotWritten});
                               } else {
                                   if (fate == Fate::AnswerLost) {
                                       rows_.transact(writes, {});
                                   } else if (fate == Fate::Late) {
                                       late.push_back(writes);
                                   }
                                   handler({table::WriteOutcome::Unknown});
                               }
                           }});
    }

    const table::TableCounters &counters() const override
    {
        return counters_;
    }

    void land()
    {
        rows_.transact(late.front(), {});
        late.pop_front();
    }

    std::deque<Operation> waiting;
    std::deque<std::vector<table::Write>> late;

private:
    table::MemoryRows &rows_;
    table::TableCounters counters_;
};

/// Gives one path of choices after another, until all were given.
class Choices
{
public:
    std::size_t pick(std::size_t count)
    {
        if (next_ == path_.size()) {
            path_.push_back({0, count});
        }
        return path_[next_++].taken;
    }

    bool nextPath()
    {
        next_ = 0;
        while (!path_.empty() && path_.back().taken + 1 == path_.back().count) {
            path_.pop_back();
        }
        if (path_.empty()) {
            return false;
        }
        path_.back().taken++;
        return true;
    }

private:
    struct Choice {
        std::size_t taken;
        std::size_t count;
    };
    std::vector<Choice> path_;
    std::size_t next_ = 0;
};

/// An operator's tool: sends an edit, and again with the same id while the outcome is unknown.
struct Operator {
    Edit edit;
    std::shared_ptr<WalkTable> table;
    std::shared_ptr<ContractStore> store;
    std::optional<EditResult> result;
    int repeats = 1;

    void send()
    {
        const auto noFindings = [](const ContractVersion *) {
            return Findings();
        };
        store->apply(edit, noFindings, [this](EditResult end) {
            if (end.outcome == EditOutcome::Unknown && repeats-- > 0) {
                send();
                return;
            }
            result = std::move(end);
        });
    }
};

/// What walks are made.
struct WalkBounds {
    int faults = 0;
    bool readsFail = false;
    int switches = 100; ///< From one operator to the other.
};

class Walk
{
public:
    Walk(const std::string &firstCustomer, const std::string &secondCustomer, const WalkBounds &bounds)
        : bounds_(bounds)
    {
        loop_ = std::move(EventLoop::create(clock_).value());
        for (const auto &[customer, author] : {std::pair(firstCustomer, "ann"), std::pair(secondCustomer, "ben")}) {
            auto actor = std::make_unique<Operator>();
            actor->edit = {customer, std::string("text of ") + author, 0, author, std::string("edit of ") + author};
            actor->table = std::make_shared<WalkTable>(rows);
            actor->store = ContractStore::create(*loop_, actor->table);
            operators.push_back(std::move(actor));
        }
    }

    void run(Choices &choices)
    {
        for (const auto &actor : operators) {
            actor->send();
        }
        while (step(choices)) {
        }
    }

    table::MemoryRows rows;
    std::vector<std::unique_ptr<Operator>> operators;
    int faultsMade = 0;

private:
    bool step(Choices &choices)
    {
        std::vector<std::function<void()>> next;
        const bool mayNotSwitch = running_ && switches_ >= bounds_.switches && !running_->table->waiting.empty();
        for (const auto &actor : operators) {
            WalkTable *table = actor->table.get();
            if (!table->waiting.empty() && (!mayNotSwitch || actor.get() == running_)) {
                next.push_back([this, actor = actor.get(), &choices] {
                    switches_ += actor == running_ ? 0 : 1;
                    running_ = actor;
                    serve(*actor->table, choices);
                });
            }
            if (!table->late.empty()) {
                next.push_back([table] { table->land(); });
            }
        }
        if (next.empty()) {
            clock_.advance(std::chrono::seconds(1));
            loop_->runDue();
            return std::any_of(operators.begin(), operators.end(), [](const auto &actor) { return !actor->table->waiting.empty(); });
        }
        next[choices.pick(next.size())]();
        clock_.advance(std::chrono::seconds(1));
        loop_->runDue();
        return true;
    }

    void serve(WalkTable &table, Choices &choices)
    {
        const Operation operation = std::move(table.waiting.front());
        table.waiting.pop_front();
        Fate fate = Fate::Done;
        if (faultsMade < bounds_.faults && (operation.isWrite || bounds_.readsFail)) {
            fate = static_cast<Fate>(choices.pick(operation.isWrite ? 5 : 2));
        }
        faultsMade += fate == Fate::Done ? 0 : 1;
        operation.run(fate);
    }

    ManualClock clock_;
    std::unique_ptr<EventLoop> loop_;
    WalkBounds bounds_;
    const Operator *running_ = nullptr;
    int switches_ = 0;
};

std::vector<table::Item> historyOf(const Walk &walk, const std::string &customer)
{
    return walk.rows.query("contract-history#" + customer, {}, 100);
}

std::size_t countOf(const std::vector<table::Item> &versions, const std::string &editId)
{
    return static_cast<std::size_t>(
        std::count_if(versions.begin(), versions.end(), [&](const table::Item &item) { return table::attribute(item, "editId") == editId; }));
}

/// What holds at the end of every walk, whatever was lost.
void checkWalk(const Walk &walk)
{
    const auto log = walk.rows.query("contracts-log", {}, 100);
    for (std::size_t i = 0; i < log.size(); i++) {
        EXPECT_EQ(table::attribute(log[i], "revision"), std::to_string(i + 1));
    }
    const auto head = walk.rows.get({"contracts-head", "head"});
    EXPECT_EQ(head ? table::attribute(*head, "revision") : "0", std::to_string(log.size()));
    for (const auto &actor : walk.operators) {
        const auto versions = historyOf(walk, actor->edit.customer);
        const std::size_t count = countOf(versions, actor->edit.editId);
        ASSERT_TRUE(actor->result);
        switch (actor->result->outcome) {
        case EditOutcome::Accepted:
            EXPECT_EQ(count, 1U);
            EXPECT_EQ(actor->result->current.editId, actor->edit.editId);
            break;
        case EditOutcome::Conflict:
            EXPECT_EQ(count, 0U);
            EXPECT_NE(actor->result->current.editId, actor->edit.editId);
            EXPECT_EQ(countOf(versions, actor->result->current.editId), 1U);
            break;
        case EditOutcome::Unknown:
            EXPECT_LE(count, 1U);
            break;
        default:
            EXPECT_EQ(count, 0U);
        }
    }
}

int countOutcome(const Walk &walk, EditOutcome outcome)
{
    return static_cast<int>(
        std::count_if(walk.operators.begin(), walk.operators.end(), [&](const auto &actor) { return actor->result && actor->result->outcome == outcome; }));
}

/// Runs every walk within @p bounds; says how many there were.
std::size_t walkAll(const std::string &first, const std::string &second, const WalkBounds &bounds, const std::function<void(const Walk &walk)> &check)
{
    Choices choices;
    std::size_t walks = 0;
    do {
        Walk walk(first, second, bounds);
        walk.run(choices);
        checkWalk(walk);
        check(walk);
        walks++;
    } while (choices.nextPath() && !testing::Test::HasFailure());
    std::cout << "Walks: " << walks << "\n";
    return walks;
}

} // namespace

TEST(ContractStoreWalk, TwoOperatorsEditOneContract)
{
    const auto checkOneWinner = [](const Walk &walk) {
        EXPECT_LE(historyOf(walk, "shop").size(), 1U);
        if (walk.faultsMade == 0) {
            EXPECT_EQ(countOutcome(walk, EditOutcome::Accepted), 1);
            EXPECT_EQ(countOutcome(walk, EditOutcome::Conflict), 1);
        }
    };
    EXPECT_GT(walkAll("shop", "shop", {1, true}, checkOneWinner), 10000U);
    EXPECT_GT(walkAll("shop", "shop", {2, false, 3}, checkOneWinner), 10000U);
    EXPECT_GT(walkAll("shop", "shop", {2, true, 2}, checkOneWinner), 1000U);
}

TEST(ContractStoreWalk, TwoOperatorsEditDifferentContracts)
{
    const auto checkBothWin = [](const Walk &walk) {
        if (walk.faultsMade == 0) {
            EXPECT_EQ(countOutcome(walk, EditOutcome::Accepted), 2);
        }
    };
    EXPECT_GT(walkAll("shop", "desk", {1, true}, checkBothWin), 10000U);
}

TEST(ContractStore, AnEditIsJudgedAgainstTheVersionInTheTable)
{
    ManualClock clock;
    const auto loop = std::move(EventLoop::create(clock).value());
    const auto store = ContractStore::create(*loop, table::MemoryTable::create(*loop, std::make_shared<table::MemoryRows>()));
    std::vector<std::string> replaced;
    EditOutcome outcome = EditOutcome::Unknown;
    const auto judge = [&](const ContractVersion *version) {
        replaced.push_back(version ? version->text : "");
        return replaced.size() < 3 ? Findings() : Findings{{"file", 1, 1, "a slip", "look", Severity::Danger}};
    };
    for (std::uint64_t base = 0; base < 3; base++) {
        store->apply({"shop", "text " + std::to_string(base + 1), base, "ann", "edit-" + std::to_string(base)}, judge, [&](const EditResult &result) {
            outcome = result.outcome;
        });
        for (int i = 0; i < 10; i++) {
            loop->runDue();
        }
        EXPECT_EQ(outcome, base < 2 ? EditOutcome::Accepted : EditOutcome::Rejected);
    }
    EXPECT_EQ(replaced, (std::vector<std::string>{"", "text 1", "text 2"}));
}
