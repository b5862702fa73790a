#include "text/base64.h"

#include <openssl/evp.h>

namespace cardamomlift::text {

namespace {

constexpr std::size_t GroupBytes = 3;
constexpr std::size_t GroupLetters = 4;

} // namespace

std::string encodeBase64(std::string_view bytes)
{
    // One more for the zero that libcrypto writes behind the text.
    std::string text((bytes.size() + GroupBytes - 1) / GroupBytes * GroupLetters + 1, '\0');
    const int size =
        EVP_EncodeBlock(reinterpret_cast<unsigned char *>(text.data()), reinterpret_cast<const unsigned char *>(bytes.data()), static_cast<int>(bytes.size()));
    text.resize(static_cast<std::size_t>(size));
    return text;
}

std::optional<std::string> decodeBase64(std::string_view text)
{
    if (text.empty()) {
        return std::string();
    }
    std::string bytes(text.size() / GroupLetters * GroupBytes + GroupBytes, '\0');
    const int size =
        EVP_DecodeBlock(reinterpret_cast<unsigned char *>(bytes.data()), reinterpret_cast<const unsigned char *>(text.data()), static_cast<int>(text.size()));
    if (size < 0) {
        return std::nullopt;
    }
    // libcrypto counts the bytes that the padding stands for.
    std::size_t padding = 0;
    while (padding < 2 && padding < text.size() && text[text.size() - 1 - padding] == '=') {
        padding++;
    }
    bytes.resize(static_cast<std::size_t>(size) - padding);
    return bytes;
}

} // namespace cardamomlift::text
