#pragma once

#include <json/json.h>

#include <memory>
#include <string>
#include <sys/types.h>
#include <vector>

namespace cardamomlift::test {

/// A child process of a test: one of our programs, which prints a ready line of JSON.
class Process
{
public:
    /// Starts @p program of the build folder and waits for its ready line. Fails the test if there is none.
    static std::unique_ptr<Process> start(const std::string &program, const std::vector<std::string> &arguments);
    /// Runs a program to its end; returns its exit code and fills @p output with standard output and error.
    static int run(const std::string &program, const std::vector<std::string> &arguments, std::string &output);
    /// Kills the process if it still runs.
    ~Process();

    const Json::Value &ready() const;
    int port(const char *name = "port") const;
    void signal(int number);
    /// Waits for the end; the exit code, or 128 plus the signal that ended it.
    int wait();
    bool isRunning();
    /// What it wrote to standard error so far.
    std::string log() const;
    pid_t pid() const;

private:
    Process() = default;
    pid_t pid_ = -1;
    int exitCode_ = -1;
    bool ended_ = false;
    Json::Value ready_;
    std::string logPath_;
};

/// A folder of this test process's own, removed at its end.
const std::string &scratchFolder();
std::string writeScratchFile(const std::string &name, const std::string &text);
/// All of a file; empty if it can't be read.
std::string readFile(const std::string &path);

} // namespace cardamomlift::test
