#pragma once

#include <catkinwell/http/CallerListener.h>
#include <deque>
#include <list>
#include <map>
#include <nlohmann/json.hpp>

namespace Catkinwell::Testing {

// Faults that the fake store injects.
struct StoreFaults {
    // Closes every connection without a response.
    bool isDown = false;
    // Delay before each call is handled.
    Duration delay {};
    // Number of next calls that are carried out but whose response is dropped.
    unsigned lostAnswers = 0;
    // Number of next watches that fail with 410 because the history is no longer available.
    unsigned lostHistories = 0;
};

// A fake of the platform's metadata store: items, ranges, watches, transactions and leases over HTTP on the loopback
// address. Not thread safe; runs on the event loop.
class FakeMetadataStore {
public:
    explicit FakeMetadataStore(EventLoop&);

    // Listens on one more address that serves the same content, so that a test can cut off single hosts. Returns its
    // port.
    std::uint16_t open();
    // The faults of one address, indexed in the order of the open() calls.
    StoreFaults& faults(std::size_t address) { return m_addresses.at(address)->faults; }

    // Unconditional writes without a lease, as the operator and the endpoints make them.
    void put(const std::string& key, const std::string& value);
    void erase(const std::string& key);
    // Returns the value of a key, or an empty text if the key does not exist.
    std::string value(const std::string& key) const;
    // Whether a key begins with this text.
    bool hasKey(const std::string& prefix) const;
    std::uint64_t calls() const { return m_calls; }

    // Keeps a copy of everything, to which restore() goes back: items, leases, which begin anew, and revisions, which
    // are given out again. Waiting watches break.
    void saveCopy() { m_copy = m_state; }
    void restore();

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

    struct State {
        std::map<std::string, Item> items;
        std::map<std::uint64_t, Lease> leases;
        std::deque<nlohmann::json> history;
        std::uint64_t revision = 1;
        std::uint64_t lastLease = 0;
    };

    struct Answer {
        int status = 200;
        nlohmann::json body = nlohmann::json::object();
    };

    void receive(Address&, const RequestArrived&);
    void handle(Address&, const RequestArrived&);
    void reply(Address&, RequestId, const Answer&);
    Answer range(const std::string& prefix) const;
    Answer transact(const nlohmann::json&);
    Answer createLease(const nlohmann::json&);
    Answer keepLease(std::uint64_t lease);
    void endLease(std::uint64_t lease);
    void write(const std::string& key, const std::string& value, std::uint64_t lease);
    void remove(const std::string& key);
    void recordEvent(nlohmann::json event);
    nlohmann::json itemJson(const std::string& key, const Item&) const;
    nlohmann::json eventsSince(const std::string& prefix, std::uint64_t after) const;
    void answerWatches();
    void expireLeases();

    EventLoop& m_loop;
    SystemClock m_clock;
    std::vector<std::unique_ptr<Address>> m_addresses;
    State m_state;
    State m_copy;
    // Number of the present history, which each answer states.
    std::uint64_t m_era = 1;
    std::list<Watch> m_watches;
    std::uint64_t m_calls = 0;
};

} // namespace Catkinwell::Testing
