#include <CLI/CLI.hpp>
#include <admin/AdminCommand.h>
#include <sstream>

namespace Catkinwell {

namespace {

    std::string wordsOf(const CLI::App& app, const std::string& globalOptions)
    {
        std::string words;
        for (const CLI::App* command : app.get_subcommands([](const CLI::App*) { return true; }))
            words += command->get_name() + " ";
        for (const CLI::Option* option : app.get_options()) {
            for (const std::string& name : option->get_lnames())
                words += "--" + name + " ";
        }
        return words + globalOptions;
    }

    // Writes a case clause of the script for the command and, recursively, for each of its subcommands.
    void writeCases(std::ostream& out, const CLI::App& app, const std::string& path, const std::string& globalOptions)
    {
        out << "    \"" << path << "\") words=\"" << wordsOf(app, globalOptions) << "\" ;;\n";
        for (const CLI::App* command : app.get_subcommands([](const CLI::App*) { return true; }))
            writeCases(out, *command, path + " " + command->get_name(), globalOptions);
    }

} // namespace

std::string bashCompletionOf(const CLI::App& app, const std::string& program)
{
    std::string globalOptions;
    for (const CLI::Option* option : app.get_options()) {
        for (const std::string& name : option->get_lnames())
            globalOptions += name == "help" ? "" : "--" + name + " ";
    }
    std::ostringstream out;
    const std::string function = "_" + program + "_admin";
    out << function << "()\n{\n"
        << "  local word words path=\"\"\n"
        << "  for word in \"${COMP_WORDS[@]:1:COMP_CWORD-1}\"; do\n"
        << "    case \"$word\" in -*) ;; *) path=\"${path:+$path }$word\" ;; esac\n"
        << "  done\n"
        << "  case \"$path\" in\n"
        << "    \"\") words=\"admin check-config emulate load serve\" ;;\n";
    writeCases(out, app, "admin", globalOptions);
    out << "    *) words=\"" << globalOptions << "\" ;;\n  esac\n"
        << "  COMPREPLY=($(compgen -W \"$words\" -- \"${COMP_WORDS[COMP_CWORD]}\"))\n}\n"
        << "complete -o default -F " << function << " " << program << "\n";
    return out.str();
}

} // namespace Catkinwell
