// Model check of the handover: explores every order of its steps with up to two faults (a VM crashes, a message is lost or
// duplicated), and checks that the request is never lost and has a single owner.

#include "streams/streamdecision.h"

#include <gtest/gtest.h>

#include <deque>
#include <map>
#include <set>

using namespace cardamomlift::streams;

namespace {

const std::string Home = "home";
const std::string Holder = "holder";
const std::vector<std::string> NewOwners{"new-owner-1", "new-owner-2"};
const std::vector<std::string> Vms{Home, Holder, NewOwners[0], NewOwners[1]};
constexpr std::uint64_t MaxTokens = 1;
constexpr int MaxFaults = 2;

/// A copy in transit to a VM.
struct Message {
    std::string from;
    std::string to;
    ReplicaInfo copy;
};

/// One VM's search for the request.
struct Search {
    enum class Step { Query, QuerySent, ReplySent, Over };
    TakeoverSearch search;
    Step step = Step::Query;
    std::string target;
    TakeoverDecision reply;
    ReplicaInfo handedOver;
    std::string history; ///< Represents the search in ModelState::key().
};

/// State of all VMs and of the messages in transit.
struct ModelState {
    std::map<std::string, ReplicaInfo> replicas;
    std::set<std::string> crashed;
    std::map<std::string, Search> searches; ///< By new owner.
    std::vector<Message> messages;
    bool hasReclaimNotice = false;
    int faults = 0;
    bool wasMessageLost = false;

    bool isAlive(const std::string &vm) const
    {
        return !crashed.contains(vm);
    }

    bool isTakingOver(const std::string &vm) const
    {
        const auto found = searches.find(vm);
        return found != searches.end() && found->second.step != Search::Step::Over;
    }

    const ReplicaInfo *replicaAt(const std::string &vm) const
    {
        const auto found = replicas.find(vm);
        return found == replicas.end() ? nullptr : &found->second;
    }

