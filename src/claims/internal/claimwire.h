#pragma once

#include "claims/claimregistry.h"

#include <optional>
#include <string>

namespace cardamomlift::claims {

/// The question "what became of this claim?" from one entry VM to another (claims.proto).
struct HolderQuestion {
    std::string boot;
    std::string nonce;
    Duration wait{0};
};

std::string askPayload(const HolderQuestion &question);
/// Empty if the payload is not such a message.
std::optional<HolderQuestion> askOf(const std::string &payload);
std::string holderAnswerPayload(const HolderAnswer &answer);
/// A payload that can't be read is NoAnswer.
HolderAnswer holderAnswerOf(const std::string &payload);

} // namespace cardamomlift::claims
