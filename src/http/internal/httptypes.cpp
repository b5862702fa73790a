#include "http/httptypes.h"

#include <algorithm>
#include <strings.h>

namespace cardamomlift::http {

bool HeaderLess::operator()(std::string_view a, std::string_view b) const
{
    const int order = strncasecmp(a.data(), b.data(), std::min(a.size(), b.size()));
    return order == 0 ? a.size() < b.size() : order < 0;
}

std::string_view headerValue(const Headers &headers, std::string_view name)
{
    const auto found = headers.find(name);
    return found == headers.end() ? std::string_view() : std::string_view(found->second);
}

} // namespace cardamomlift::http