    std::string key() const
    {
        std::string text = std::to_string(hasReclaimNotice) + std::to_string(faults) + std::to_string(wasMessageLost);
        const auto add = [&](const ReplicaInfo &replica) {
            text += replica.role == ReplicaRole::Owner ? ":O" : ":C";
            text += replica.owner + std::to_string(replica.generation) + "." + std::to_string(replica.tokens) + ";";
        };
        for (const auto &[vm, replica] : replicas) {
            text += vm;
            add(replica);
        }
        for (const std::string &vm : crashed) {
            text += "x" + vm;
        }
        for (const auto &[vm, search] : searches) {
            text += "s" + vm + search.history;
        }
        for (const Message &message : messages) {
            text += "m" + message.to;
            add(message.copy);
        }
        return text;
    }
};

ReplicaInfo copyOf(const ReplicaInfo &owner)
{
    ReplicaInfo copy = owner;
    copy.role = ReplicaRole::Copy;
    return copy;
}

/// A VM receives a copy, and its reply reaches the sender.
void receiveCopy(ModelState &state, const Message &message)
{
    if (!state.isAlive(message.to)) {
        return;
    }
    const ReplicaInfo *local = state.replicaAt(message.to);
    if (isSuperseded(local, message.copy)) {
        const auto sender = state.replicas.find(message.from);
        if (state.isAlive(message.from) && sender != state.replicas.end() && sender->second.role == ReplicaRole::Owner) {
            sender->second.role = ReplicaRole::Copy;
            sender->second.owner = local->owner;
        }
    } else if (isNewer(local, message.copy)) {
        const std::string notified = ownerToNotify(local, message.copy);
        if (!notified.empty()) {
            state.messages.push_back({message.to, notified, message.copy});
        }
        state.replicas[message.to] = message.copy;
    }
}

/// The queried VM processes the query and replies.
void processQuery(ModelState &state, const std::string &newOwner)
{
    Search &search = state.searches.at(newOwner);
    search.step = Search::Step::ReplySent;
    search.reply = {TakeoverVerdict::Unknown, {}};
    if (state.isAlive(search.target)) {
        search.reply = decideTakeover(state.replicaAt(search.target), state.isTakingOver(search.target), {newOwner, search.search.excluded()});
    }
    search.history += "a" + std::to_string(static_cast<int>(search.reply.verdict)) + search.reply.owner;
    if (search.reply.verdict == TakeoverVerdict::HandOver) {
        state.replicas[search.target] = afterHandover(state.replicas[search.target], newOwner);
        search.handedOver = state.replicas[search.target];
    }
}

/// The new owner takes over and notifies the VMs that may still consider another VM the owner.
void becomeOwner(ModelState &state, const std::string &newOwner, ReplicaInfo handedOver, const std::string &previousOwner)
{
    handedOver.role = ReplicaRole::Owner;
    handedOver.owner = newOwner;
    state.replicas[newOwner] = handedOver;
    state.searches.at(newOwner).step = Search::Step::Over;
    for (const std::string &notified : {Home, Holder}) {
        // The holder is notified even if it handed the request over: it may have learned of another owner meanwhile.
        if (notified != previousOwner || notified == Holder) {
            state.messages.push_back({newOwner, notified, copyOf(handedOver)});
        }
    }
}

/// Two VMs may temporarily run the same request if a message is lost or still in transit, or if neither the home VM nor the
/// holder is left to decide which owner has precedence; never otherwise.
void checkSingleOwner(const ModelState &state)
{
    std::size_t owners = 0;
    for (const auto &[vm, replica] : state.replicas) {
        owners += state.isAlive(vm) && replica.role == ReplicaRole::Owner ? 1 : 0;
    }
    const bool isSettled = state.messages.empty() && !state.isTakingOver(NewOwners[0]) && !state.isTakingOver(NewOwners[1]);
    const bool hasArbiter = state.isAlive(Home) || state.isAlive(Holder);
    if (isSettled && hasArbiter && !state.wasMessageLost) {
        EXPECT_LE(owners, 1U) << state.key();
    }
}

/// While the home VM or the holder is alive, a caller that resumes at any VM gets the request or is told to retry.
void checkNotLost(const ModelState &state)
{
    if (!state.isAlive(Home) && !state.isAlive(Holder)) {
        return;
    }
    TakeoverSearch search("other", {Home, Holder});
    while (const auto target = search.next()) {
        TakeoverDecision reply;
        if (state.isAlive(*target)) {
            reply = decideTakeover(state.replicaAt(*target), state.isTakingOver(*target), {"other", search.excluded()});
        }
        if (reply.verdict == TakeoverVerdict::HandOver || reply.verdict == TakeoverVerdict::Busy) {
            return;
        }
        if (reply.verdict == TakeoverVerdict::Redirect) {
            search.redirect(*target, reply.owner);
        } else {
            search.exclude(*target);
        }
    }
    ADD_FAILURE() << "lost: " << state.key();
}

/// Breadth-first search over all reachable states.
class StateExplorer
{
public:
    void run()
    {
        ModelState start;
        start.replicas[Home] = {ReplicaRole::Owner, Home, 1, 0};
        start.replicas[Holder] = {ReplicaRole::Copy, Home, 1, 0};
        visit(start);
        while (!queue_.empty() && !testing::Test::HasFailure()) {
            const ModelState state = queue_.front();
            queue_.pop_front();
            checkSingleOwner(state);
            checkNotLost(state);
            expand(state);
        }
    }

    std::size_t stateCount() const
    {
        return seen_.size();
    }

private:
    void visit(const ModelState &state)
    {
        if (seen_.insert(state.key()).second) {
            queue_.push_back(state);
        }
    }

    void expand(const ModelState &state)
    {
        produceToken(state);
        receiveReclaimNotice(state);
        crash(state);
        for (std::size_t i = 0; i < state.messages.size(); i++) {
            deliver(state, i);
        }
        for (const std::string &newOwner : NewOwners) {
            if (state.isAlive(newOwner)) {
                search(state, newOwner);
            }
        }
    }

    void produceToken(const ModelState &state)
    {
        for (const auto &[vm, replica] : state.replicas) {
            if (state.isAlive(vm) && replica.role == ReplicaRole::Owner && replica.tokens < MaxTokens) {
                ModelState next = state;
                next.replicas[vm].tokens++;
                visit(next);
            }
        }
    }

    void receiveReclaimNotice(const ModelState &state)
    {
        if (state.hasReclaimNotice || !state.isAlive(Home)) {
            return;
        }
        ModelState next = state;
        next.hasReclaimNotice = true;
        if (state.replicas.at(Home).role == ReplicaRole::Owner) {
            next.messages.push_back({Home, Holder, copyOf(state.replicas.at(Home))});
        }
        visit(next);
    }

