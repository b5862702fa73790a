#include "standinkit/standinmain.h"

#include "http/json.h"

#include <ev.h>

#include <csignal>
#include <cstdio>
#include <iostream>

namespace cardamomlift::standinkit {

int standinMain(int argc,
    char **argv,
    boost::program_options::options_description options,
    const std::function<Result<void>(EventLoop &loop, const boost::program_options::variables_map &values, Json::Value &ready)> &start)
{
    std::signal(SIGPIPE, SIG_IGN);
    options.add_options()("help", "print this text");
    boost::program_options::variables_map values;
    try {
        boost::program_options::store(boost::program_options::parse_command_line(argc, argv, options), values);
        boost::program_options::notify(values);
    } catch (const boost::program_options::error &error) {
        std::cerr << error.what() << "\n" << options;
        return 2;
    }
    if (values.count("help")) {
        std::cout << options;
        return 0;
    }
    static const SystemClock RunClock;
    auto loop = EventLoop::create(RunClock);
    if (!loop) {
        std::cerr << loop.error().message << "\n";
        return 1;
    }
    Json::Value ready;
    ready["ready"] = true;
    auto started = start(*loop.value(), values, ready);
    if (!started) {
        std::cerr << started.error().message << "\n";
        return 1;
    }
    ev_signal terminate;
    ev_signal_init(
        &terminate, [](struct ev_loop *raw, ev_signal *, int) { ev_break(raw, EVBREAK_ALL); }, SIGTERM);
    ev_signal_start(loop.value()->raw(), &terminate);
    std::puts(http::writeJson(ready).c_str());
    std::fflush(stdout);
    loop.value()->run();
    // The stand-in's objects end with the process; nothing of it must last.
    std::_Exit(0);
}

std::shared_ptr<clientbudget::ClientBudget> ampleBudget(EventLoop &loop)
{
    constexpr std::size_t Bytes = 1u << 30;
    constexpr std::size_t Descriptors = 20000;
    return clientbudget::ClientBudget::create(loop.clock(), {Bytes, Descriptors});
}

} // namespace cardamomlift::standinkit
