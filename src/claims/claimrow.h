#pragma once

#include "claims/claimdecision.h"

namespace cardamomlift::claims {

/// The process that wrote a claim.
struct Holder {
    std::string instance;
    std::string bootId; ///< Random at each start of the process.
};

table::Key rowKey(const ClaimRequest &request);
/// The row of a claim before its dispatch.
table::Item claimedItem(const Claim &claim, const Holder &holder);
/// The row of a finished claim: Answered or Unknown.
table::Item finishedItem(const Claim &claim, const Holder &holder, Outcome outcome, const StoredResponse &response);
/// Parses a stored item. A state that this version does not know is read as Unknown.
ClaimRow parseRow(const table::Item &item);

} // namespace cardamomlift::claims
