#include "settings/SettingsFile.h"

#include <fstream>
#include <sstream>

namespace Catkinwell {

Result<std::string> readSettingsFile(const std::string& file)
{
    std::ifstream stream(file);
    if (!stream)
        return Error { ErrorKind::NotFound, "the settings file \"" + file + "\" cannot be read; check the path" };
    std::ostringstream text;
    text << stream.rdbuf();
    return text.str();
}

} // namespace Catkinwell
