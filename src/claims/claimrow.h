#pragma once

#include "claims/claimdecision.h"

namespace cardamomlift::claims {

/// Which process wrote a claim.
struct Holder {
    std::string instance;
    std::string boot; ///< Random at each start of the process.
};

table::Key rowKey(const ClaimRequest &request);
/// The claim before its dispatch.
table::Item claimedItem(const Claim &claim, const Holder &holder);
/// How the claim ended: Answered or Unknown.
table::Item endedItem(const Claim &claim, const Holder &holder, Outcome outcome, const StoredResponse &response);
/// Reads an item back. A state that this version does not know is read as Unknown.
ClaimRow rowOf(const table::Item &item);

} // namespace cardamomlift::claims
