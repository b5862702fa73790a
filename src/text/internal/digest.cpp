#include "text/digest.h"

#include <fmt/format.h>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/rand.h>
#include <xxhash.h>

#include <array>
#include <cstdlib>
#include <vector>

namespace cardamomlift::text {

namespace {

std::string hex(const unsigned char *data, std::size_t size)
{
    std::string result;
    for (std::size_t i = 0; i < size; i++) {
        result += fmt::format("{:02x}", data[i]);
    }
    return result;
}

} // namespace

std::string sha256Hex(std::string_view data)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    unsigned size = 0;
    EVP_Digest(data.data(), data.size(), digest.data(), &size, EVP_sha256(), nullptr);
    return hex(digest.data(), size);
}

std::uint64_t stableHash(std::string_view data, std::uint64_t seed)
{
    return XXH64(data.data(), data.size(), seed);
}

std::string randomHex(std::size_t bytes)
{
    std::vector<unsigned char> buffer(bytes);
    if (RAND_bytes(buffer.data(), static_cast<int>(bytes)) != 1) {
        std::abort();
    }
    return hex(buffer.data(), bytes);
}

bool equalSecrets(std::string_view a, std::string_view b)
{
    return a.size() == b.size() && CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

} // namespace cardamomlift::text
