#include "peer/BackgroundClose.h"

#include <system_error>
#include <thread>

namespace Catkinwell {

void closeInBackground(nng_socket socket, std::shared_ptr<const void> usedByCallbacks)
{
    auto kept = std::make_unique<std::shared_ptr<const void>>(std::move(usedByCallbacks));
    try {
        std::thread([socket, &used = *kept] {
            nng_close(socket);
            delete &used;
        }).detach();
    } catch (const std::system_error&) {
    }
    // The thread owns it now; without one the callbacks may use it for ever.
    static_cast<void>(kept.release());
}

} // namespace Catkinwell
