#include <catkinwell/gateway/EndpointRecord.h>

#include <catkinwell/core/EnumNames.h>

namespace Catkinwell {

namespace {

    constexpr EnumNames<EngineOrderKind, 2> kindNames { {
        { EngineOrderKind::Load, "load" },
        { EngineOrderKind::Unload, "unload" },
    } };

    constexpr EnumNames<EngineOrderOutcome, 8> outcomeNames { {
        { EngineOrderOutcome::Accepted, "accepted" },
        { EngineOrderOutcome::AlreadyDone, "already_done" },
        { EngineOrderOutcome::Conflict, "conflict" },
        { EngineOrderOutcome::Fenced, "fenced" },
        { EngineOrderOutcome::Misdirected, "misdirected" },
        { EngineOrderOutcome::Rejected, "rejected" },
        { EngineOrderOutcome::NotSent, "not_sent" },
        { EngineOrderOutcome::Unknown, "unknown" },
    } };

} // namespace

std::string_view nameOf(EngineOrderKind kind) { return kindNames.nameOf(kind); }

std::string_view nameOf(EngineOrderOutcome outcome) { return outcomeNames.nameOf(outcome); }

} // namespace Catkinwell