    void crash(const ModelState &state)
    {
        for (const std::string &vm : Vms) {
            if (state.faults < MaxFaults && state.isAlive(vm)) {
                ModelState next = state;
                next.faults++;
                next.crashed.insert(vm);
                next.searches.erase(vm);
                visit(next);
            }
        }
    }

    void deliver(const ModelState &state, std::size_t index)
    {
        ModelState lost = state;
        lost.messages.erase(lost.messages.begin() + static_cast<std::ptrdiff_t>(index));
        ModelState done = lost;
        receiveCopy(done, state.messages[index]);
        visit(done);
        if (state.faults < MaxFaults) {
            lost.faults++;
            lost.wasMessageLost = true;
            visit(lost);
            ModelState doubled = done;
            doubled.faults++;
            doubled.messages.push_back(state.messages[index]);
            visit(doubled);
        }
    }

    void search(const ModelState &state, const std::string &newOwner)
    {
        const auto found = state.searches.find(newOwner);
        if (found == state.searches.end()) {
            startSearch(state, newOwner);
        } else if (found->second.step == Search::Step::Query) {
            sendQuery(state, newOwner);
        } else if (found->second.step == Search::Step::QuerySent) {
            answerQuery(state, newOwner);
        } else if (found->second.step == Search::Step::ReplySent) {
            receiveReply(state, newOwner);
        }
    }

    void startSearch(const ModelState &state, const std::string &newOwner)
    {
        const ReplicaInfo *replica = state.replicaAt(newOwner);
        if (replica && replica->role == ReplicaRole::Owner) {
            return;
        }
        ModelState next = state;
        std::vector<std::string> candidates{Home, Holder};
        if (replica) {
            candidates = {replica->owner, newOwner};
        }
        next.searches.emplace(newOwner, Search{TakeoverSearch(newOwner, candidates), Search::Step::Query, {}, {}, {}, "start"});
        visit(next);
    }

    void sendQuery(const ModelState &state, const std::string &newOwner)
    {
        ModelState next = state;
        Search &search = next.searches.at(newOwner);
        const auto target = search.search.next();
        search.history += ">" + target.value_or("none");
        if (!target) {
            search.step = Search::Step::Over;
        } else if (*target == newOwner) {
            becomeOwner(next, newOwner, afterHandover(next.replicas.at(newOwner), newOwner), newOwner);
        } else if (!state.isAlive(*target)) {
            search.search.exclude(*target);
            search.history += "dead";
        } else {
            search.target = *target;
            search.step = Search::Step::QuerySent;
        }
        visit(next);
    }

    void answerQuery(const ModelState &state, const std::string &newOwner)
    {
        ModelState next = state;
        processQuery(next, newOwner);
        visit(next);
        if (state.faults < MaxFaults) {
            ModelState doubled = state;
            doubled.faults++;
            processQuery(doubled, newOwner);
            processQuery(doubled, newOwner);
            visit(doubled);
            loseCall(state, newOwner);
        }
    }

    void loseCall(const ModelState &state, const std::string &newOwner)
    {
        ModelState lost = state;
        lost.faults++;
        lost.wasMessageLost = true;
        Search &search = lost.searches.at(newOwner);
        search.search.exclude(search.target);
        search.step = Search::Step::Query;
        search.history += "lost";
        visit(lost);
    }

    void receiveReply(const ModelState &state, const std::string &newOwner)
    {
        if (state.faults < MaxFaults) {
            loseCall(state, newOwner);
        }
        ModelState next = state;
        Search &search = next.searches.at(newOwner);
        search.step = Search::Step::Query;
        search.history += "h";
        if (search.reply.verdict == TakeoverVerdict::HandOver) {
            becomeOwner(next, newOwner, search.handedOver, search.target);
        } else if (search.reply.verdict == TakeoverVerdict::Redirect) {
            search.search.redirect(search.target, search.reply.owner);
        } else if (search.reply.verdict == TakeoverVerdict::Busy) {
            search.step = Search::Step::Over;
        } else {
            search.search.exclude(search.target);
        }
        visit(next);
    }

    std::set<std::string> seen_;
    std::deque<ModelState> queue_;
};

} // namespace

TEST(HandoverModel, NoOrderOfStepsAndFaultsLosesARequest)
{
    StateExplorer explorer;
    explorer.run();
    RecordProperty("worlds", static_cast<int>(explorer.stateCount()));
    // The search is exhaustive; this fails if a change makes it trivial.
    EXPECT_GT(explorer.stateCount(), 10000U);
}
