#include "contract/contractreader.h"

#include "settings/jsontext.h"

#include <array>
#include <functional>

namespace cardamomlift::contract {

namespace {

using AddLocation = std::function<void(const std::string &path, const Json::Value &value)>;

/// How the elements of one list of the contract are named in paths.
struct NamedList {
    const char *list;
    const char *nameMember;
    const char *secondMember; ///< Appended to the name; may be null.
};

constexpr std::array<NamedList, 4> NamedLists{
    {{"keys", "name", nullptr}, {"classes", "name", nullptr}, {"models", "model", nullptr}, {"services", "service", "path"}}};

void addMembers(const std::string &path, const Json::Value &object, const AddLocation &add)
{
    add(path, object);
    for (const std::string &name : object.getMemberNames()) {
        add(path + "." + name, object[name]);
    }
}

void addList(const NamedList &named, const Json::Value &list, const AddLocation &add)
{
    add(named.list, list);
    for (const Json::Value &element : list) {
        std::string name = element[named.nameMember].asString();
        if (named.secondMember) {
            name += element[named.secondMember].asString();
        }
        addMembers(std::string(named.list) + "." + name, element, add);
    }
}

} // namespace

ContractLocations ContractLocations::read(const std::string &file, const std::string &text)
{
    ContractLocations result;
    Findings findings;
    const auto json = settings::JsonText::parse(file, text, findings);
    if (!json || !json->root().isObject()) {
        return result;
    }
    const auto add = [&](const std::string &path, const Json::Value &value) {
        const Finding location = json->findingAt(value, {}, {});
        result.locations_[path] = {location.line, location.column};
    };
    const Json::Value &root = json->root();
    add("", root);
    for (const NamedList &named : NamedLists) {
        if (root.isMember(named.list)) {
            addList(named, root[named.list], add);
        }
    }
    for (const char *object : {"limits", "spending"}) {
        if (root.isMember(object)) {
            addMembers(object, root[object], add);
        }
    }
    return result;
}

void ContractLocations::locate(Finding &finding, std::string path) const
{
    while (true) {
        const auto found = locations_.find(path);
        if (found != locations_.end()) {
            finding.line = found->second.line;
            finding.column = found->second.column;
            return;
        }
        if (path.empty()) {
            return;
        }
        const auto dot = path.rfind('.');
        path = dot == std::string::npos ? std::string() : path.substr(0, dot);
    }
}

} // namespace cardamomlift::contract
