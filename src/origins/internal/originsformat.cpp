#include "origins/originsformat.h"

#include "origins/origins.pb.h"

namespace cardamomlift::origins {

std::string encodeMessage(const OriginMessage &message)
{
    wire::Message out;
    out.set_from(http1::formatEndpoint(message.from));
    for (const StreamOrigin &origin : message.origins) {
        wire::Origin *entry = out.add_origins();
        entry->set_stream(origin.stream);
        entry->set_software(origin.software);
        entry->set_age_ms(static_cast<std::uint32_t>(toMilliseconds(origin.age)));
    }
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
    for (const wire::Origin &entry : in.origins()) {
        message.origins.push_back({entry.stream(), entry.software(), std::chrono::milliseconds(entry.age_ms())});
    }
    message.asked.assign(in.asked().begin(), in.asked().end());
    message.unknown.assign(in.unknown().begin(), in.unknown().end());
    return message;
}

} // namespace cardamomlift::origins
