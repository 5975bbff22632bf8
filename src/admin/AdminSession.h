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

// A change requested on the command line.
struct PlannedChange {
    std::string method;
    // The path without the query.
    std::string path;
    nlohmann::json body;
    // The version that the change is based on; empty if the resource has none.
    std::string version;
    // Whether the change may make running or new requests fail; it then needs a confirmation.
    bool interruptsService = false;
    // Whether the change is idempotent, so that it can be retried.
    bool isRetryable = true;
};

// Sends the requests of administration commands to one host. Not thread safe.
class AdminSession {
public:
    AdminSession(AdminTransport&, AdminCommandOptions, CommandStreams);

    struct Document {
        nlohmann::json body;
        // The value of the ETag header without quotes.
        std::string version;
    };

    // Errors: as in the host's error object.
    Result<Document> get(const std::string& path);

    // Shows the change, asks for confirmation if needed and sends it. Retries with the same
    // change identifier if the answer is lost. Returns the exit code.
    int change(const PlannedChange&);

    // Prints the error and returns the exit code.
    int fail(const Error&);

    // Delay before a retry; tests set it to zero.
    std::chrono::milliseconds retryDelay { 500 };

private:
    Result<ClientResponse> sendChange(const PlannedChange&, const std::string& query, const std::string& changeId);
    Result<ClientResponse> sendWithRetries(const PlannedChange&);
    bool confirm();

    AdminTransport& m_transport;
    AdminCommandOptions m_options;
    CommandStreams m_streams;
};

} // namespace Catkinwell
