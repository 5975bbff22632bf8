#pragma once

#include <catkinwell/core/RandomGenerator.h>
#include <catkinwell/store/StoreTypes.h>
#include <functional>
#include <map>
#include <vector>

namespace Catkinwell {

// A small store in simulated time with the faults of the platform's store: lost answers, writes that take effect late,
// stale reads, watches that miss a change, and outages.
class FakeStore {
public:
    explicit FakeStore(std::uint64_t seed)
        : random(seed)
    {
    }

    // Calls reply with the store's answer, at the latest at the call's timeout.
    void call(
        const StoreCall& call, bool reachable, MonotonicTime now, const std::function<void(const StoreReply&)>& reply)
    {
        if (down || !reachable)
            return plan(now + std::chrono::milliseconds(1), [=] { reply({ call.id, StoreStatus::Unavailable }); });
        const bool answerLost = random.unit() < faultRate;
        const bool late = answerLost && random.below(2) == 0;
        const auto answer = [=](const StoreReply& result) {
            if (!answerLost)
                reply(result);
        };
        if (answerLost)
            plan(now + call.timeout, [=] { reply({ call.id, StoreStatus::Unknown }); });
        const Duration delay = late ? call.timeout + std::chrono::seconds(1) : randomDelay();
        plan(now + delay, [=, this] { apply(call, now, answer); });
    }

    void advance(MonotonicTime now)
    {
        m_now = now;
        while (!m_plan.empty() && m_plan.begin()->first <= now) {
            const auto action = std::move(m_plan.begin()->second);
            m_plan.erase(m_plan.begin());
            action();
        }
    }

    struct Value {
        std::string text;
        StoreVersion version = 0;
    };

    RandomGenerator random;
    double faultRate = 0;
    bool down = false;
    // Makes the store write whatever the expected version is, for the test of a checker.
    bool ignoresVersions = false;
    // Called for each successful write.
    std::function<void(const std::string& key, const std::string& value)> written;

private:
    void plan(MonotonicTime at, std::function<void()> action) { m_plan.emplace(at, std::move(action)); }
    Duration randomDelay() { return std::chrono::milliseconds(1 + random.below(30)); }

    void apply(const StoreCall& call, MonotonicTime sentAt, const std::function<void(const StoreReply&)>& answer)
    {
        if (const auto* get = std::get_if<StoreGet>(&call.operation))
            answer(read(call.id, get->key));
        else if (const auto* write = std::get_if<StoreCompareAndSwap>(&call.operation))
            answer(compareAndSwap(call.id, *write));
        else if (const auto* watch = std::get_if<StoreWatch>(&call.operation))
            answerWatch(call.id, *watch, sentAt + watch->wait, random.unit() < faultRate, answer);
    }

    void answerWatch(StoreCallId id, const StoreWatch& watch, MonotonicTime end, bool blind,
        const std::function<void(const StoreReply&)>& answer)
    {
        const auto& values = m_values[watch.key];
        const bool changed = !values.empty() && values.back().version > watch.afterVersion && !blind;
        if (changed || m_now >= end)
            return answer(read(id, watch.key));
        plan(m_now + std::chrono::milliseconds(20), [=, this] { answerWatch(id, watch, end, blind, answer); });
    }

    StoreReply read(StoreCallId id, const std::string& key)
    {
        const auto& values = m_values[key];
        if (values.empty())
            return { id, StoreStatus::NotFound };
        const bool stale = values.size() > 1 && random.unit() < faultRate;
        const Value& value = stale ? values[values.size() - 2] : values.back();
        return { id, StoreStatus::Ok, value.version, value.text };
    }

    StoreReply compareAndSwap(StoreCallId id, const StoreCompareAndSwap& write)
    {
        auto& values = m_values[write.key];
        const StoreVersion current = values.empty() ? 0 : values.back().version;
        if (current != write.expectedVersion && !ignoresVersions)
            return { id, StoreStatus::Conflict };
        values.push_back({ write.value, ++m_lastVersion });
        if (written)
            written(write.key, write.value);
        return { id, StoreStatus::Ok, m_lastVersion };
    }

    MonotonicTime m_now {};
    StoreVersion m_lastVersion = 0;
    std::map<std::string, std::vector<Value>> m_values;
    std::multimap<MonotonicTime, std::function<void()>> m_plan;
};

} // namespace Catkinwell
