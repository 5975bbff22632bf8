// The record of a case, its processes, and the settings that they get.
#pragma once

#include "http.h"
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <sys/prctl.h>
#include <sys/wait.h>

namespace Review {

// Writes lines with the time since the start of the case to record.txt. Thread safe.
class Record {
public:
    explicit Record(const std::string& file)
        : m_file(file)
        , m_start(Clock::now())
    {
    }
    long milliseconds() const
    {
        return std::chrono::duration_cast<Milliseconds>(Clock::now() - m_start).count();
    }
    void operator()(const std::string& text)
    {
        const std::lock_guard lock(m_mutex);
        m_file << milliseconds() << " ms  " << text << std::endl;
    }

private:
    std::ofstream m_file;
    Clock::time_point m_start;
    std::mutex m_mutex;
};

inline bool hasTrouble()
{
    const char* value = std::getenv("TROUBLE");
    return !value || std::string(value) != "0";
}

// A port that was free a moment ago.
inline int freePort()
{
    Server probe([](const Request&, Channel&) { return false; });
    return probe.port();
}

// Removes its folder at the end.
class TemporaryFolder {
public:
    TemporaryFolder()
    {
        std::string name = (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
        if (!mkdtemp(name.data()))
            throw std::runtime_error("no temporary folder could be made");
        m_path = name;
    }
    ~TemporaryFolder()
    {
        std::error_code ignored;
        std::filesystem::remove_all(m_path, ignored);
    }
    std::string file(const std::string& name) const { return m_path + "/" + name; }

private:
    std::string m_path;
};

struct GatewayPorts {
    int caller = freePort();
    int status = freePort();
    int peer = freePort();
    int relay = freePort();
    int metrics = freePort();
};

// One machine of the system with the process of the deploy file's role. The settings are those that
// platform/settings.json.template makes of the platform's fields, but that all machines share the loopback address.
class Gateway {
public:
    Gateway(const TemporaryFolder& folder, const std::string& name, const std::string& zone, int storePort)
        : m_settingsFile(folder.file(name + ".json"))
        , m_logFile(folder.file(name + ".log"))
        , m_name(name)
    {
        const auto address = [](int port) { return "\"127.0.0.1:" + std::to_string(port) + "\""; };
        std::ofstream(m_settingsFile) << "{ \"host\": \"" << name << "\", \"data_centre\": \"" << zone
                                      << "\", \"caller_address\": " << address(m_ports.caller)
                                      << ", \"status_address\": " << address(m_ports.status)
                                      << ", \"peer_address\": " << address(m_ports.peer)
                                      << ", \"relay_address\": " << address(m_ports.relay)
                                      << ", \"metrics_address\": " << address(m_ports.metrics)
                                      << ", \"store_address\": " << address(storePort)
                                      << ", \"lease_ttl_ms\": 2000, \"store_reconnect_ms\": 3000,"
                                         " \"owner_silence_ms\": 3000, \"shutdown_grace_ms\": 8e3, \"memory_mb\": 390,"
                                         " \"requests\": { \"retry_fraction\": 0.2, \"retry_constant\": 54,"
                                         " \"retry_window_ms\": 10e3 },"
                                         " \"placement\": { \"store_load_window_ms\": 5e3 } }\n";
    }
    ~Gateway() { kill(); }

    const std::string& name() const { return m_name; }
    const GatewayPorts& ports() const { return m_ports; }
    const std::string& logFile() const { return m_logFile; }
    pid_t pid() const { return m_pid; }

    // Starts `target/catkinwell gateway --config-variable CATKINWELL_NODE_FILE` in the current folder, the root of the
    // repository.
    void start()
    {
        const pid_t parent = getpid();
        m_pid = fork();
        if (m_pid != 0)
            return;
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        if (getppid() != parent)
            _exit(2);
        const int log = open(m_logFile.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        dup2(log, STDOUT_FILENO);
        dup2(log, STDERR_FILENO);
        const std::string variable = "CATKINWELL_NODE_FILE=" + m_settingsFile;
        const char* arguments[] = { "target/catkinwell", "gateway", "--config-variable", "CATKINWELL_NODE_FILE", nullptr };
        const char* environment[] = { "PATH=/usr/bin:/bin", variable.c_str(), nullptr };
        execve(arguments[0], const_cast<char* const*>(arguments), const_cast<char* const*>(environment));
        _exit(2);
    }
    void signal(int number) const { ::kill(m_pid, number); }
    // Returns the process's wait status once it has ended.
    bool hasEnded(int* status = nullptr)
    {
        int ended = 0;
        if (m_pid <= 0 || waitpid(m_pid, &ended, WNOHANG) != m_pid)
            return m_pid <= 0;
        m_pid = -1;
        if (status)
            *status = ended;
        return true;
    }
    void kill()
    {
        if (m_pid <= 0)
            return;
        ::kill(m_pid, SIGKILL);
        waitpid(m_pid, nullptr, 0);
        m_pid = -1;
    }
    bool isReady() const
    {
        const int socket = connectTo(m_ports.status);
        if (socket < 0)
            return false;
        Channel channel(socket);
        channel.send(requestText("GET", "/ready", { { "Host", "ready" }, { "Connection", "close" } }, ""));
        return readResponse(channel, Clock::now() + std::chrono::seconds(1)).status == 200;
    }
    bool waitUntilReady(Milliseconds longest = Milliseconds(15000)) const
    {
        const auto until = Clock::now() + longest;
        while (!isReady()) {
            if (Clock::now() > until)
                return false;
            std::this_thread::sleep_for(Milliseconds(50));
        }
        return true;
    }

private:
    GatewayPorts m_ports;
    std::string m_settingsFile;
    std::string m_logFile;
    std::string m_name;
    pid_t m_pid = -1;
};

constexpr int ruleHeld = 0;
constexpr int ruleBroken = 1;
constexpr int couldNotRun = 2;

} // namespace Review
