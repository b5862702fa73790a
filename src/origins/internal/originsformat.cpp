#include "origins/originsformat.h"

#include "origins/origins.pb.h"

namespace cardamomlift::origins {

namespace {

using Entries = google::protobuf::RepeatedPtrField<wire::Origin>;

void writeOrigins(std::span<const StreamOrigin> origins, Entries &entries)
{
    for (const StreamOrigin &origin : origins) {
        wire::Origin *entry = entries.Add();
        entry->set_stream(origin.stream);
        entry->set_software(origin.software);
        entry->set_age_ms(static_cast<std::uint32_t>(toMilliseconds(origin.age)));
    }
}

std::vector<StreamOrigin> readOrigins(const Entries &entries)
{
    std::vector<StreamOrigin> origins;
    origins.reserve(static_cast<std::size_t>(entries.size()));
    for (const wire::Origin &entry : entries) {
        origins.push_back({entry.stream(), entry.software(), std::chrono::milliseconds(entry.age_ms())});
    }
    return origins;
}

} // namespace

std::string encodeMessage(const OriginMessage &message)
{
    wire::Message out;
    out.set_from(http1::formatEndpoint(message.from));
    writeOrigins(message.origins, *out.mutable_origins());
    writeOrigins(message.toStore, *out.mutable_to_store());
    out.mutable_asked()->Assign(message.asked.begin(), message.asked.end());
    out.mutable_unknown()->Assign(message.unknown.begin(), message.unknown.end());
    return out.SerializeAsString();
}

std::optional<OriginMessage> decodeMessage(std::string_view bytes)
{
    wire::Message in;
    if (!in.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
        return std::nullopt;
    }
    const auto from = http1::parseEndpoint(in.from());
    if (!from) {
        return std::nullopt;
    }
    OriginMessage message;
    message.from = *from;
    message.origins = readOrigins(in.origins());
    message.toStore = readOrigins(in.to_store());
    message.asked.assign(in.asked().begin(), in.asked().end());
    message.unknown.assign(in.unknown().begin(), in.unknown().end());
    return message;
}

std::string encodeOrigins(std::span<const StreamOrigin> origins)
{
    wire::Message out;
    writeOrigins(origins, *out.mutable_origins());
    return out.SerializeAsString();
}

std::vector<StreamOrigin> decodeOrigins(std::string_view bytes)
{
    wire::Message in;
    return in.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())) ? readOrigins(in.origins()) : std::vector<StreamOrigin>();
}

} // namespace cardamomlift::origins
