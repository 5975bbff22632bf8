#include "http/InputRejection.h"

#include <algorithm>
#include <bit>
#include <map>
#include <queue>
#include <string_view>
#include <unordered_map>

namespace Catkinwell {

namespace {

    // A caller on a slow link may pause this long between two packets without being taken for one that has stopped.
    constexpr Duration longestPause = std::chrono::seconds(1);
    // The rate of a request that began less than this ago says nothing yet.
    constexpr Duration shortestMeasurement = std::chrono::seconds(1);
    // Smaller requests are rejected only if the others are not enough.
    constexpr std::size_t smallBytes = 16 * 1024;

    // Greater for requests that are rejected later.
    enum Rank : unsigned {
        Stopped = 0,
        SlowestRate = 1,
        JustBegun = 100,
        Small = 200,
    };

    unsigned rankOf(const UnfinishedInput& input, MonotonicTime now)
    {
        if (input.heldBytes < smallBytes)
            return Small;
        if (now - input.lastByteAt >= longestPause)
            return Stopped;
        const Duration elapsed = now - input.begunAt;
        if (elapsed < shortestMeasurement)
            return JustBegun;
        const auto perSecond
            = static_cast<std::uint64_t>(static_cast<double>(input.receivedBytes) / secondsOf(elapsed));
        return SlowestRate + static_cast<unsigned>(std::bit_width(perSecond));
    }

    // The requests of one rank, by address.
    class RankedInputs {
    public:
        explicit RankedInputs(const std::vector<const UnfinishedInput*>& inputs)
            : m_inputs(inputs)
        {
        }

        void add(std::size_t index)
        {
            Holder& holder = m_holders[m_inputs[index]->address];
            holder.bytes += m_inputs[index]->heldBytes;
            holder.requests.push_back(index);
        }

        // Appends requests until so many bytes are freed or none is left, and returns the bytes.
        std::size_t chooseUntil(std::size_t bytes, std::vector<std::size_t>& chosen)
        {
            const auto holdsLess = [](const Holder* a, const Holder* b) { return a->bytes < b->bytes; };
            std::priority_queue<Holder*, std::vector<Holder*>, decltype(holdsLess)> order(holdsLess);
            for (auto& [address, holder] : m_holders) {
                std::sort(holder.requests.begin(), holder.requests.end(),
                    [this](std::size_t a, std::size_t b) { return m_inputs[a]->heldBytes < m_inputs[b]->heldBytes; });
                order.push(&holder);
            }
            std::size_t freed = 0;
            while (freed < bytes && !order.empty()) {
                Holder* holder = order.top();
                order.pop();
                const std::size_t index = holder->requests.back();
                holder->requests.pop_back();
                holder->bytes -= m_inputs[index]->heldBytes;
                freed += m_inputs[index]->heldBytes;
                chosen.push_back(index);
                if (!holder->requests.empty())
                    order.push(holder);
            }
            return freed;
        }

    private:
        struct Holder {
            std::size_t bytes = 0;
            std::vector<std::size_t> requests;
        };

        const std::vector<const UnfinishedInput*>& m_inputs;
        std::unordered_map<std::string_view, Holder> m_holders;
    };

} // namespace

std::vector<std::size_t> chooseRejectedInputs(
    const std::vector<const UnfinishedInput*>& inputs, std::size_t bytes, MonotonicTime now)
{
    std::map<unsigned, RankedInputs> ranks;
    for (std::size_t i = 0; i < inputs.size(); ++i)
        ranks.try_emplace(rankOf(*inputs[i], now), inputs).first->second.add(i);
    std::vector<std::size_t> chosen;
    std::size_t freed = 0;
    for (auto& [rank, ranked] : ranks) {
        if (freed < bytes)
            freed += ranked.chooseUntil(bytes - freed, chosen);
    }
    if (chosen.size() == inputs.size() && !chosen.empty())
        chosen.pop_back();
    return chosen;
}

} // namespace Catkinwell
