#pragma once

#include <catkinwell/http/CallerListener.h>
#include <deque>
#include <list>
#include <map>
#include <nlohmann/json.hpp>

namespace Catkinwell::Testing {

// What goes wrong in the store stand-in.
struct StoreFaults {
    // No answer at all: connections are closed.
    bool isDown = false;
    // Each call waits this long.
    Duration delay {};
    // The next answers that are carried out and then lost.
    unsigned lostAnswers = 0;
    // The next watches are told that the history is gone.
    unsigned lostHistories = 0;
};

// The platform's metadata store: items, ranges, watches, transactions and leases, over HTTP on the loopback address.
// Not thread safe; runs on the event loop.
class StoreStandIn {
public:
    explicit StoreStandIn(EventLoop&);

    // Opens one more address with the same content, so that single hosts can be cut off. Returns its port.
    std::uint16_t open();
    // Faults of one address, in the order of open().
    StoreFaults& faults(std::size_t address) { return m_addresses.at(address)->faults; }

    // Writes as the operator and the endpoints do.
    void put(const std::string& key, const std::string& value);
    void erase(const std::string& key);
    // The value of a key; empty if there is none.
    std::string value(const std::string& key) const;
    std::uint64_t calls() const { return m_calls; }

private:
    struct Item {
        std::string value;
        std::uint64_t revision = 0;
        std::uint64_t createRevision = 0;
        std::uint64_t lease = 0;
    };

    struct Lease {
        Duration ttl {};
        MonotonicTime expiresAt {};
    };

    struct Address {
        explicit Address(EventLoop& loop, const ListenerSettings& settings, std::uint64_t firstId)
            : listener(loop, settings, firstId)
        {
        }
        CallerListener listener;
        StoreFaults faults;
    };

    struct Watch {
        Address* address = nullptr;
        RequestId id;
        std::string prefix;
        std::uint64_t after = 0;
        MonotonicTime deadline {};
    };

    struct Answer {
        int status = 200;
        nlohmann::json body = nlohmann::json::object();
    };

    void arrive(Address&, const RequestArrived&);
    void handle(Address&, const RequestArrived&);
    void reply(Address&, RequestId, const Answer&);
    Answer range(const std::string& prefix) const;
    Answer transact(const nlohmann::json&);
    Answer createLease(const nlohmann::json&);
    Answer keepLease(std::uint64_t lease);
    void endLease(std::uint64_t lease);
    void write(const std::string& key, const std::string& value, std::uint64_t lease);
    void remove(const std::string& key);
    void note(nlohmann::json event);
    nlohmann::json itemJson(const std::string& key, const Item&) const;
    nlohmann::json eventsSince(const std::string& prefix, std::uint64_t after) const;
    void answerWatches();
    void expireLeases();

    EventLoop& m_loop;
    SystemClock m_clock;
    std::vector<std::unique_ptr<Address>> m_addresses;
    std::map<std::string, Item> m_items;
    std::map<std::uint64_t, Lease> m_leases;
    std::deque<nlohmann::json> m_history;
    std::list<Watch> m_watches;
    std::uint64_t m_revision = 1;
    std::uint64_t m_lastLease = 0;
    std::uint64_t m_calls = 0;
};

} // namespace Catkinwell::Testing
