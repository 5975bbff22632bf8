#pragma once

#include <algorithm>
#include <catkinwell/routing/EndpointChooser.h>
#include <cmath>
#include <deque>
#include <functional>
#include <map>
#include <random>
#include <set>

namespace Catkinwell::Testing {

// What one host knows of one endpoint when it chooses, beside the candidate itself.
struct ChoiceView {
    std::vector<EndpointCandidate> candidates;
    // Requests that the whole fleet starts per second.
    double startsPerSecond = 0;
    std::size_t host = 0;
    std::size_t part = 0;
};

using ChoiceMethod = std::function<std::size_t(const ChoiceView&, RandomGenerator&)>;

struct ChoiceLoad {
    std::size_t hosts = 65;
    // Interval of each host's reports, whose phases differ. The mean age is half of it.
    double reportSeconds = 0.78;
    std::size_t endpoints = 12;
    unsigned slots = 8;
    // Requests that an endpoint queues beside those that run; it rejects others.
    unsigned queue = 2;
    double meanSeconds = 1.5;
    // Requests as a fraction of the capacity, and their change every two seconds.
    double load = 0.85;
    double swing = 0.25;
    // Whether a third of the endpoints has 0.6 and a third 1.6 of the usual speed.
    bool isUneven = false;
    // Whether hosts report remaining work in units of the mean request instead of requests.
    bool countsTokens = false;
    double seconds = 60;
    std::uint64_t seed = 1;
};

struct ChoiceResult {
    // Mean over time of the load of the busiest endpoint, as a multiple of the mean load.
    double busiest = 0;
    // Largest share of the requests that arrived at one endpoint in a second, as a multiple of the mean share.
    double busiestSecond = 0;
    // Of 100 arrivals at endpoints and of 100 requests.
    double rejectedArrivals = 0;
    double refused = 0;
    // Of 100 requests: those that had to wait at an endpoint while another one had a free slot.
    double waitedBesideIdle = 0;
    // Of 100 requests: those whose part of the prompt their endpoint did not have.
    double reread = 0;
    // From the first choice to the end of the wait for a slot.
    double waitP99 = 0;
};

// Hosts choose among endpoints that hold one model, by reports of the other hosts that are as old as in a fleet. A
// request that is rejected is tried at most four times. Deterministic.
class ChoiceSimulation {
public:
    ChoiceSimulation(const ChoiceLoad& load, ChoiceMethod method)
        : m_load(load)
        , m_method(std::move(method))
        , m_random(load.seed)
        , m_choices(load.seed + 100)
        , m_endpoints(load.endpoints)
        , m_published(load.hosts, std::vector<double>(load.endpoints))
        , m_own(load.hosts, std::vector<double>(load.endpoints))
        , m_rejectedAt(load.hosts, std::vector<double>(load.endpoints, -1e9))
        , m_sum(load.endpoints)
        , m_publishedAt(load.hosts)
    {
        for (std::size_t i = 0; i < load.endpoints && load.isUneven; ++i)
            m_endpoints[i].speed = i % 3 == 0 ? 0.6 : i % 3 == 1 ? 1 : 1.6;
        for (std::size_t host = 0; host < load.hosts; ++host)
            m_publishedAt[host] = -uniform() * load.reportSeconds;
    }

    ChoiceResult run()
    {
        for (; m_now < m_load.seconds; m_now += step) {
            publish();
            finishRequests();
            sendRequests();
            measure();
        }
        return result();
    }

private:
    static constexpr double step = 0.005;
    static constexpr std::size_t parts = 24;
    static constexpr std::size_t cachedParts = 4;
    static constexpr double promptBonus = 0.10;

    struct Request {
        std::size_t host = 0;
        double work = 1;
        std::size_t part = 0;
        double arrivedAt = 0;
        double endsAt = 0;
    };
    struct Endpoint {
        double speed = 1;
        std::vector<Request> running;
        std::deque<Request> waiting;
        std::deque<std::size_t> cache;
        unsigned startedInSecond = 0;
    };

