#include "membership/membershiptypes.h"

#include <array>

namespace cardamomlift::membership {

namespace {

constexpr std::array<std::string_view, 4> SourceNames{"notice", "list", "answer", "load report"};
constexpr std::array<std::string_view, 3> HealthNames{"alive", "suspected", "failed"};

} // namespace

std::string_view nameOf(LeavingSource source)
{
    return SourceNames[static_cast<std::size_t>(source)];
}

std::string_view nameOf(Health health)
{
    return HealthNames[static_cast<std::size_t>(health)];
}

} // namespace cardamomlift::membership
