#pragma once

#include "kernel/clock.h"

#include <map>
#include <span>
#include <string>
#include <vector>

namespace cardamomlift::presence {

/// Which VMs of other groups this VM asks for the sums of their groups, by who has answered lately.
class GroupPeerSelector
{
public:
    /// The VMs to ask now among @p members of one group, which are in the order of their rank; they count as asked. It is the
    /// first one; where that has not answered its last question, the next two beside it.
    std::vector<std::string> select(std::span<const std::string> members, TimePoint now);
    /// The one that answered last among the first of @p members; the first if none is in doubt; empty if there are none.
    std::string reachableMember(std::span<const std::string> members) const;
    void recordAnswer(const std::string &instance);

private:
    struct Question {
        int unanswered = 0; ///< In a row.
        TimePoint askedAt;
    };
    std::map<std::string, Question> questions_; ///< By VM.
};

} // namespace cardamomlift::presence
