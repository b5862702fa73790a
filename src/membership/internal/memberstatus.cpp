#include "membership/memberstatus.h"

namespace cardamomlift::membership {

namespace {

Json::Int64 toMs(WallTime time)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(time.time_since_epoch()).count();
}

} // namespace

Json::Value memberStatus(const Members &members, const Vm &vm)
{
    Json::Value json;
    json["instance"] = vm.instance;
    json["zone"] = vm.zone;
    json["leaving"] = vm.state != VmState::Live;
    if (const auto mark = members.leavingMark(vm.instance)) {
        json["leavingSource"] = std::string(nameOf(mark->source));
        json["leavingReporter"] = mark->reporter;
        json["leavingSeenAtMs"] = toMs(mark->seen);
        json["leavingKnownAtMs"] = toMs(mark->known);
    }
    if (vm.role == VmRole::Entry) {
        json["health"] = std::string(nameOf(members.healthOf(vm.instance)));
    } else {
        json["unreachable"] = members.isUnreachable(vm.instance);
    }
    return json;
}

} // namespace cardamomlift::membership
