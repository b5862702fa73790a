#include "admission/admission.h"

namespace cardamomlift::admission {

namespace {

constexpr Duration OverloadedRetryAfter = std::chrono::seconds(1);

} // namespace

std::shared_ptr<Admission> Admission::create(EventLoop &loop, std::size_t maxOpen)
{
    std::shared_ptr<Admission> admission(new Admission);
    admission->loop_ = &loop;
    admission->maxOpen_ = maxOpen;
    return admission;
}

void Admission::ask(AdmissionQuestion question, DecisionHandler handler)
{
    if (open_.size() >= maxOpen_) {
        handler({false, metrics::RefusalReason::Overloaded, OverloadedRetryAfter, 0});
        return;
    }
    const std::uint64_t ticket = nextTicket_++;
    open_.emplace(ticket, std::move(question));
    handler({true, metrics::RefusalReason::Overloaded, Duration(0), ticket});
}

void Admission::release(std::uint64_t ticket, const Usage &)
{
    open_.erase(ticket);
}

std::size_t Admission::open() const
{
    return open_.size();
}

} // namespace cardamomlift::admission
