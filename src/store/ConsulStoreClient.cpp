#include <catkinwell/store/ConsulStoreClient.h>

#include "store/ConsulProtocol.h"

namespace Catkinwell {

namespace {

    constexpr Duration connectTimeout = std::chrono::milliseconds(500);
    // A value is at most one megabyte; base64 and JSON add about a third.
    constexpr std::size_t maximumAnswerBytes = 64 * 1024 * 1024;

    Duration longestAnswerTime(const StoreCall& call)
    {
        if (const auto* watch = std::get_if<StoreWatch>(&call.operation))
            return watch->wait + call.timeout;
        return call.timeout;
    }

} // namespace

struct ConsulStoreClient::PendingCall {
    StoreCall call;
    MonotonicTime sentAt;
    int status = 0;
    std::string body;
    bool tooLong = false;
    bool done = false;
    HttpClient::ExchangeId exchange = 0;
};

ConsulStoreClient::ConsulStoreClient(EventLoop& loop, HttpClient& client, const Clock& clock, std::string address)
    : m_loop(loop)
    , m_client(client)
    , m_clock(clock)
    , m_address(std::move(address))
{
}

void ConsulStoreClient::execute(const StoreCall& call)
{
    auto pending = std::make_shared<PendingCall>();
    pending->call = call;
    pending->sentAt = m_clock.monotonicNow();
    HttpExchange request = consulRequestOf(call.operation, m_address);
    request.connectTimeout = std::min(connectTimeout, call.timeout);
    request.silenceTimeout = longestAnswerTime(call);
    HttpExchangeObserver observer;
    observer.onHead = [pending](int status, const HeaderList&) { pending->status = status; };
    observer.onData = [pending](const std::string& data) {
        pending->tooLong = pending->tooLong || pending->body.size() + data.size() > maximumAnswerBytes;
        if (!pending->tooLong)
            pending->body += data;
    };
    observer.onFinished = [this, pending] { finish(pending); };
    observer.onFailed = [this, pending](AttemptOutcome outcome, const std::string&) {
        StoreReply reply;
        reply.status = outcome == AttemptOutcome::NotSent ? StoreStatus::Unavailable : StoreStatus::Unknown;
        complete(pending, std::move(reply));
    };
    pending->exchange = m_client.start(request, std::move(observer));
    m_loop.callLater(longestAnswerTime(call), [this, weak = std::weak_ptr(pending)] {
        const auto late = weak.lock();
        if (!late || late->done)
            return;
        m_client.cancel(late->exchange);
        complete(late, StoreReply {});
    });
}

void ConsulStoreClient::finish(const std::shared_ptr<PendingCall>& pending)
{
    complete(pending,
        pending->tooLong ? StoreReply {} : consulReplyOf(pending->call.operation, pending->status, pending->body));
}

void ConsulStoreClient::complete(const std::shared_ptr<PendingCall>& pending, StoreReply reply)
{
    pending->done = true;
    reply.id = pending->call.id;
    reply.sentAt = pending->sentAt;
    m_signalReply.emit(reply);
}

} // namespace Catkinwell
