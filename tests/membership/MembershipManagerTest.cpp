#include <catch2/catch.hpp>
#include <catkinwell/membership/MembershipManager.h>
#include <catkinwell/peer/PeerAuthenticator.h>
#include <catkinwell/peer/PeerCodec.h>

using namespace Catkinwell;

namespace {

const HostId self("host-0");

// Answers every store call in the effects and returns the number of calls.
int answerLists(MembershipManager& manager, const EffectList& effects, const StoreReply& hosts,
    const StoreReply& leaving, MonotonicTime now)
{
    int calls = 0;
    EffectList ignored;
    for (const auto& effect : effects) {
        const auto* call = std::get_if<StoreCall>(&effect);
        if (!call)
            continue;
        ++calls;
        StoreReply reply = std::get<StoreList>(call->operation).prefix == "hosts/" ? hosts : leaving;
        reply.id = call->id;
        manager.handle(reply, now, ignored);
    }
    return calls;
}

const HostId peer("host-1");

struct FirstListCase {
    const char* name;
    // What every read of the list of hosts returns.
    StoreStatus status;
    std::vector<StoreEntry> entries;
};

const std::vector<FirstListCase> firstListCases {
    { "an empty list", StoreStatus::NotFound, {} },
    { "a list of other hosts", StoreStatus::Ok,
        { { "hosts/host-9", R"({"data_centre":"dc1","address":"10.0.0.9:7","incarnation":3})", 1 } } },
    { "an unreachable store", StoreStatus::Unavailable, {} },
};

// Two hosts that know each other from their settings and read the same list.
class SeededPair {
public:
    explicit SeededPair(FirstListCase list)
        : m_list(std::move(list))
    {
        first.setSeeds({ { peer, "10.0.0.1:7" } }, now);
        second.setSeeds({ { self, "10.0.0.0:7" } }, now);
    }

    // A tick of each host that runs. A digest arrives if its sender has an address to send it to.
    void step(bool isSecondRunning)
    {
        now += std::chrono::milliseconds(20);
        run(first, peer, isSecondRunning ? &second : nullptr);
        if (isSecondRunning)
            run(second, self, &first);
    }

    MonotonicTime now { std::chrono::hours(1) };
    MembershipManager first { { self, 1, DataCentreId("dc1"), 1, {} } };
    MembershipManager second { { peer, 1, DataCentreId("dc1"), 2, {} } };

private:
    void run(MembershipManager& host, const HostId& other, MembershipManager* receiver) const
    {
        EffectList effects;
        host.tick(now, effects);
        const StoreReply hosts { {}, m_list.status, {}, {}, m_list.entries };
        answerLists(host, effects, hosts, { {}, StoreStatus::NotFound }, now);
        EffectList answers;
        for (const auto& effect : effects) {
            const auto* send = std::get_if<SendToPeer>(&effect);
            const auto* digest = send ? std::get_if<MembershipDigest>(&send->message) : nullptr;
            if (receiver && digest && send->to == other && host.peerAddresses().contains(other))
                receiver->handle(other == peer ? self : peer, *digest, now, answers);
        }
    }

    FirstListCase m_list;
};

} // namespace

// Guards against hosts that start together, read a list that does not name them yet, and take each other for dead.
TEST_CASE("Hosts that know each other from their settings stay in touch until the list names them")
{
    const auto test = GENERATE(from_range(firstListCases));
    INFO(test.name);
    SeededPair pair(test);
    int stepsWithoutAddress = 0;
    int stepsDead = 0;
    for (int i = 0; i < 1000; ++i) {
        pair.step(true);
        stepsWithoutAddress += pair.first.peerAddresses().contains(peer) ? 0 : 1;
        stepsDead += pair.first.stateOf(peer) == HostState::Dead ? 1 : 0;
    }
    CHECK(stepsWithoutAddress == 0);
    CHECK(stepsDead == 0);
}

// Guards against a host in the settings that counts as alive although it never ran.
TEST_CASE("A host that is named only in the settings and does not run is declared dead")
{
    SeededPair pair(firstListCases[1]);
    for (int i = 0; i < 500; ++i)
        pair.step(false);
    CHECK(pair.first.stateOf(peer) == HostState::Dead);
}

