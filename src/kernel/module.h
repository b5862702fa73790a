#pragma once

#include "kernel/context.h"
#include "kernel/result.h"

#include <memory>
#include <string_view>
#include <vector>

namespace cardamomlift {

/// How callers reach a daemon. A daemon serves one of these.
enum class Gateway {
    Chat, ///< The product's own interface for chats and services, with contracts.
    Routes, ///< Requests passed on by the routes of a declared manifest.
};

/// Whether a module is part of a daemon.
enum class ModuleUse { Chat, Routes, Both };

/// A plug-in of the kernel. It publishes its service objects in the Context when started.
class Module
{
public:
    virtual ~Module() = default;
    virtual std::string_view name() const = 0;
    /// The daemons that it is part of.
    virtual ModuleUse use() const;
    /// Names of the modules that must be started first.
    virtual std::vector<std::string_view> dependencies() const = 0;
    /// Creates the module's objects. An error ends the start of the daemon.
    virtual Result<void> start(Context &context) = 0;
    /// Called in the reverse order of start.
    virtual void stop(Context &context);
};

using ModuleFactory = std::unique_ptr<Module> (*)();

/// Adds a factory to the list the kernel starts from; called before main() by ModuleRegistration.
void registerModule(ModuleFactory factory);

/// One of each registered module that a daemon with @p gateway has, sorted so that dependencies come first. Fails on a
/// missing name or a cycle.
Result<std::vector<std::unique_ptr<Module>>> createModules(Gateway gateway = Gateway::Chat);

/// Registers module class T when a namespace-scope object of this type is constructed.
template<class T>
struct ModuleRegistration {
    ModuleRegistration()
    {
        registerModule([]() -> std::unique_ptr<Module> { return std::make_unique<T>(); });
    }
};

} // namespace cardamomlift
