#include "fleet/fleetlease.h"

#include "kernel/log.h"
#include "text/digest.h"

namespace cardamomlift::fleet {

namespace {

constexpr char Partition[] = "fleet";
constexpr char Sort[] = "lease";
constexpr char Nonce[] = "nonce";
constexpr std::size_t NonceBytes = 8;
/// The holder renews the row, and the other candidates read it, three times per lease duration.
constexpr int RenewalsPerLease = 3;
/// No orders are sent in the last sixth of the lease: an order needs time to reach the cloud before the lease expires.
constexpr int MarginDivisor = 6;

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

std::shared_ptr<FleetLease> FleetLease::create(EventLoop &loop, std::shared_ptr<table::Table> table, std::string self, Duration leaseDuration)
{
    std::shared_ptr<FleetLease> result(new FleetLease);
    result->loop_ = &loop;
    result->table_ = std::move(table);
    result->self_ = std::move(self);
    result->leaseDuration_ = leaseDuration;
    return result;
}

void FleetLease::start()
{
    step();
    loop_->every(leaseDuration_ / RenewalsPerLease, [this] { step(); });
}

void FleetLease::setCandidate(bool candidate)
{
    candidate_ = candidate;
}

bool FleetLease::isHeld() const
{
    return !released_ && fleet::isHeld(leaseView_, loop_->now(), leaseDuration_ / MarginDivisor);
}

std::uint64_t FleetLease::fence() const
{
    return isHeld() ? leaseView_.heldFence : 0;
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
    if (leaseView_.seen && decideLease(leaseView_, self_, loop_->now(), leaseDuration_) == LeaseAction::Renew) {
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
        observeRow(leaseView_, item.value() ? std::optional(rowOf(*item.value())) : std::nullopt, loop_->now());
        if (decideLease(leaseView_, self_, loop_->now(), leaseDuration_) == LeaseAction::Take) {
            write();
            return;
        }
        busy_ = false;
    });
}

void FleetLease::write()
{
    const bool renews = decideLease(leaseView_, self_, loop_->now(), leaseDuration_) == LeaseAction::Renew;
    const std::uint64_t seenFence = leaseView_.seen ? leaseView_.seen->fence : 0;
    const LeaseRow row{self_, renews ? seenFence : seenFence + 1, text::randomHex(NonceBytes)};
    table::Write write;
    write.item = itemOf(row);
    write.condition.kind = table::ConditionKind::ItemAbsent;
    if (leaseView_.seen) {
        write.condition = {table::ConditionKind::AttributeEquals, Nonce, leaseView_.seen->nonce};
    }
    const TimePoint sentAt = loop_->now();
    table_->write(std::move(write), [this, row, sentAt, renews](const table::WriteResult &result) {
        busy_ = false;
        if (result.outcome == table::WriteOutcome::Written) {
            recordWrite(leaseView_, row, sentAt, leaseDuration_);
            if (!renews) {
                partLogger("fleet")->info("Fleet lease acquired; this VM now orders backend VMs. fence={}", row.fence);
            }
            return;
        }
        // If the outcome is unknown, the next read may show the row with our nonce. The lease is not used as held even
        // then, as the time of the write is unknown; it expires like that of another VM.
        if (result.outcome != table::WriteOutcome::NotWritten) {
            leaseView_.heldFence = 0;
        }
    });
}

} // namespace cardamomlift::fleet