// Guards against an address in the settings that stays in use against the platform's list.
TEST_CASE("A host that the list has named and then drops loses its address")
{
    SeededPair pair(firstListCases[0]);
    EffectList effects;
    pair.first.setPlatformList({ { peer, 3, DataCentreId("dc1"), "10.0.0.7:7", false } }, pair.now, effects);
    CHECK(pair.first.peerAddresses().at(peer) == "10.0.0.7:7");
    pair.first.setPlatformList(
        { { HostId("host-9"), 3, DataCentreId("dc1"), "10.0.0.9:7", false } }, pair.now, effects);
    CHECK_FALSE(pair.first.peerAddresses().contains(peer));
}

// Guards against lists that are not read, and against an outage that empties them or leads to too many calls.
TEST_CASE("The platform's lists are polled and stay in use in an outage")
{
    MembershipManager manager({ self, 1, DataCentreId("dc1"), 1, {} });
    StoreReply hosts { {}, StoreStatus::Ok };
    hosts.entries = { { "hosts/host-1", R"({"data_centre":"dc1","address":"10.0.0.1:7","incarnation":3})", 1 },
        { "hosts/host-2", R"({"data_centre":"dc2","address":"10.0.0.2:7","incarnation":3,"leaving":true})", 1 },
        { "hosts/host-3", "not JSON", 1 } };
    StoreReply leaving { {}, StoreStatus::Ok };
    leaving.entries = { { "leaving/e1", "", 1 } };
    MonotonicTime now(std::chrono::hours(1));
    EffectList effects;
    manager.tick(now, effects);
    CHECK(answerLists(manager, effects, hosts, leaving, now) == 2);
    CHECK(manager.stateOf(HostId("host-1")) == HostState::Alive);
    CHECK(manager.stateOf(HostId("host-2")) == HostState::Leaving);
    CHECK(manager.leavingEndpoints().count(EndpointId("e1")) == 1);
    CHECK(manager.peerAddresses().at(HostId("host-1")) == "10.0.0.1:7");
    CHECK(manager.changedSinceLastTake());
    const StoreReply down { {}, StoreStatus::Unavailable };
    int calls = 0;
    for (int step = 0; step < 5 * 120; ++step) {
        now += std::chrono::milliseconds(200);
        effects.clear();
        manager.tick(now, effects);
        calls += answerLists(manager, effects, down, down, now);
    }
    // Two lists are polled for two minutes, with waits that grow to at least 15 s.
    CHECK(calls <= 24);
    CHECK(manager.peerAddresses().size() == 2);
    CHECK(manager.leavingEndpoints().size() == 1);
}

// Guards against digests that exceed 1 KB in a large fleet with long names and full lists.
TEST_CASE("A digest's frame stays below 1 KB")
{
    const std::size_t nameLength = GENERATE(8, 30, 60);
    std::vector<PlatformHost> list;
    list.reserve(400);
    for (int i = 0; i < 400; ++i)
        list.push_back({ HostId(std::string(nameLength, 'h') + std::to_string(100 + i)), ~0ULL, DataCentreId("dc1"),
            "10.0.0.1:7", false });
    const HostId own(std::string(nameLength + 3, 's'));
    MembershipManager manager({ own, ~0ULL, DataCentreId("dc1"), 1, {} });
    EffectList effects;
    MonotonicTime now(std::chrono::hours(1));
    manager.setPlatformList(list, now, effects);
    manager.setConfigurationState(~0ULL, std::vector<std::string>(20, std::string(64, 'a')));
    manager.setSuspectFingerprints(std::vector<std::pair<std::uint64_t, std::uint32_t>>(20, { ~0ULL, ~0U }));
    for (int i = 0; i < 9; ++i)
        manager.noteSuspicion(EndpointId(std::string(20, 'e') + std::to_string(i)), now);
    effects.clear();
    manager.tick(now, effects);
    std::size_t largest = 0;
    PeerAuthenticator authenticator(own, ~0ULL, "secret");
    for (const auto& effect : effects) {
        if (const auto* send = std::get_if<SendToPeer>(&effect))
            largest = authenticator.sign(send->to, encodePeerMessage(send->message)).size();
    }
    CHECK(largest > 300);
    CHECK(largest <= 1024);
}
