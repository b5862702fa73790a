#pragma once

#include "kernel/eventloop.h"

#include <cstddef>
#include <memory>

namespace cardamomlift::gateway {

/// Samples this process's resident memory, so that new requests are refused before the VM runs out of memory.
class MemoryGuard
{
public:
    /// isOverLimit() is true while the resident memory exceeds @p limitBytes.
    static std::shared_ptr<MemoryGuard> create(EventLoop &loop, std::size_t limitBytes);
    bool isOverLimit() const;
    std::size_t residentBytes() const;

private:
    MemoryGuard() = default;
    void sample();
    std::size_t limitBytes_ = 0;
    std::size_t residentBytes_ = 0;
};

} // namespace cardamomlift::gateway
