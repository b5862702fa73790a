#pragma once

#include "kernel/clock.h"

#include <cstdint>
#include <functional>
#include <list>

namespace cardamomlift::bench {

/// A backend server as admission sees it: full speed up to a number of requests, then all slow down alike.
class BackendModel
{
public:
    struct Run {
        Duration work{0}; ///< Time it takes alone.
        std::function<void()> onFirstToken;
        std::function<void()> onEnd;
        Duration done{0};
        bool hasFirstToken = false;
    };

    explicit BackendModel(double slots);
    void start(Run run);
    /// Lets @p time pass.
    void pass(Duration time);

private:
    double slots_;
    std::list<Run> runs_;
};

} // namespace cardamomlift::bench