    double uniform() { return std::uniform_real_distribution<double>(0, 1)(m_random); }
    double capacity() const
    {
        double sum = 0;
        for (const Endpoint& endpoint : m_endpoints)
            sum += endpoint.speed * m_load.slots / m_load.meanSeconds;
        return sum;
    }
    double weightOf(const Request& request) const { return m_load.countsTokens ? request.work : 1; }

    void publish()
    {
        for (std::size_t host = 0; host < m_load.hosts; ++host) {
            if (m_now - m_publishedAt[host] < m_load.reportSeconds)
                continue;
            m_publishedAt[host] += m_load.reportSeconds;
            for (std::size_t i = 0; i < m_load.endpoints; ++i) {
                m_sum[i] += m_own[host][i] - m_published[host][i];
                m_published[host][i] = m_own[host][i];
            }
        }
    }

    void begin(Endpoint& endpoint, Request request)
    {
        m_waits.push_back(m_now - request.arrivedAt);
        const auto kept = std::find(endpoint.cache.begin(), endpoint.cache.end(), request.part);
        m_reread += kept == endpoint.cache.end();
        if (kept != endpoint.cache.end())
            endpoint.cache.erase(kept);
        endpoint.cache.push_back(request.part);
        if (endpoint.cache.size() > cachedParts)
            endpoint.cache.pop_front();
        request.endsAt = m_now + request.work * m_load.meanSeconds / endpoint.speed;
        endpoint.running.push_back(request);
    }

    void finishRequests()
    {
        for (std::size_t i = 0; i < m_endpoints.size(); ++i) {
            Endpoint& endpoint = m_endpoints[i];
            std::erase_if(endpoint.running, [&](const Request& request) {
                if (request.endsAt > m_now)
                    return false;
                m_own[request.host][i] -= weightOf(request);
                return true;
            });
            while (!endpoint.waiting.empty() && endpoint.running.size() < m_load.slots) {
                begin(endpoint, endpoint.waiting.front());
                endpoint.waiting.pop_front();
            }
        }
    }

    void sendRequests()
    {
        const bool isHigh = static_cast<int>(m_now / 2) % 2 == 1;
        const double rate = capacity() * (m_load.load + (isHigh ? m_load.swing : -m_load.swing));
        const int count = std::poisson_distribution<int>(rate * step)(m_random);
        m_rate += (count / step - m_rate) * step / 2;
        for (int i = 0; i < count; ++i) {
            Request request;
            request.host = m_random() % m_load.hosts;
            // A few large requests among many small ones, as prompts and answers of models are.
            request.work = std::lognormal_distribution<double>(-0.5, 1)(m_random);
            request.part = m_random() % parts;
            request.arrivedAt = m_now;
            ++m_sent;
            send(request);
        }
    }

    ChoiceView viewOf(const Request& request, const std::set<std::size_t>& tried)
    {
        ChoiceView view;
        view.startsPerSecond = m_rate;
        view.host = request.host;
        view.part = request.part;
        for (std::size_t i = 0; i < m_endpoints.size(); ++i) {
            if (tried.contains(i))
                continue;
            EndpointCandidate candidate;
            candidate.endpoint = EndpointId(std::to_string(i));
            candidate.slots = m_load.slots;
            candidate.reported = m_sum[i] - m_published[request.host][i];
            candidate.reportAge = durationOfSeconds(m_load.reportSeconds / 2);
            candidate.own = m_own[request.host][i];
            if (m_rejectedAt[request.host][i] >= 0)
                candidate.rejectedAgo = durationOfSeconds(m_now - m_rejectedAt[request.host][i]);
            candidate.promptBonus = m_lastOf[{ request.host, request.part }] == i + 1 ? promptBonus : 0;
            candidate.speed = m_endpoints[i].speed;
            view.candidates.push_back(candidate);
        }
        return view;
    }

