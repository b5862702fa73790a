#include "support/process.h"

#include "http/json.h"

#include <gtest/gtest.h>

#include <csignal>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace cardamomlift::test {

namespace {

struct Scratch {
    Scratch()
    {
        std::string pattern = std::filesystem::temp_directory_path() / "cardamomlift-XXXXXX";
        path = mkdtemp(pattern.data());
    }

    ~Scratch()
    {
        std::error_code ignored;
        std::filesystem::remove_all(path, ignored);
    }

    std::string path;
};

/// Forks and runs the program with its standard output on @p outFd and its standard error on @p errFd.
pid_t spawn(const std::string &program, const std::vector<std::string> &arguments, int outFd, int errFd)
{
    const std::string path = std::string(CARDAMOMLIFT_BINARIES) + "/" + program;
    std::vector<char *> argv{const_cast<char *>(path.c_str())};
    for (const std::string &argument : arguments) {
        argv.push_back(const_cast<char *>(argument.c_str()));
    }
    argv.push_back(nullptr);
    const pid_t pid = fork();
    if (pid == 0) {
        // NOTE A test that crashes must leave no process behind.
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        dup2(outFd, STDOUT_FILENO);
        dup2(errFd, STDERR_FILENO);
        execv(path.c_str(), argv.data());
        _exit(127);
    }
    return pid;
}

/// One line from @p fd, or what came until its end.
std::string readLine(int fd)
{
    std::string line;
    char byte = 0;
    while (read(fd, &byte, 1) == 1 && byte != '\n') {
        line += byte;
    }
    return line;
}

} // namespace

std::string readFile(const std::string &path)
{
    std::ifstream file(path);
    std::stringstream text;
    text << file.rdbuf();
    return text.str();
}

const std::string &scratchFolder()
{
    static const Scratch Folder;
    return Folder.path;
}

std::string writeScratchFile(const std::string &name, const std::string &text)
{
    const std::string path = scratchFolder() + "/" + name;
    std::ofstream(path) << text;
    return path;
}

std::unique_ptr<Process> Process::start(const std::string &program, const std::vector<std::string> &arguments)
{
    static int number = 0;
    std::unique_ptr<Process> process(new Process);
    process->logPath_ = scratchFolder() + "/" + program + "-" + std::to_string(number++) + ".log";
    int pipeFds[2];
    if (pipe2(pipeFds, O_CLOEXEC) != 0) {
        ADD_FAILURE() << "pipe: " << std::strerror(errno);
        return process;
    }
    const int logFd = open(process->logPath_.c_str(), O_CREAT | O_WRONLY | O_APPEND | O_CLOEXEC, 0600);
    process->pid_ = spawn(program, arguments, pipeFds[1], logFd);
    close(pipeFds[1]);
    close(logFd);
    const std::string line = readLine(pipeFds[0]);
    close(pipeFds[0]);
    const auto ready = http::parseJson(line);
    if (!ready) {
        ADD_FAILURE() << program << " did not get ready: " << process->log();
        return process;
    }
    process->ready_ = *ready;
    return process;
}

int Process::run(const std::string &program, const std::vector<std::string> &arguments, std::string &output)
{
    const std::string path = writeScratchFile(program + "-output", "");
    const int fd = open(path.c_str(), O_WRONLY | O_APPEND | O_CLOEXEC);
    const pid_t pid = spawn(program, arguments, fd, fd);
    close(fd);
    int status = 0;
    waitpid(pid, &status, 0);
    output = readFile(path);
    return WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
}

Process::~Process()
{
    if (pid_ > 0 && isRunning()) {
        kill(pid_, SIGKILL);
        wait();
    }
}

const Json::Value &Process::ready() const
{
    return ready_;
}

int Process::port(const char *name) const
{
    return ready_[name].asInt();
}

void Process::signal(int number)
{
    if (!ended_) {
        kill(pid_, number);
    }
}

int Process::wait()
{
    if (!ended_) {
        int status = 0;
        waitpid(pid_, &status, 0);
        ended_ = true;
        exitCode_ = WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
    }
    return exitCode_;
}

bool Process::isRunning()
{
    if (ended_) {
        return false;
    }
    int status = 0;
    if (waitpid(pid_, &status, WNOHANG) == pid_) {
        ended_ = true;
        exitCode_ = WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
    }
    return !ended_;
}

std::string Process::log() const
{
    return readFile(logPath_);
}

pid_t Process::pid() const
{
    return pid_;
}

} // namespace cardamomlift::test
