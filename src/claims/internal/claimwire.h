#pragma once

#include "claims/claimregistry.h"

#include <optional>
#include <string>

namespace cardamomlift::claims {

/// A query from one entry VM to another about the state of a claim (claims.proto).
struct HolderQuery {
    std::string bootId;
    std::string nonce;
    Duration wait{0};
};

std::string encodeQuery(const HolderQuery &query);
/// Empty if the payload cannot be parsed.
std::optional<HolderQuery> decodeQuery(const std::string &payload);
std::string encodeAnswer(const HolderAnswer &answer);
/// A payload that cannot be parsed gives NoAnswer.
HolderAnswer decodeAnswer(const std::string &payload);

} // namespace cardamomlift::claims
