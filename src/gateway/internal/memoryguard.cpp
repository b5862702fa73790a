#include "gateway/memoryguard.h"

#include <fstream>
#include <unistd.h>

namespace cardamomlift::gateway {

namespace {

constexpr Duration SamplePeriod = std::chrono::milliseconds(500);

} // namespace

std::shared_ptr<MemoryGuard> MemoryGuard::create(EventLoop &loop, std::size_t limitBytes)
{
    std::shared_ptr<MemoryGuard> guard(new MemoryGuard);
    guard->limitBytes_ = limitBytes;
    guard->sample();
    loop.every(SamplePeriod, [guard] { guard->sample(); });
    return guard;
}

bool MemoryGuard::isOverLimit() const
{
    return residentBytes_ > limitBytes_;
}

std::size_t MemoryGuard::residentBytes() const
{
    return residentBytes_;
}

void MemoryGuard::sample()
{
    std::ifstream file("/proc/self/statm");
    std::size_t totalPages = 0;
    std::size_t residentPages = 0;
    file >> totalPages >> residentPages;
    residentBytes_ = residentPages * static_cast<std::size_t>(sysconf(_SC_PAGESIZE));
}

} // namespace cardamomlift::gateway
