#pragma once

#include <admin/AdminClient.h>
#include <chrono>
#include <functional>
#include <istream>
#include <nlohmann/json.hpp>
#include <ostream>
#include <string>

namespace Catkinwell {

struct AdminCommandOptions {
    bool json = false;
    bool dryRun = false;
    bool yes = false;
    std::string reason;
};

struct CommandStreams {
    std::istream& in;
    std::ostream& out;
    std::ostream& err;
};

constexpr int exitSuccess = 0;
constexpr int exitFailure = 1;
constexpr int exitUsage = 2;

// A change that an operator asks for on the command line.
struct PlannedChange {
    std::string method;
    // Path without the query.
    std::string path;
    nlohmann::json body;
    // The version it is based on, empty if the resource has none.
    std::string version;
    // Whether running or new requests may fail by it; then it needs a confirmation.
    bool interruptsService = false;
    // Whether the host recognises a repeat of it.
    bool repeatable = true;
};

// Runs the steps of administration commands against one host. Not thread safe.
class AdminSession {
public:
    AdminSession(AdminTransport&, AdminCommandOptions, CommandStreams);

    struct Document {
        nlohmann::json body;
        // The ETag without quotes.
        std::string version;
    };

    // Errors: the kind and text of the host's error object.
    Result<Document> get(const std::string& path);

    // Shows the change, asks for confirmation where needed and makes it. Repeats it
    // with the same change identifier if the answer is lost. Returns the exit code.
    int change(const PlannedChange&);

    // Writes the error and returns the exit code.
    int fail(const Error&);

    // How long to wait before a repeat; tests set it to zero.
    std::chrono::milliseconds repeatDelay { 500 };

private:
    Result<ClientResponse> sendChange(const PlannedChange&, const std::string& query, const std::string& changeId);
    Result<ClientResponse> sendRepeatedly(const PlannedChange&);
    bool confirm();

    AdminTransport& m_transport;
    AdminCommandOptions m_options;
    CommandStreams m_streams;
};

} // namespace Catkinwell
