#include "claims/claimrow.h"

#include "table/dynamodbformat.h"

#include <openssl/evp.h>

#include <cstdlib>

namespace cardamomlift::claims {

namespace {

constexpr char KeyPrefix[] = "claim#";
constexpr char SortKey[] = "claim";
constexpr char StateClaimed[] = "claimed";
constexpr char StateAnswered[] = "answered";
constexpr char StateUnknown[] = "unknown";
constexpr char BodyKept[] = "yes";

/// Bodies are arbitrary bytes, but attributes are text.
std::string toBase64(const std::string &bytes)
{
    std::string text(4 * ((bytes.size() + 2) / 3) + 1, '\0');
    const int size =
        EVP_EncodeBlock(reinterpret_cast<unsigned char *>(text.data()), reinterpret_cast<const unsigned char *>(bytes.data()), static_cast<int>(bytes.size()));
    text.resize(static_cast<std::size_t>(size));
    return text;
}

/// @p size: of the original bytes; decoding the padded text gives up to two more.
std::string fromBase64(const std::string &text, std::size_t size)
{
    std::string bytes(text.size() / 4 * 3 + 1, '\0');
    const int decoded =
        EVP_DecodeBlock(reinterpret_cast<unsigned char *>(bytes.data()), reinterpret_cast<const unsigned char *>(text.data()), static_cast<int>(text.size()));
    bytes.resize(decoded < 0 ? 0 : std::min(size, static_cast<std::size_t>(decoded)));
    return bytes;
}

RowState parseState(const std::string &text)
{
    if (text == StateClaimed) {
        return RowState::Claimed;
    }
    return text == StateAnswered ? RowState::Answered : RowState::Unknown;
}

table::Item makeItem(const Claim &claim, const Holder &holder, const char *state)
{
    table::Item item;
    item.key = rowKey(claim.request);
    item.attributes["state"] = state;
    item.attributes["holder"] = holder.instance;
    item.attributes["boot"] = holder.bootId;
    item.attributes["nonce"] = claim.nonce;
    item.attributes["bodyHash"] = claim.request.bodyHash;
    item.attributes[table::ExpiryAttribute] = std::to_string(claim.expiresAt);
    return item;
}

} // namespace

table::Key rowKey(const ClaimRequest &request)
{
    return {KeyPrefix + request.customer + "#" + request.key, SortKey};
}

table::Item claimedItem(const Claim &claim, const Holder &holder)
{
    return makeItem(claim, holder, StateClaimed);
}

table::Item finishedItem(const Claim &claim, const Holder &holder, Outcome outcome, const StoredResponse &response)
{
    if (outcome != Outcome::Answered) {
        return makeItem(claim, holder, StateUnknown);
    }
    table::Item item = makeItem(claim, holder, StateAnswered);
    item.attributes["status"] = std::to_string(response.status);
    item.attributes["contentType"] = toBase64(response.contentType);
    item.attributes["contentTypeSize"] = std::to_string(response.contentType.size());
    if (response.hasBody) {
        item.attributes["bodyKept"] = BodyKept;
        item.attributes["body"] = toBase64(response.body);
        item.attributes["bodySize"] = std::to_string(response.body.size());
    }
    return item;
}

ClaimRow parseRow(const table::Item &item)
{
    const auto number = [&item](std::string_view name) {
        return std::strtoull(table::attribute(item, name).c_str(), nullptr, 10);
    };
    ClaimRow row;
    row.state = parseState(table::attribute(item, "state"));
    row.holder = table::attribute(item, "holder");
    row.bootId = table::attribute(item, "boot");
    row.nonce = table::attribute(item, "nonce");
    row.bodyHash = table::attribute(item, "bodyHash");
    row.response.status = static_cast<int>(number("status"));
    row.response.contentType = fromBase64(table::attribute(item, "contentType"), number("contentTypeSize"));
    row.response.hasBody = table::attribute(item, "bodyKept") == BodyKept;
    row.response.body = fromBase64(table::attribute(item, "body"), number("bodySize"));
    return row;
}

} // namespace cardamomlift::claims
