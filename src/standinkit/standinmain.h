#pragma once

#include "clientbudget/clientbudget.h"
#include "http/server.h"
#include "kernel/eventloop.h"

#include <json/json.h>

#include <boost/program_options.hpp>

#include <functional>

namespace cardamomlift::standinkit {

/// Runs a stand-in program: parses the command line with @p options (plus --help), calls @p start, prints the JSON it
/// fills as one ready line, and runs the loop until SIGTERM.
int standinMain(int argc,
    char **argv,
    boost::program_options::options_description options,
    const std::function<Result<void>(EventLoop &loop, const boost::program_options::variables_map &values, Json::Value &ready)> &start);

/// A budget that the clients of a stand-in do not use up.
std::shared_ptr<clientbudget::ClientBudget> ampleBudget(EventLoop &loop);

} // namespace cardamomlift::standinkit
