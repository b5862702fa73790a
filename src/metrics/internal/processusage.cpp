#include "metrics/processusage.h"

#include <fstream>
#include <sys/resource.h>
#include <unistd.h>

namespace cardamomlift::metrics {

namespace {

constexpr double MicrosecondsPerSecond = 1e6;

double secondsOf(const timeval &time)
{
    return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_usec) / MicrosecondsPerSecond;
}

} // namespace

double processCpuSeconds()
{
    rusage usage{};
    if (getrusage(RUSAGE_SELF, &usage) != 0) {
        return 0;
    }
    return secondsOf(usage.ru_utime) + secondsOf(usage.ru_stime);
}

std::uint64_t processResidentBytes()
{
    std::ifstream file("/proc/self/statm");
    std::uint64_t total = 0;
    std::uint64_t resident = 0;
    if (!(file >> total >> resident)) {
        return 0;
    }
    return resident * static_cast<std::uint64_t>(sysconf(_SC_PAGESIZE));
}

} // namespace cardamomlift::metrics
