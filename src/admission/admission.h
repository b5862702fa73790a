#pragma once

#include "admission/admissiontypes.h"
#include "kernel/eventloop.h"

#include <functional>
#include <memory>
#include <unordered_map>

namespace cardamomlift::admission {

using DecisionHandler = std::function<void(AdmissionDecision decision)>;

/// Decides which requests come in, in which order, and which are told at once that they can't.
class Admission
{
public:
    static std::shared_ptr<Admission> create(EventLoop &loop, std::size_t maxOpen);

    /// @p handler is called once, perhaps from inside this call.
    void ask(AdmissionQuestion question, DecisionHandler handler);
    /// Ends an admitted request. Call once for each ticket.
    void release(std::uint64_t ticket, const Usage &usage);
    std::size_t open() const;

private:
    Admission() = default;
    EventLoop *loop_ = nullptr;
    std::size_t maxOpen_ = 0;
    std::uint64_t nextTicket_ = 1;
    std::unordered_map<std::uint64_t, AdmissionQuestion> open_;
};

} // namespace cardamomlift::admission
