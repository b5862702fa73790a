#include "fleet/fleetlease.h"

#include "kernel/log.h"
#include "text/digest.h"

namespace cardamomlift::fleet {

namespace {

constexpr char Partition[] = "fleet";
constexpr char Sort[] = "lease";
constexpr char Nonce[] = "nonce";
constexpr std::size_t NonceBytes = 8;
/// A holder renews, and the others look, three times a lease.
constexpr int StepsPerLease = 3;
/// Orders stop so long before the lease ends, for their own way to the cloud.
constexpr int MarginPart = 6;

LeaseRow rowOf(const table::Item &item)
{
    return {table::attribute(item, "holder"), std::strtoull(table::attribute(item, "fence").c_str(), nullptr, 10), table::attribute(item, Nonce)};
}

table::Item itemOf(const LeaseRow &row)
{
    table::Item item;
    item.key = {Partition, Sort};
    item.attributes["holder"] = row.holder;
    item.attributes["fence"] = std::to_string(row.fence);
    item.attributes[Nonce] = row.nonce;
    return item;
}

} // namespace

std::shared_ptr<FleetLease> FleetLease::create(EventLoop &loop, std::shared_ptr<table::Table> table, std::string self, Duration lease)
{
    std::shared_ptr<FleetLease> result(new FleetLease);
    result->loop_ = &loop;
    result->table_ = std::move(table);
    result->self_ = std::move(self);
    result->lease_ = lease;
    return result;
}

void FleetLease::start()
{
    step();
    loop_->every(lease_ / StepsPerLease, [this] { step(); });
}

void FleetLease::setCandidate(bool candidate)
{
    candidate_ = candidate;
}

bool FleetLease::isHeld() const
{
    return !released_ && fleet::isHeld(knowledge_, loop_->now(), lease_ / MarginPart);
}

std::uint64_t FleetLease::fence() const
{
    return isHeld() ? knowledge_.heldFence : 0;
}

void FleetLease::release()
{
    released_ = true;
}

void FleetLease::step()
{
    if (busy_ || released_ || (!candidate_ && !isHeld())) {
        return;
    }
    busy_ = true;
    if (knowledge_.seen && decideLease(knowledge_, self_, loop_->now(), lease_) == LeaseAction::Renew) {
        write();
        return;
    }
    read();
}

void FleetLease::read()
{
    table_->get({Partition, Sort}, [this](Result<std::optional<table::Item>> item) {
        if (!item) {
            busy_ = false;
            return;
        }
        noteRow(knowledge_, item.value() ? std::optional(rowOf(*item.value())) : std::nullopt, loop_->now());
        if (decideLease(knowledge_, self_, loop_->now(), lease_) == LeaseAction::Take) {
            write();
            return;
        }
        busy_ = false;
    });
}

void FleetLease::write()
{
    const bool renews = decideLease(knowledge_, self_, loop_->now(), lease_) == LeaseAction::Renew;
    const std::uint64_t seenFence = knowledge_.seen ? knowledge_.seen->fence : 0;
    const LeaseRow row{self_, renews ? seenFence : seenFence + 1, text::randomHex(NonceBytes)};
    table::Write write;
    write.item = itemOf(row);
    write.condition.kind = table::ConditionKind::ItemAbsent;
    if (knowledge_.seen) {
        write.condition = {table::ConditionKind::AttributeEquals, Nonce, knowledge_.seen->nonce};
    }
    const TimePoint sentAt = loop_->now();
    table_->write(std::move(write), [this, row, sentAt, renews](const table::WriteResult &result) {
        busy_ = false;
        if (result.outcome == table::WriteOutcome::Written) {
            noteWritten(knowledge_, row, sentAt, lease_);
            if (!renews) {
                partLogger("fleet")->info("This VM orders backend VMs now. fence={}", row.fence);
            }
            return;
        }
        // An unknown outcome shows at the next reading: the row then has our nonce, but is not used as held, since
        // nobody knows when it was written. It runs out like another VM's.
        if (result.outcome != table::WriteOutcome::NotWritten) {
            knowledge_.heldFence = 0;
        }
    });
}

} // namespace cardamomlift::fleet
