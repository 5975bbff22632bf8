#include <catkinwell/gateway/StoreLoadForecast.h>

#include <algorithm>
#include <functional>
#include <queue>

namespace Catkinwell {

namespace {

    // Later models of the queue are not ready before any caller gives up; naming them would only cost bytes.
    constexpr std::size_t maximumNamedLoads = 16;

    using FreeTimes = std::priority_queue<Duration, std::vector<Duration>, std::greater<>>;

    // Returns when each of the store's places is free for another load.
    FreeTimes freeTimesOf(const StoreQueue& queue)
    {
        FreeTimes places;
        const std::size_t concurrency = std::max(1U, queue.concurrency);
        // With more loads than the store serves at full speed, all of them take longer.
        const std::size_t slowdown = (queue.running.size() + concurrency - 1) / concurrency;
        for (const Duration remaining : queue.running)
            places.push(remaining * static_cast<std::int64_t>(std::max<std::size_t>(1, slowdown)));
        while (places.size() > concurrency)
            places.pop();
        while (places.size() < concurrency)
            places.push(Duration::zero());
        return places;
    }

    std::uint32_t wholeMilliseconds(Duration duration)
    {
        return static_cast<std::uint32_t>(std::max<std::int64_t>(0, millisecondsOf(duration)));
    }

} // namespace

StoreLoadForecast forecastStoreLoads(const StoreQueue& queue)
{
    StoreLoadForecast forecast;
    forecast.service = queue.service;
    FreeTimes places = freeTimesOf(queue);
    for (const ModelId& model : queue.waiting) {
        const Duration ready = places.top() + queue.loadTime;
        places.pop();
        places.push(ready);
        if (forecast.next.size() < maximumNamedLoads)
            forecast.next.push_back({ model, wholeMilliseconds(ready) });
    }
    forecast.otherReadyInMilliseconds = wholeMilliseconds(places.top() + queue.loadTime);
    return forecast;
}

Duration StoreLoadForecast::timeUntilReady(const ModelId& model) const
{
    const auto expected
        = std::find_if(next.begin(), next.end(), [&model](const ExpectedLoad& load) { return load.model == model; });
    return std::chrono::milliseconds(expected == next.end() ? otherReadyInMilliseconds : expected->readyInMilliseconds);
}

} // namespace Catkinwell
