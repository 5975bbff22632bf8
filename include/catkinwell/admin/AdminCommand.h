#pragma once

namespace Catkinwell {

// Runs `catkinwell admin …`: a blocking client of the administration API that writes to
// standard output and standard error. argv[0] is "admin". Returns 0 on
// success, 1 on failure and 2 on a usage error. The token comes from the environment
// variable CATKINWELL_ADMIN_TOKEN or from --token-file. Call it from the main thread of
// a process that does nothing else.
int runAdminCommand(int argc, char** argv);

} // namespace Catkinwell
