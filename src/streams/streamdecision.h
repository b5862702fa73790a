#pragma once

#include "membership/membershiptypes.h"

#include <cstdint>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace cardamomlift::streams {

/// What the id of a request says about where the request may be found.
struct RequestIdParts {
    std::string home; ///< Instance of the entry VM that accepted it.
    std::string homeZone;
    std::string holder; ///< Instance that held the first copy; empty if none did.
};

/// "req-<unique>~<home>~<zone>~<holder>". Instances and zones have no '~'.
std::string makeRequestId(std::string_view unique, const RequestIdParts &parts);
/// Empty if @p requestId was not made by makeRequestId().
std::optional<RequestIdParts> parseRequestId(std::string_view requestId);

/// The VMs that may hold copies for @p home, best first: another zone of the region, then other regions, then the own
/// zone. Leaving VMs are left out. Every VM with the same list of VMs computes the same order.
std::vector<std::string> rankHolders(std::string_view home, std::string_view homeZone, std::span<const membership::Vm> entries);

/// What one VM has of one request.
enum class Role {
    Owner, ///< Drives it: reads the engine's stream, serves the caller.
    Copy, ///< Has a state that may be older; the owner is, or was, another VM.
};

/// The role, owner and progress by which VMs compare what they have of a request.
struct Holding {
    Role role = Role::Copy;
    std::string owner; ///< Who owns it as far as this VM knows.
    std::uint64_t generation = 1; ///< Counts changes of owner.
    std::uint64_t tokens = 0; ///< Length of the output so far.
};

/// A VM asks to become the owner, since the caller resumed there.
struct TakeQuestion {
    std::string asker;
    std::span<const std::string> withoutIt; ///< VMs that did not answer the asker or do not have the request.
};

/// The answer of a VM that was asked for a request.
enum class TakeVerdict {
    Unknown,
    Give,
    AskOther,
    Busy, ///< The asked VM is taking the request itself right now.
};

/// A verdict, with the VM it points to.
struct TakeDecision {
    TakeVerdict verdict = TakeVerdict::Unknown;
    std::string other; ///< With AskOther.
};

/// Answers a TakeQuestion. @p mine is null if this VM has nothing of the request.
TakeDecision decideTake(const Holding *mine, bool isTaking, const TakeQuestion &question);
/// What the previous owner has left after it handed over to @p asker. Handing over twice to the same asker changes nothing more.
Holding afterGive(const Holding &mine, const std::string &asker);
/// Whether a copy that came in replaces what this VM has.
bool isNewer(const Holding *mine, const Holding &offered);
/// The VM to send a stored copy on to, or empty: an earlier owner that may still drive the request.
std::string ownerToNotify(const Holding *replaced, const Holding &stored);
/// Whether the sender of a copy must stop driving the request, since this VM knows of another owner that comes first.
bool isSuperseded(const Holding *mine, const Holding &offered);

/// The asker's side: whom to ask next.
class TakeSearch
{
public:
    static constexpr std::size_t MostQuestions = 8;

    TakeSearch(std::string self, std::vector<std::string> candidates);
    /// The next VM to ask, or none when the search is over. May be the asker itself, for its own copy.
    std::optional<std::string> next();
    /// @p instance did not answer, or has nothing of the request.
    void hasNothing(const std::string &instance);
    /// @p instance says that @p owner owns it.
    void isRedirected(const std::string &instance, const std::string &owner);
    const std::vector<std::string> &withoutIt() const;

private:
    bool isWithoutIt(const std::string &instance) const;
    std::string self_;
    std::vector<std::string> queue_; ///< First is next.
    std::vector<std::string> withoutIt_;
    std::set<std::string> redirected_; ///< VMs that named another owner.
    std::size_t questions_ = 0;
};

} // namespace cardamomlift::streams
