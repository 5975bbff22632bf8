#include <catkinwell/admission/FairQueue.h>

#include <algorithm>
#include <catkinwell/core/EnumNames.h>
#include <utility>

namespace Catkinwell {

namespace {

    constexpr EnumNames<QueueRefusal, 5> refusalNames { {
        { QueueRefusal::AccountFull, "account_queue_full" },
        { QueueRefusal::ModelFull, "model_queue_full" },
        { QueueRefusal::HostFull, "host_queue_full" },
        { QueueRefusal::Duplicate, "duplicate_request" },
        { QueueRefusal::DeadlinePassed, "deadline_passed" },
    } };

    double costOf(const QueuedRequest& request)
    {
        return static_cast<double>(std::max<TokenCount>(1, request.estimatedTokens));
    }

} // namespace

std::string_view nameOf(QueueRefusal refusal) { return refusalNames.nameOf(refusal); }

FairQueue::FairQueue(FairQueueLimits limits)
    : m_limits(limits)
{
}

void FairQueue::setWeight(const AccountId& account, std::uint32_t weight) { m_weights[account] = std::max(1U, weight); }

double FairQueue::weightOf(const AccountId& account) const
{
    const auto found = m_weights.find(account);
    return found == m_weights.end() ? 1 : found->second;
}

std::optional<QueueRefusal> FairQueue::push(const QueuedRequest& request, MonotonicTime now)
{
    if (now >= request.deadline)
        return QueueRefusal::DeadlinePassed;
    if (m_requests.contains(request.id))
        return QueueRefusal::Duplicate;
    if (m_requests.size() >= m_limits.perHost)
        return QueueRefusal::HostFull;
    if (length(request.model) >= m_limits.perModel)
        return QueueRefusal::ModelFull;
    if (length(request.model, request.account) >= m_limits.perAccountAndModel)
        return QueueRefusal::AccountFull;
    insert(request);
    return std::nullopt;
}

void FairQueue::putBack(const QueuedRequest& request, MonotonicTime now)
{
    if (now < request.deadline)
        insert(request);
}

void FairQueue::insert(const QueuedRequest& request)
{
    ModelQueue& queue = m_models[request.model];
    const auto [flowItem, isNew] = queue.flows.try_emplace(request.account);
    Flow& flow = flowItem->second;
    if (flow.requests.empty()) {
        // An account receives no credit for the time in which it had no requests.
        queue.idle.erase({ flow.startTag, request.account.value });
        flow.startTag = isNew ? queue.virtualTime : std::max(flow.startTag, queue.virtualTime);
        queue.active.emplace(flow.startTag, request.account.value);
    }
    const Rank rank { -request.priority, request.deadline, ++m_arrivals };
    flow.requests.emplace(rank, request.id);
    flow.queuedTokens += costOf(request);
    ++queue.length;
    m_deadlines.emplace(request.deadline, request.id.value);
    m_requests.emplace(request.id, Item { request, rank });
}

std::optional<QueuedRequest> FairQueue::pop(const ModelId& model, MonotonicTime now)
{
    auto expired = takeExpired(now);
    m_expired = std::move(expired);
    const auto queue = m_models.find(model);
    if (queue == m_models.end() || queue->second.active.empty())
        return std::nullopt;
    const AccountId account(queue->second.active.begin()->second);
    return take(queue->second.flows.at(account).requests.begin()->second, true);
}

std::optional<QueuedRequest> FairQueue::remove(RequestId id)
{
    if (!m_requests.contains(id))
        return std::nullopt;
    return take(id, false);
}

std::vector<QueuedRequest> FairQueue::takeExpired(MonotonicTime now)
{
    auto expired = std::exchange(m_expired, {});
    while (!m_deadlines.empty() && m_deadlines.begin()->first <= now)
        expired.push_back(take(RequestId(m_deadlines.begin()->second), false));
    return expired;
}

// Precondition: the request is queued. The account's start tag only increases if the request is served.
QueuedRequest FairQueue::take(RequestId id, bool served)
{
    const auto found = m_requests.find(id);
    const Item item = std::move(found->second);
    m_requests.erase(found);
    const auto& request = item.request;
    m_deadlines.erase({ request.deadline, id.value });
    const auto queueItem = m_models.find(request.model);
    ModelQueue& queue = queueItem->second;
    Flow& flow = queue.flows.at(request.account);
    flow.requests.erase(item.rank);
    flow.queuedTokens -= costOf(request);
    --queue.length;
    queue.active.erase({ flow.startTag, request.account.value });
    if (served) {
        queue.virtualTime = flow.startTag;
        flow.startTag += costOf(request) / weightOf(request.account);
    }
    (flow.requests.empty() ? queue.idle : queue.active).emplace(flow.startTag, request.account.value);
    // The tags are only compared with each other, so an empty queue can be removed.
    if (queue.length == 0)
        m_models.erase(queueItem);
    else
        removeIdleFlows(queue);
    return request;
}

void FairQueue::removeIdleFlows(ModelQueue& queue)
{
    while (!queue.idle.empty() && queue.idle.begin()->first <= queue.virtualTime) {
        queue.flows.erase(AccountId(queue.idle.begin()->second));
        queue.idle.erase(queue.idle.begin());
    }
}

std::size_t FairQueue::length(const ModelId& model) const
{
    const auto queue = m_models.find(model);
    return queue == m_models.end() ? 0 : queue->second.length;
}

std::size_t FairQueue::length(const ModelId& model, const AccountId& account) const
{
    const auto queue = m_models.find(model);
    if (queue == m_models.end())
        return 0;
    const auto flow = queue->second.flows.find(account);
    return flow == queue->second.flows.end() ? 0 : flow->second.requests.size();
}

std::vector<ModelId> FairQueue::waitingModels() const
{
    std::vector<ModelId> models;
    for (const auto& [model, queue] : m_models)
        models.push_back(model);
    return models;
}

double FairQueue::tokensAhead(const QueuedRequest& request) const
{
    const auto found = m_models.find(request.model);
    if (found == m_models.end())
        return 0;
    const ModelQueue& queue = found->second;
    double ownTokens = 0;
    double startTag = queue.virtualTime;
    if (const auto flow = queue.flows.find(request.account); flow != queue.flows.end()) {
        startTag = std::max(startTag, flow->second.startTag);
        const Rank rank { -request.priority, request.deadline, m_arrivals + 1 };
        for (auto item = flow->second.requests.begin(); item != flow->second.requests.lower_bound(rank); ++item)
            ownTokens += costOf(m_requests.at(item->second).request);
    }
    // The request is served when the virtual time reaches this tag. By then every other account
    // has been served up to the same tag or has no requests left.
    const double ownTag = startTag + ownTokens / weightOf(request.account);
    double ahead = ownTokens;
    for (const auto& [account, flow] : queue.flows) {
        if (account != request.account && ownTag > flow.startTag)
            ahead += std::min(flow.queuedTokens, (ownTag - flow.startTag) * weightOf(account));
    }
    return ahead;
}

} // namespace Catkinwell
