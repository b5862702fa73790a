#include "presence/grouppeerselector.h"

namespace cardamomlift::presence {

namespace {

/// A VM that left so many questions without an answer is taken for gone: one or two are lost now and then.
constexpr int MostUnanswered = 3;
/// It is asked once more after this long: it may have been cut off.
constexpr Duration AskAgainAfter = std::chrono::seconds(5);
/// Where one has not answered, so many others are asked beside it: where a failure domain has ended, most are silent.
constexpr int AskedBeside = 2;

} // namespace

std::vector<std::string> GroupPeerSelector::select(std::span<const std::string> members, TimePoint now)
{
    std::vector<std::string> asked;
    int wanted = 1;
    for (const std::string &member : members) {
        Question &question = questions_[member];
        if (question.unanswered >= MostUnanswered && now - question.askedAt < AskAgainAfter) {
            continue;
        }
        const bool isInDoubt = question.unanswered > 0;
        question.unanswered++;
        question.askedAt = now;
        asked.push_back(member);
        if (isInDoubt) {
            wanted = AskedBeside;
        } else if (--wanted == 0) {
            break;
        }
    }
    return asked;
}

std::string GroupPeerSelector::reachableMember(std::span<const std::string> members) const
{
    for (const std::string &member : members) {
        const auto question = questions_.find(member);
        // One question is on its way most of the time.
        if (question == questions_.end() || question->second.unanswered <= 1) {
            return member;
        }
    }
    return members.empty() ? std::string() : members.front();
}

void GroupPeerSelector::recordAnswer(const std::string &instance)
{
    const auto question = questions_.find(instance);
    if (question != questions_.end()) {
        question->second.unanswered = 0;
    }
}

} // namespace cardamomlift::presence
