#include "process.hpp"

#include <csignal>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <sstream>
#include <thread>

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

namespace yuccaspan::standins {

namespace {

constexpr int signalExitBase = 128;
constexpr mode_t outputMode = 0644;

} // namespace

Result<std::unique_ptr<Process>> Process::start(const std::vector<std::string> &arguments,
                                                std::string outputFile)
{
    std::vector<char *> pointers;
    pointers.reserve(arguments.size() + 1);
    for (const std::string &argument : arguments)
        pointers.push_back(const_cast<char *>(argument.c_str()));
    pointers.push_back(nullptr);
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    const int flags = O_WRONLY | O_CREAT | O_TRUNC;
    const std::string errors = outputFile + ".err";
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, outputFile.c_str(), flags,
                                     outputMode);
    posix_spawn_file_actions_addopen(&actions, STDERR_FILENO, errors.c_str(), flags, outputMode);
    pid_t pid = 0;
    const int error =
        posix_spawn(&pid, pointers.front(), &actions, nullptr, pointers.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    if (error != 0)
        return Error{ErrorCode::Unavailable,
                     "cannot start " + arguments.front() + ": " + std::strerror(error),
                     {}};
    return std::unique_ptr<Process>(new Process(pid, std::move(outputFile)));
}

Process::Process(pid_t pid, std::string outputFile)
    : m_pid(pid), m_outputFile(std::move(outputFile))
{ }

Process::~Process()
{
    if (ended())
        return;
    signal(SIGKILL);
    int status = 0;
    waitpid(m_pid, &status, 0);
}

void Process::signal(int number) const
{
    if (!m_exitCode)
        kill(m_pid, number);
}

void Process::freeze() const
{
    if (m_exitCode)
        return;
    signal(SIGSTOP);
    siginfo_t state{};
    waitid(P_PID, static_cast<id_t>(m_pid), &state, WSTOPPED | WEXITED | WNOWAIT);
}

void Process::resume() const
{
    signal(SIGCONT);
}

bool Process::ended()
{
    if (m_exitCode)
        return true;
    int status = 0;
    if (waitpid(m_pid, &status, WNOHANG) != m_pid)
        return false;
    m_exitCode = WIFEXITED(status) ? WEXITSTATUS(status) : signalExitBase + WTERMSIG(status);
    return true;
}

std::optional<int> Process::wait(Duration timeout)
{
    if (!waitUntil([this] { return ended(); }, timeout))
        return std::nullopt;
    return m_exitCode;
}

Result<std::vector<std::string>> Process::lines(std::size_t count, Duration timeout)
{
    std::vector<std::string> found;
    const auto enough = [&] {
        found.clear();
        std::istringstream text(readFile(m_outputFile));
        for (std::string line; std::getline(text, line) && !text.eof();)
            found.push_back(line);
        return found.size() >= count;
    };
    const bool stopped = waitUntil([&] { return enough() || ended(); }, timeout);
    if (stopped && enough())
        return found;
    return Error{ErrorCode::Timeout,
                 "no " + std::to_string(count) + " lines from process, but: "
                     + readFile(m_outputFile) + readFile(m_outputFile + ".err"),
                 {}};
}

Duration Process::processorTime() const
{
    // Fields 14 and 15 of the line, counted after the program's name in brackets.
    constexpr int fieldsBefore = 11;
    const std::string text = readFile("/proc/" + std::to_string(m_pid) + "/stat");
    std::istringstream fields(text.substr(std::min(text.rfind(')') + 1, text.size())));
    std::string skipped;
    for (int field = 0; field < fieldsBefore; ++field)
        fields >> skipped;
    std::int64_t user = 0;
    std::int64_t system = 0;
    fields >> user >> system;
    constexpr std::int64_t microsPerSecond = 1000000;
    return Duration((user + system) * microsPerSecond / sysconf(_SC_CLK_TCK));
}

std::uint64_t Process::residentBytes() const
{
    std::istringstream fields(readFile("/proc/" + std::to_string(m_pid) + "/statm"));
    std::uint64_t total = 0;
    std::uint64_t resident = 0;
    fields >> total >> resident;
    return resident * static_cast<std::uint64_t>(sysconf(_SC_PAGESIZE));
}

std::string programFolder()
{
    std::error_code ignored;
    return std::filesystem::read_symlink("/proc/self/exe", ignored).parent_path().string();
}

std::string readFile(const std::string &path)
{
    std::ifstream file(path);
    return {std::istreambuf_iterator<char>(file), {}};
}

void pause(Duration duration)
{
    std::this_thread::sleep_for(duration);
}

} // namespace yuccaspan::standins
