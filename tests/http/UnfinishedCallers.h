#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace Catkinwell::Testing {

// How the callers of a group send their bodies.
enum class BodyShape {
    LargeChunks,
    OneByteChunks,
    DeclaredLength,
    // The head declares far more than a listener accepts, and the caller sends on regardless.
    DeclaredTooLong,
    // Chunks far beyond what a listener accepts.
    SentTooLong,
};

struct UnfinishedLoad {
    const char* what;
    BodyShape shape;
    std::size_t bodyBytes;
    std::size_t connections = 60;
    // How often the group connects, sends and disconnects.
    std::size_t rounds = 1;
    // Whether every second caller finishes its request in the end.
    bool finishesHalf = false;
    bool usesTls = false;
};

// A self-signed certificate and its key in PEM files in the folder. Throws std::runtime_error if it cannot be made.
void writeCertificate(const std::string& certificateFile, const std::string& keyFile);

// A group of callers on the loopback address. Each sends its request up to the last byte of its body and stays
// connected. Not thread safe.
class UnfinishedCallers {
public:
    // The connections are spread evenly over the ports. Precondition: there is one port at least.
    UnfinishedCallers(UnfinishedLoad, std::vector<std::uint16_t> ports, std::string head);
    ~UnfinishedCallers();
    UnfinishedCallers(const UnfinishedCallers&) = delete;
    UnfinishedCallers& operator=(const UnfinishedCallers&) = delete;

    // Connects all callers and sends until each has sent its bytes, or can't send on, or the time is over.
    void send(std::chrono::milliseconds longest);
    // Lets every second caller that is still connected finish, and returns how many of them got an answer in time.
    std::size_t finishHalf(std::chrono::milliseconds longest);
    void disconnect();

private:
    class Caller;

    UnfinishedLoad m_load;
    std::vector<std::uint16_t> m_ports;
    std::string m_wire;
    std::string m_end;
    std::vector<std::unique_ptr<Caller>> m_callers;
};

} // namespace Catkinwell::Testing
