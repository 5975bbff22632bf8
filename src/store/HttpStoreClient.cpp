#include <catkinwell/store/HttpStoreClient.h>

#include <algorithm>

namespace Catkinwell {

namespace {

    constexpr Duration connectTimeout = std::chrono::milliseconds(500);
    constexpr std::size_t maximumResponseBytes = 64 * 1024 * 1024;

    bool isWrite(const StoreOperation& operation)
    {
        return std::holds_alternative<StoreCompareAndSwap>(operation) || std::holds_alternative<StoreDelete>(operation)
            || std::holds_alternative<LeaseCreate>(operation) || std::holds_alternative<LeaseRenew>(operation)
            || std::holds_alternative<LeaseRevoke>(operation);
    }

    Duration maximumResponseTime(const StoreCall& call)
    {
        if (const auto* watch = std::get_if<StoreWatch>(&call.operation))
            return watch->wait + call.timeout;
        if (const auto* watch = std::get_if<StoreWatchPrefix>(&call.operation))
            return watch->wait + call.timeout;
        return call.timeout;
    }

} // namespace

struct HttpStoreClient::PendingCall {
    StoreCall call;
    MonotonicTime sentAt;
    // The store's epochs as known at the sending and as stated by the response.
    StoreEpoch epochAtSending = 0;
    StoreEpoch epoch = 0;
    int status = 0;
    std::string body;
    bool isTooLong = false;
    bool isDone = false;
    HttpClient::ExchangeId exchange = 0;
    // The pages of a list that were read so far, merged.
    StoreReply pages;
};

HttpStoreClient::HttpStoreClient(
    EventLoop& loop, HttpClient& client, const Clock& clock, std::string address, const StoreProtocol& protocol)
    : m_loop(loop)
    , m_client(client)
    , m_clock(clock)
    , m_address(std::move(address))
    , m_protocol(protocol)
{
}

void HttpStoreClient::execute(const StoreCall& call)
{
    auto pending = std::make_shared<PendingCall>();
    pending->call = call;
    pending->sentAt = m_clock.monotonicNow();
    m_runningWrites += isWrite(call.operation) ? 1 : 0;
    send(pending);
    m_loop.callLater(maximumResponseTime(call), [this, weak = std::weak_ptr(pending)] {
        const auto late = weak.lock();
        if (!late || late->isDone)
            return;
        m_client.cancel(late->exchange);
        complete(late, StoreReply {});
    });
}

void HttpStoreClient::send(const std::shared_ptr<PendingCall>& pending)
{
    HttpExchange request = m_protocol.requestOf(pending->call.operation);
    request.address = m_address;
    request.connectTimeout = std::min(connectTimeout, pending->call.timeout);
    request.silenceTimeout = maximumResponseTime(pending->call);
    pending->body.clear();
    pending->epochAtSending = m_epochs.current();
    HttpExchangeObserver observer;
    observer.onHead = [this, pending](int status, const HeaderList& headers) {
        pending->status = status;
        pending->epoch = m_protocol.epochOf(headers);
    };
    observer.onData = [pending](const std::string& data) {
        pending->isTooLong = pending->isTooLong || pending->body.size() + data.size() > maximumResponseBytes;
        if (!pending->isTooLong)
            pending->body += data;
    };
    observer.onFinished = [this, pending] { finish(pending); };
    observer.onFailed = [this, pending](AttemptOutcome outcome, AttemptFailure, const std::string&) {
        StoreReply reply;
        reply.status = outcome == AttemptOutcome::NotSent ? StoreStatus::Unavailable : StoreStatus::Unknown;
        complete(pending, std::move(reply));
    };
    pending->exchange = m_client.start(request, std::move(observer));
}

void HttpStoreClient::finish(const std::shared_ptr<PendingCall>& pending)
{
    StoreReply reply;
    if (const auto restored = m_epochs.note(pending->epoch))
        m_signalRestored.emit(*restored);
    if (!StoreEpochTracker::isSameHistory(pending->epochAtSending, pending->epoch)) {
        reply.status = StoreEpochTracker::statusAcrossRestore(pending->call.operation);
        return complete(pending, std::move(reply));
    }
    if (!pending->isTooLong)
        reply = m_protocol.replyOf(pending->call.operation, pending->status, pending->body);
    auto* list = std::get_if<StoreList>(&pending->call.operation);
    if (!list || reply.status != StoreStatus::Ok)
        return complete(pending, std::move(reply));
    // The pages are not one snapshot, so a watch has to continue from the version of the first page.
    const StoreVersion version = list->afterKey.empty() ? reply.version : pending->pages.version;
    StoreReply& pages = pending->pages;
    std::move(reply.entries.begin(), reply.entries.end(), std::back_inserter(pages.entries));
    pages.status = StoreStatus::Ok;
    pages.version = version;
    pages.isWholeList = true;
    if (!reply.isTruncated || pages.entries.empty() || pages.entries.back().key <= list->afterKey)
        return complete(pending, std::move(pages));
    list->afterKey = pages.entries.back().key;
    send(pending);
}

void HttpStoreClient::complete(const std::shared_ptr<PendingCall>& pending, StoreReply reply)
{
    pending->isDone = true;
    m_runningWrites -= isWrite(pending->call.operation) ? 1 : 0;
    reply.id = pending->call.id;
    reply.sentAt = pending->sentAt;
    reply.epoch = pending->epoch;
    m_signalReply.emit(reply);
}

} // namespace Catkinwell
