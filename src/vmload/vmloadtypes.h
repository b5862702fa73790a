#pragma once

#include "kernel/clock.h"

namespace cardamomlift::vmload {

/// Bounds of what a VM does that can't keep up.
struct VmLoadParameters {
    /// A VM whose loop runs this part of the tightest latency goal late is busy: that much of the goal is lost before a request is read.
    double busyAtGoalPart = 0.25;
    /// It is so no longer below this part.
    double calmAtGoalPart = 0.125;
    /// For so long at least: a suspended process or one long answer is no load.
    Duration holdTime = std::chrono::milliseconds(600);
    /// Part of its requests that a VM hands over at most, when its lag is as long as the goal.
    double maxShare = 0.5;
    /// Most that the share changes from one sample to the next, so that the lag follows it: from nothing to all within some three seconds.
    double maxShareStep = 0.02;
    /// Another VM has headroom if its lag is at most this part of this VM's.
    double headroomPart = 0.25;
    /// Requests are handed over only if so many of the other VMs have headroom.
    double minHeadroomVms = 0.6;
};

/// How late a VM's event loop runs, and what follows from it.
struct VmLoad {
    Duration lag{0}; ///< Smoothed.
    bool isBusy = false;
    TimePoint changingSince; ///< Since then the lag says that isBusy should change.
    bool isChanging = false;
    double share = 0; ///< Of its new requests, which it hands over.
};

} // namespace cardamomlift::vmload
