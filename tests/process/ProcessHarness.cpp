#include "process/ProcessHarness.h"

#include <atomic>
#include <catkinwell/http/HttpClient.h>
#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <netinet/in.h>
#include <spawn.h>
#include <sstream>
#include <stdexcept>
#include <sys/file.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

extern char** environ;

namespace Catkinwell::Testing {

namespace {

    // The ephemeral ports that the system assigns to outgoing connections begin at 32768. Such a port could be taken
    // before the caller binds it.
    constexpr unsigned firstTestPort = 20000;
    constexpr unsigned portsPerBlock = 500;
    constexpr unsigned portBlocks = 24;
    // Ports belong to the machine, so the locks do not follow TMPDIR.
    constexpr const char* lockFolder = "/tmp";
    // From the start of a process until its main(), on a busy machine.
    constexpr auto longestBeginning = std::chrono::seconds(10);

    // Reserves a block of ports against other test processes on this machine. The lock ends with the process.
    unsigned firstPortOfReservedBlock()
    {
        for (unsigned block = 0; block < portBlocks; ++block) {
            const auto path
                = std::filesystem::path(lockFolder) / ("catkinwell-test-ports-" + std::to_string(block) + ".lock");
            const int file = open(path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0666);
            if (file < 0)
                continue;
            if (flock(file, LOCK_EX | LOCK_NB) == 0)
                return firstTestPort + block * portsPerBlock;
            close(file);
        }
        throw std::runtime_error("all blocks of test ports are reserved");
    }

} // namespace

ChildProcess::ChildProcess(const std::vector<std::string>& command, const std::string& outputFile)
    : m_outputFile(outputFile)
{
    std::vector<char*> arguments;
    for (const std::string& argument : command)
        arguments.push_back(const_cast<char*>(argument.c_str()));
    arguments.push_back(nullptr);
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, 1, outputFile.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    posix_spawn_file_actions_adddup2(&actions, 1, 2);
    // A copy of the fakes' and proxies' sockets in this process would keep connections open that they have closed.
    posix_spawn_file_actions_addclosefrom_np(&actions, 3);
    // The child would inherit that this process ignores the signal, see waitUntilBegun().
    sigset_t defaultSignals;
    sigemptyset(&defaultSignals);
    sigaddset(&defaultSignals, SIGPIPE);
    posix_spawnattr_t attributes;
    posix_spawnattr_init(&attributes);
    posix_spawnattr_setsigdefault(&attributes, &defaultSignals);
    posix_spawnattr_setflags(&attributes, POSIX_SPAWN_SETSIGDEF);
    const int error = posix_spawn(&m_pid, arguments[0], &actions, &attributes, arguments.data(), environ);
    posix_spawnattr_destroy(&attributes);
    posix_spawn_file_actions_destroy(&actions);
    if (error != 0)
        throw std::runtime_error("the program " + command[0] + " cannot be started");
}

ChildProcess::~ChildProcess()
{
    if (m_reaped)
        return;
    kill(m_pid, SIGCONT);
    kill(m_pid, SIGKILL);
    waitpid(m_pid, nullptr, 0);
}

void ChildProcess::signal(int signalNumber) const
{
    if (!m_reaped)
        kill(m_pid, signalNumber);
}

bool ChildProcess::isRunning()
{
    if (m_reaped)
        return false;
    int status = 0;
    if (waitpid(m_pid, &status, WNOHANG) != m_pid)
        return true;
    m_reaped = true;
    m_exitCode = WIFEXITED(status) ? WEXITSTATUS(status) : -1;
    m_endSignal = WIFSIGNALED(status) ? WTERMSIG(status) : 0;
    return false;
}

std::string ChildProcess::state()
{
    if (isRunning())
        return "runs";
    return m_endSignal != 0 ? "was ended by signal " + std::to_string(m_endSignal)
                            : "exited with " + std::to_string(m_exitCode);
}

int ChildProcess::waitForExit(std::chrono::milliseconds timeout)
{
    return eventually([this] { return !isRunning(); }, timeout) ? m_exitCode : -1;
}

std::size_t ChildProcess::peakMemoryMb() const
{
    std::ifstream status("/proc/" + std::to_string(m_pid) + "/status");
    for (std::string line; std::getline(status, line);) {
        std::istringstream words(line);
        std::string name;
        std::size_t kilobytes = 0;
        if (words >> name >> kilobytes && name == "VmHWM:")
            return kilobytes / 1024;
    }
    return 0;
}

std::size_t ChildProcess::settledPeakMemoryMb() const
{
    constexpr auto longestRise = std::chrono::seconds(20);
    constexpr auto settlingTime = std::chrono::milliseconds(500);
    std::size_t peak = 0;
    eventually(
        [this, &peak, settlingTime] {
            const std::size_t before = std::exchange(peak, peakMemoryMb());
            if (before != peak)
                std::this_thread::sleep_for(settlingTime);
            return before == peak;
        },
        longestRise);
    return peak;
}

std::size_t ChildProcess::openDescriptors() const
{
    std::error_code error;
    const std::filesystem::directory_iterator entries("/proc/" + std::to_string(m_pid) + "/fd", error);
    return error ? 0 : static_cast<std::size_t>(std::distance(begin(entries), end(entries)));
}

void ChildProcess::waitUntilBegun()
{
    const auto deadline = std::chrono::steady_clock::now() + longestBeginning;
    while (isRunning() && !ignoresSignal(SIGPIPE) && std::chrono::steady_clock::now() < deadline)
        std::this_thread::yield();
}

bool ChildProcess::ignoresSignal(int signalNumber) const
{
    std::ifstream status("/proc/" + std::to_string(m_pid) + "/status");
    for (std::string line; std::getline(status, line);) {
        std::istringstream words(line);
        std::string name;
        std::uint64_t signals = 0;
        if (words >> name >> std::hex >> signals && name == "SigIgn:")
            return (signals >> (signalNumber - 1) & 1) != 0;
    }
    return false;
}

std::string ChildProcess::output() const
{
    std::ifstream stream(m_outputFile);
    std::ostringstream text;
    text << stream.rdbuf();
    return text.str();
}

std::string ChildProcess::lastLines(std::size_t count) const
{
    const std::string text = output();
    std::size_t begin = text.size();
    for (std::size_t line = 0; line <= count && begin > 0; ++line) {
        const std::size_t end = text.rfind('\n', begin - 1);
        begin = end == std::string::npos ? 0 : end;
    }
    return text.substr(begin);
}

std::vector<HttpAnswer> sendTogether(const std::vector<HttpCall>& calls)
{
    EventLoop loop;
    HttpClient client(loop);
    std::vector<HttpAnswer> answers(calls.size());
    std::size_t open = calls.size();
    const auto end = [&] {
        if (--open == 0)
            loop.stop();
    };
    std::chrono::milliseconds longest { 0 };
    for (std::size_t i = 0; i < calls.size(); ++i) {
        const HttpCall& call = calls[i];
        HttpAnswer& answer = answers[i];
        HttpExchange exchange;
        exchange.address = "127.0.0.1:" + std::to_string(call.port);
        exchange.method = call.method;
        exchange.target = call.target;
        exchange.headers = { call.headers.begin(), call.headers.end() };
        exchange.body = call.body;
        exchange.silenceTimeout = call.timeout;
        HttpExchangeObserver observer;
        observer.onHead = [&answer](int status, const HeaderList& headers) {
            answer.status = status;
            answer.headers.insert(headers.begin(), headers.end());
        };
        observer.onData = [&answer](const std::string& data) { answer.body += data; };
        observer.onFinished = [&answer, end] {
            answer.complete = true;
            end();
        };
        observer.onFailed = [end](AttemptOutcome, AttemptFailure, const std::string&) { end(); };
        client.start(exchange, observer);
        longest = std::max(longest, call.timeout);
    }
    loop.callLater(longest + std::chrono::seconds(1), [&loop] { loop.stop(); });
    loop.run();
    return answers;
}

HttpAnswer send(const HttpCall& call) { return sendTogether({ call }).front(); }

std::uint16_t freePort()
{
    static const unsigned firstPort = firstPortOfReservedBlock();
    static std::atomic<unsigned> next = 0;
    for (unsigned tried = 0; tried < portsPerBlock; ++tried) {
        const auto port = static_cast<std::uint16_t>(firstPort + next++ % portsPerBlock);
        const int socket = ::socket(AF_INET, SOCK_STREAM, 0);
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_port = htons(port);
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        const bool isFree = bind(socket, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0;
        close(socket);
        if (isFree)
            return port;
    }
    throw std::runtime_error("no port of the reserved block is free");
}

bool eventually(const std::function<bool()>& condition, std::chrono::milliseconds timeout)
{
    const auto deadline = std::chrono::steady_clock::now() + timeout;
    while (!condition()) {
        if (std::chrono::steady_clock::now() > deadline)
            return false;
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
    return true;
}

std::string binaryPath()
{
    const char* other = std::getenv("CATKINWELL_BINARY");
    return other ? other : CATKINWELL_BINARY;
}

TemporaryFolder::TemporaryFolder()
{
    std::string pattern = (std::filesystem::temp_directory_path() / "catkinwell-test-XXXXXX").string();
    m_path = mkdtemp(pattern.data());
}

TemporaryFolder::~TemporaryFolder()
{
    if (!std::getenv("CATKINWELL_KEEP_FILES"))
        std::filesystem::remove_all(m_path);
}

} // namespace Catkinwell::Testing
