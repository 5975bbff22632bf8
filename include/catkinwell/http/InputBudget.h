#pragma once

#include <catkinwell/core/Clock.h>
#include <cstdint>
#include <limits>
#include <memory>
#include <string>
#include <unordered_set>
#include <vector>

namespace Catkinwell {

class InputShare;

// How far a request has come that has not arrived whole.
struct UnfinishedInput {
    // The caller's IP address.
    std::string address;
    // Bytes of memory that the request takes.
    std::size_t heldBytes = 0;
    // Bytes of the request that have arrived.
    std::size_t receivedBytes = 0;
    MonotonicTime begunAt {};
    MonotonicTime lastByteAt {};
};

// Rejects a request that has not arrived whole; implemented by connections.
class InputHolder {
public:
    virtual ~InputHolder() = default;
    // Gives up the unfinished request and its memory. Its caller is told that it has not run.
    virtual void rejectInput() = 0;
};

struct InputLimits {
    // Bytes that unfinished requests and what the process keeps besides may take together.
    std::size_t bytes = std::numeric_limits<std::size_t>::max();
    // Connections that all listeners together keep open.
    std::size_t connections = std::numeric_limits<std::size_t>::max();
};

// What was rejected since the process started.
struct InputCounts {
    std::uint64_t requests = 0;
    std::uint64_t bytes = 0;
    std::uint64_t connections = 0;
    // The address of the last rejected request.
    std::string address;
};

// One account of the bytes that all listeners of a process hold for requests that have not arrived whole. Above the
// limit it has the connections rejected that make the least progress; the last one is never rejected. Does no input or
// output. Not thread safe.
class InputBudget {
public:
    explicit InputBudget(InputLimits limits = {})
        : m_limits(limits)
    {
    }
    InputBudget(const InputBudget&) = delete;
    InputBudget& operator=(const InputBudget&) = delete;

    const InputLimits& limits() const { return m_limits; }
    void setMaximumBytes(std::size_t bytes) { m_limits.bytes = bytes; }
    // What the process keeps besides: complete requests, collected answers and unread answers.
    void setOtherBytes(std::size_t bytes) { m_otherBytes = bytes; }

    std::size_t heldBytes() const { return m_heldBytes; }
    std::size_t otherBytes() const { return m_otherBytes; }
    bool isFull() const { return m_heldBytes + m_otherBytes > m_limits.bytes; }

    // Whether another connection may be opened on a listener that has this many. No listener may take all, so that
    // checks and administration are answered while callers take what they can; a refusal is counted.
    bool admitConnection(std::size_t ofListener);

    // Has connections rejected if the account is above its limit, until an eighth of the limit is free again.
    void enforce(MonotonicTime now);

    const InputCounts& counts() const { return m_counts; }

private:
    friend class InputShare;

    InputLimits m_limits;
    InputCounts m_counts;
    std::size_t m_heldBytes = 0;
    std::size_t m_otherBytes = 0;
    std::size_t m_connections = 0;
    std::unordered_set<InputShare*> m_unfinished;
};

// The part of one connection in the account, until it is released or destroyed. Not thread safe.
class InputShare {
public:
    // Precondition: the holder outlives the share, or release() is called before.
    InputShare(std::shared_ptr<InputBudget>, InputHolder&, std::string address);
    ~InputShare() { release(); }
    InputShare(const InputShare&) = delete;
    InputShare& operator=(const InputShare&) = delete;

    // The memory that the connection's input takes while no request is unfinished; such a connection is not rejected.
    void holdComplete(std::size_t bytes);
    // The same for an unfinished request, of which this many bytes have arrived so far.
    void holdUnfinished(std::size_t bytes, std::size_t received, MonotonicTime now);
    // Whether a request of this connection may take this many bytes more. Always true while no other is unfinished.
    bool hasRoomFor(std::size_t bytes) const;
    // Ends the part of the connection.
    void release();

    InputBudget& budget() const { return *m_budget; }
    const UnfinishedInput& input() const { return m_input; }
    InputHolder& holder() const { return m_holder; }

private:
    void setHeldBytes(std::size_t);

    std::shared_ptr<InputBudget> m_budget;
    InputHolder& m_holder;
    UnfinishedInput m_input;
    bool m_isUnfinished = false;
    bool m_isReleased = false;
};

} // namespace Catkinwell
