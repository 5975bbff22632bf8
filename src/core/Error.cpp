#include <catkinwell/core/Error.h>

#include <catkinwell/core/EnumNames.h>

namespace Catkinwell {

namespace {

    constexpr EnumNames<ErrorKind, 12> errorKindNames { {
        { ErrorKind::InvalidSettings, "invalid_settings" },
        { ErrorKind::InvalidRequest, "invalid_request" },
        { ErrorKind::InvalidMessage, "invalid_message" },
        { ErrorKind::InvalidConfiguration, "invalid_configuration" },
        { ErrorKind::Conflict, "conflict" },
        { ErrorKind::NotFound, "not_found" },
        { ErrorKind::Unauthorized, "unauthorized" },
        { ErrorKind::Forbidden, "forbidden" },
        { ErrorKind::LimitReached, "limit_reached" },
        { ErrorKind::Unavailable, "unavailable" },
        { ErrorKind::Timeout, "timeout" },
        { ErrorKind::Internal, "internal" },
    } };

} // namespace

std::string_view nameOf(ErrorKind kind) { return errorKindNames.nameOf(kind); }

} // namespace Catkinwell
