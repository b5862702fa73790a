#include "contract/contracttypes.h"

#include <algorithm>

namespace cardamomlift::contract {

std::string_view priorityName(Priority priority)
{
    switch (priority) {
    case Priority::Urgent:
        return "urgent";
    case Priority::Normal:
        return "normal";
    case Priority::Deferrable:
        return "deferrable";
    }
    return "";
}

const ServiceClass *findClass(const Contract &contract, std::string_view name)
{
    const auto found = std::find_if(contract.classes.begin(), contract.classes.end(), [&](const ServiceClass &entry) { return entry.name == name; });
    return found == contract.classes.end() ? nullptr : &*found;
}

const ModelGrant *findModel(const Contract &contract, std::string_view model)
{
    const auto found = std::find_if(contract.models.begin(), contract.models.end(), [&](const ModelGrant &grant) { return grant.model == model; });
    return found == contract.models.end() ? nullptr : &*found;
}

const ServiceGrant *findService(const Contract &contract, std::string_view service, std::string_view path)
{
    const ServiceGrant *best = nullptr;
    for (const ServiceGrant &grant : contract.services) {
        if (grant.service != service || !path.starts_with(grant.path)) {
            continue;
        }
        if (!best || grant.path.size() > best->path.size()) {
            best = &grant;
        }
    }
    return best;
}

} // namespace cardamomlift::contract
