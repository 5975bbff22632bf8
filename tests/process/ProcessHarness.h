#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <sys/types.h>
#include <vector>

namespace Catkinwell::Testing {

// A child process of a test. The destructor kills it.
class ChildProcess {
public:
    // Starts the program with its output redirected to the given file. Throws std::runtime_error if it cannot be
    // started.
    ChildProcess(const std::vector<std::string>& command, const std::string& outputFile);
    ~ChildProcess();
    ChildProcess(const ChildProcess&) = delete;
    ChildProcess& operator=(const ChildProcess&) = delete;

    void signal(int signalNumber) const;
    // Returns the exit code, or -1 if the process did not exit in time or was killed.
    int waitForExit(std::chrono::milliseconds timeout);
    bool isRunning();
    // Returns "runs", or how the process ended.
    std::string state();
    // Waits until the program's main() has begun, which ignores SIGPIPE first. A signal that comes earlier ends the
    // process, whatever its program does; from then on a host keeps signals until it handles them.
    void waitUntilBegun();
    // Returns the most memory that the process has had resident so far, in MB; 0 if it does not run.
    std::size_t peakMemoryMb() const;
    // The same once it no longer rises: what callers have sent may wait in the kernel.
    std::size_t settledPeakMemoryMb() const;
    // Returns the number of the process's open descriptors; 0 if it does not run.
    std::size_t openDescriptors() const;
    std::string output() const;
    // Returns the last lines of the output.
    std::string lastLines(std::size_t count) const;

private:
    bool ignoresSignal(int signalNumber) const;

    pid_t m_pid = -1;
    bool m_reaped = false;
    int m_exitCode = -1;
    // 0 unless a signal ended the process.
    int m_endSignal = 0;
    std::string m_outputFile;
};

struct HttpAnswer {
    // 0 if there was no answer.
    int status = 0;
    std::map<std::string, std::string> headers;
    std::string body;
    // Whether the answer was complete according to its framing.
    bool complete = false;
};

struct HttpCall {
    std::uint16_t port = 0;
    std::string method = "GET";
    std::string target = "/";
    std::map<std::string, std::string> headers {};
    std::string body {};
    std::chrono::milliseconds timeout = std::chrono::seconds(20);
};

// Sends one request to 127.0.0.1 and waits for the answer.
HttpAnswer send(const HttpCall&);

// Sends all requests at once and returns the answers in the same order.
std::vector<HttpAnswer> sendTogether(const std::vector<HttpCall>&);

// Returns a port that is currently free and that no other test process on this machine takes. Throws
// std::runtime_error if there is none.
std::uint16_t freePort();

// Polls until the condition holds or the timeout expires. Returns whether the condition holds.
bool eventually(const std::function<bool()>& condition, std::chrono::milliseconds timeout);

// Returns the path of the program under test; the environment variable CATKINWELL_BINARY overrides it.
std::string binaryPath();

// A folder for the files of one test. The destructor removes it unless the environment variable CATKINWELL_KEEP_FILES
// is set.
class TemporaryFolder {
public:
    TemporaryFolder();
    ~TemporaryFolder();
    const std::string& path() const { return m_path; }

private:
    std::string m_path;
};

} // namespace Catkinwell::Testing
