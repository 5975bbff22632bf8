#include "peer/BackgroundClose.h"

#include <system_error>
#include <thread>

namespace Catkinwell {

void closeInBackground(nng_socket socket)
{
    try {
        std::thread([socket] { nng_close(socket); }).detach();
    } catch (const std::system_error&) {
        return;
    }
}

} // namespace Catkinwell
