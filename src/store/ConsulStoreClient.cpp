#include <catkinwell/store/ConsulStoreClient.h>

#include "store/ConsulProtocol.h"

namespace Catkinwell {

namespace {

    class ConsulProtocol final : public StoreProtocol {
    public:
        HttpExchange requestOf(const StoreOperation& operation) const override
        {
            return consulRequestOf(operation, {});
        }
        StoreReply replyOf(const StoreOperation& operation, int httpStatus, const std::string& body) const override
        {
            return consulReplyOf(operation, httpStatus, body);
        }
    };

    const ConsulProtocol consulProtocol;

} // namespace

ConsulStoreClient::ConsulStoreClient(EventLoop& loop, HttpClient& client, const Clock& clock, std::string address)
    : HttpStoreClient(loop, client, clock, std::move(address), consulProtocol)
{
}

} // namespace Catkinwell
