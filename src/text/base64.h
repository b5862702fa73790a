#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace cardamomlift::text {

std::string encodeBase64(std::string_view bytes);
/// Empty if @p text is not base64 with its padding.
std::optional<std::string> decodeBase64(std::string_view text);

} // namespace cardamomlift::text
