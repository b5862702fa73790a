#include "backendmodel.h"

#include <algorithm>

namespace cardamomlift::bench {

namespace {

constexpr Duration FirstTokenWork = std::chrono::milliseconds(100);

} // namespace

BackendModel::BackendModel(double slots)
    : slots_(slots)
{
}

void BackendModel::start(Run run)
{
    runs_.push_back(std::move(run));
}

void BackendModel::pass(Duration time)
{
    const double speed = std::min(1.0, slots_ / std::max<double>(1, static_cast<double>(runs_.size())));
    const auto step = std::chrono::duration_cast<Duration>(time * speed);
    std::list<Run> ended;
    for (auto run = runs_.begin(); run != runs_.end();) {
        const auto next = std::next(run);
        run->done += step;
        if (!run->hasFirstToken && run->done >= FirstTokenWork) {
            run->hasFirstToken = true;
            run->onFirstToken();
        }
        if (run->done >= run->work) {
            ended.splice(ended.end(), runs_, run);
        }
        run = next;
    }
    for (const Run &run : ended) {
        run.onEnd();
    }
}

} // namespace cardamomlift::bench
