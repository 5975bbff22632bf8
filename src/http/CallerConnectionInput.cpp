#include "http/CallerConnection.h"

#include "http/HeaderText.h"
#include <catkinwell/requests/ApiError.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>

// The memory that a caller's input takes, and how input is refused.
namespace Catkinwell {

namespace {

    // What is read ahead while the process has no memory left for unfinished requests.
    constexpr std::size_t leastReadAhead = 1;
    constexpr Duration retryAfterRejection = std::chrono::seconds(1);

    std::string errorBody(int status, const std::string& reason)
    {
        ApiError error;
        error.code = status == 413 ? ApiErrorCode::BodyTooLarge : ApiErrorCode::InvalidRequest;
        error.message = reason;
        return apiErrorBody(error);
    }

} // namespace

void CallerConnection::noteInput()
{
    const std::size_t buffered = evbuffer_get_length(bufferevent_get_input(m_stream));
    if (m_phase == Phase::ReadingHead || m_phase == Phase::ReadingBody) {
        m_input.holdUnfinished(
            buffered + m_headMemory + m_body.heldBytes(), buffered + m_headMemory + m_body.size(), m_owner.now());
        return;
    }
    m_input.holdComplete(buffered);
    if (m_phase == Phase::Answering && buffered > 0 && m_input.budget().isFull())
        setReadAhead(leastReadAhead);
}

void CallerConnection::setReadAhead(std::size_t bytes)
{
    if (bytes != m_readAhead)
        bufferevent_setwatermark(m_stream, EV_READ, 0, bytes);
    m_readAhead = bytes;
}

void CallerConnection::rejectInput()
{
    if (m_phase == Phase::ReadingHead || m_phase == Phase::ReadingBody)
        refuseForMemory();
}

void CallerConnection::dropInput()
{
    m_received = ReceivedRequest();
    m_body.clear();
    m_headMemory = 0;
    evbuffer* input = bufferevent_get_input(m_stream);
    m_discardedBytes += evbuffer_get_length(input);
    evbuffer_drain(input, evbuffer_get_length(input));
    m_input.holdComplete(0);
}

bool CallerConnection::expectsContinue() const
{
    const std::string* expect = findHeader(m_received.head.headers, "expect");
    return expect && equalIgnoringCase(*expect, "100-continue");
}

bool CallerConnection::refuse(int status, const std::string& reason, RejectionReason why)
{
    m_owner.requestRejected(why);
    dropInput();
    m_phase = Phase::Answering;
    m_closesAfterAnswer = true;
    sendWhole(status, { { "Content-Type", "application/json" } }, errorBody(status, reason));
    return false;
}

bool CallerConnection::refuseTooLarge()
{
    return refuse(413, "the body is longer than " + std::to_string(maximumBodyBytes()) + " bytes; send a shorter one",
        RejectionReason::TooLarge);
}

bool CallerConnection::refuseForMemory()
{
    m_owner.requestRejected(RejectionReason::MemoryFull);
    dropInput();
    m_phase = Phase::Answering;
    m_closesAfterAnswer = true;
    ApiError error;
    error.code = ApiErrorCode::MemoryFull;
    error.message = "this host holds too many bytes of requests that have not arrived whole; retry later";
    error.retryAfter = retryAfterRejection;
    const SendWholeResponse response = apiErrorResponse(RequestId(), error);
    sendWhole(response.status, response.headers, response.body);
    return false;
}

} // namespace Catkinwell