    void send(const Request& request)
    {
        std::set<std::size_t> tried;
        const std::size_t attempts = std::min<std::size_t>(4, m_endpoints.size());
        while (tried.size() < attempts) {
            const ChoiceView view = viewOf(request, tried);
            const std::size_t index = std::stoul(view.candidates.at(m_method(view, m_choices)).endpoint.value);
            Endpoint& endpoint = m_endpoints[index];
            ++m_arrivals;
            ++endpoint.startedInSecond;
            if (endpoint.running.size() + endpoint.waiting.size() >= m_load.slots + m_load.queue) {
                ++m_rejections;
                m_rejectedAt[request.host][index] = m_now;
                tried.insert(index);
                continue;
            }
            m_own[request.host][index] += weightOf(request);
            m_lastOf[{ request.host, request.part }] = index + 1;
            if (endpoint.running.size() < m_load.slots) {
                begin(endpoint, request);
            } else {
                m_besideIdle += std::any_of(m_endpoints.begin(), m_endpoints.end(),
                    [&](const Endpoint& other) { return other.running.size() < m_load.slots; });
                endpoint.waiting.push_back(request);
            }
            return;
        }
        ++m_refused;
    }

    void measure()
    {
        double most = 0;
        double sum = 0;
        for (const Endpoint& endpoint : m_endpoints) {
            const auto load = static_cast<double>(endpoint.running.size() + endpoint.waiting.size());
            most = std::max(most, load);
            sum += load;
        }
        if (sum > 0) {
            m_busiest += most * static_cast<double>(m_endpoints.size()) / sum;
            ++m_samples;
        }
        if (m_now < m_nextSecondAt)
            return;
        m_nextSecondAt += 1;
        double started = 0;
        double mostStarted = 0;
        for (Endpoint& endpoint : m_endpoints) {
            started += endpoint.startedInSecond;
            mostStarted = std::max<double>(mostStarted, endpoint.startedInSecond);
            endpoint.startedInSecond = 0;
        }
        if (started > 0)
            m_busiestSecond
                = std::max(m_busiestSecond, mostStarted * static_cast<double>(m_endpoints.size()) / started);
    }

    ChoiceResult result()
    {
        const auto share = [](std::size_t part, std::size_t whole) {
            return 100.0 * static_cast<double>(part) / static_cast<double>(std::max<std::size_t>(1, whole));
        };
        std::sort(m_waits.begin(), m_waits.end());
        return { m_busiest / static_cast<double>(std::max<std::size_t>(1, m_samples)), m_busiestSecond,
            share(m_rejections, m_arrivals), share(m_refused, m_sent), share(m_besideIdle, m_sent),
            share(m_reread, m_sent), m_waits.empty() ? 0 : m_waits[m_waits.size() * 99 / 100] };
    }

    ChoiceLoad m_load;
    ChoiceMethod m_method;
    std::minstd_rand m_random;
    RandomGenerator m_choices;
    std::vector<Endpoint> m_endpoints;
    // Requests of each host at each endpoint: as reported, and now.
    std::vector<std::vector<double>> m_published;
    std::vector<std::vector<double>> m_own;
    std::vector<std::vector<double>> m_rejectedAt;
    std::vector<double> m_sum;
    std::vector<double> m_publishedAt;
    // The endpoint that last processed a part for a host, plus one.
    std::map<std::pair<std::size_t, std::size_t>, std::size_t> m_lastOf;
    std::vector<double> m_waits;
    double m_now = 0;
    double m_nextSecondAt = 1;
    double m_rate = 0;
    double m_busiest = 0;
    double m_busiestSecond = 0;
    std::size_t m_samples = 0;
    std::size_t m_sent = 0;
    std::size_t m_arrivals = 0;
    std::size_t m_rejections = 0;
    std::size_t m_refused = 0;
    std::size_t m_besideIdle = 0;
    std::size_t m_reread = 0;
};

} // namespace Catkinwell::Testing
