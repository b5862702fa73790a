#pragma once

#include "kernel/eventloop.h"

#include <cstddef>
#include <memory>

namespace cardamomlift::gateway {

/// Watches this process's resident memory, so that new work is refused before the VM runs out of it.
class MemoryGuard
{
public:
    /// @p limitBytes: above it isOver() holds.
    static std::shared_ptr<MemoryGuard> create(EventLoop &loop, std::size_t limitBytes);
    bool isOver() const;
    std::size_t residentBytes() const;

private:
    MemoryGuard() = default;
    void sample();
    std::size_t limitBytes_ = 0;
    std::size_t residentBytes_ = 0;
};

} // namespace cardamomlift::gateway
