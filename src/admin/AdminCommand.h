#pragma once

#include <admin/AdminSession.h>
#include <catkinwell/admin/AdminCommand.h>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace CLI {
class App;
}

namespace Catkinwell {

// The subcommands of `catkinwell admin`. Streams and transport are passed in. Not thread safe.
class AdminCommand {
public:
    // Creates the transport to a host. The address has been validated.
    using Connect = std::function<std::unique_ptr<AdminTransport>(
        const std::string& address, const std::string& token, Duration timeout)>;

    AdminCommand(CommandStreams, Connect);
    ~AdminCommand();
    AdminCommand(const AdminCommand&) = delete;
    AdminCommand& operator=(const AdminCommand&) = delete;

    // The arguments are those after "admin". Returns the exit code.
    int run(std::vector<std::string> arguments);

private:
    using Action = std::function<int()>;

    CLI::App* addCommand(CLI::App& parent, const std::string& name, const std::string& description, Action);
    void addOptions();
    void addConfigurationCommands();
    void addObjectCommands(const std::string& resource, const std::string& what);
    void addDefaultsCommands();
    void addKeyCommands();
    void addExceptionCommands();
    void addOperationCommands();
    void addDataCentreCommands();
    void addQuarantineCommands();
    void addDiagnosisCommands();

    int withSession(const std::function<int(AdminSession&)>&);
    // Requests the path and writes the answer, as JSON with --json and otherwise with print.
    int show(const std::string& path, const std::function<void(const nlohmann::json&)>& print);
    int listItems(const std::string& path, const std::vector<std::string>& columns);
    int applyConfiguration(bool isDryRun);
    int setObject(const std::string& resource);
    // Sends a change; if it has no version, first reads that of the resource at versionPath.
    int changeAt(const std::string& versionPath, PlannedChange);
    int report();
    Result<nlohmann::json> readFile() const;
    Result<std::string> readToken() const;

    CommandStreams m_streams;
    Connect m_connect;
    std::unique_ptr<CLI::App> m_app;
    Action m_chosen;

    AdminCommandOptions m_options;
    std::vector<std::string> m_addresses;
    std::string m_tokenFile;
    double m_timeoutSeconds = 30;
    // The arguments of the subcommands.
    std::string m_identifier;
    std::string m_field;
    std::string m_value;
    std::string m_file;
    std::string m_account;
    std::string m_label;
    std::string m_expires;
    std::string m_model;
    std::string m_shell;
    std::vector<std::string> m_assignments;
    bool m_effective = false;
    bool m_local = false;
};

// Returns a bash completion script for the commands of an application.
std::string bashCompletionOf(const CLI::App&, const std::string& program);

} // namespace Catkinwell
