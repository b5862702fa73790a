#pragma once

#include <random>
#include <string>

namespace cardamomlift::http1 {

/// @p bytes with up to four places changed: one byte flipped, some bytes removed, or inserted anew.
inline std::string mutatedBytes(std::string bytes, std::mt19937 &random)
{
    constexpr std::size_t MaxPlaces = 4;
    constexpr std::size_t MaxRun = 12;
    for (std::size_t count = 1 + random() % MaxPlaces; count > 0 && !bytes.empty(); count--) {
        const std::size_t place = random() % bytes.size();
        switch (random() % 3) {
        case 0:
            bytes[place] = static_cast<char>(random());
            break;
        case 1:
            bytes.erase(place, 1 + random() % MaxRun);
            break;
        default:
            bytes.insert(place, 1 + random() % MaxRun, static_cast<char>(random()));
        }
    }
    return bytes;
}

} // namespace cardamomlift::http1
