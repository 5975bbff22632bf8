#include <admin/AdminCommand.h>
#include <admin/AdminFixture.h>
#include <atomic>
#include <cstdlib>
#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <fstream>
#include <sstream>
#include <thread>

using namespace Catkinwell;
using trompeloeil::_;
using Json = nlohmann::json;
using Catch::Matchers::Contains;

namespace {

// Runs commands against the API of the fixture, whose configuration accepts every proposal.
struct CommandFixture : AdminFixture {
    CommandFixture() { setenv("CATKINWELL_ADMIN_TOKEN", "operate", 1); }

    SendWholeResponse exchange(const std::string& token, const ClientRequest& client)
    {
        auto answer = send(request(token, client.method, client.target, client.body, client.headers));
        if (answer.status == 0)
            answer = poll();
        return answer;
    }

    struct DirectTransport final : AdminTransport {
        DirectTransport(CommandFixture& fixture, std::string bearer)
            : owner(fixture)
            , token(std::move(bearer))
        {
        }
        Result<ClientResponse> send(const ClientRequest& client) override
        {
            const auto answer = owner.exchange(token, client);
            const bool isWrite = client.method != "GET" && client.target.find("dry_run") == std::string::npos;
            if (isWrite && owner.lostAnswers > 0) {
                --owner.lostAnswers;
                return Error { ErrorKind::Timeout, "no answer" };
            }
            return ClientResponse { answer.status, answer.headers, answer.body };
        }
        CommandFixture& owner;
        std::string token;
    };

    int run(std::vector<std::string> arguments)
    {
        out.str("");
        err.str("");
        AdminCommand command({ in, out, err }, [this](const std::string&, const std::string& token, Duration) {
            return std::make_unique<DirectTransport>(*this, token);
        });
        return command.run(std::move(arguments));
    }

    void accept(std::uint64_t ticket, const FleetConfiguration& document)
    {
        ++proposals;
        const ConfigurationVersion version = configuration.version + 1;
        configuration = document;
        configuration.version = version;
        results.push_back({ ticket, version });
    }

    int proposals = 0;
    int lostAnswers = 0;
    std::istringstream in;
    std::ostringstream out;
    std::ostringstream err;
    std::unique_ptr<trompeloeil::expectation> proposeCalls
        = NAMED_ALLOW_CALL(access, propose(_, _, _, _, _, _)).LR_SIDE_EFFECT(accept(_1, _3));
};

// A listener like that of the runtime, on a free port of the loopback interface.
class LoopbackListener {
public:
    explicit LoopbackListener(CommandFixture& fixture)
        : m_fixture(fixture)
        , m_base(event_base_new())
        , m_http(evhttp_new(m_base))
    {
        evhttp_set_gencb(
            m_http, [](evhttp_request* request, void* self) { static_cast<LoopbackListener*>(self)->answer(request); },
            this);
        auto* socket = evhttp_bind_socket_with_handle(m_http, "127.0.0.1", 0);
        sockaddr_in bound {};
        socklen_t size = sizeof(bound);
        getsockname(evhttp_bound_socket_get_fd(socket), reinterpret_cast<sockaddr*>(&bound), &size);
        address = "127.0.0.1:" + std::to_string(ntohs(bound.sin_port));
    }
    ~LoopbackListener()
    {
        evhttp_free(m_http);
        event_base_free(m_base);
    }
    // Runs the listener until the flag is set.
    void serve(const std::atomic<bool>& finished)
    {
        while (!finished) {
            const timeval step { 0, 10000 };
            event_base_loopexit(m_base, &step);
            event_base_dispatch(m_base);
        }
    }

    std::string address;

private:
    void answer(evhttp_request* request)
    {
        ClientRequest client { evhttp_request_get_command(request) == EVHTTP_REQ_PUT ? "PUT" : "GET",
            evhttp_request_get_uri(request), {}, {} };
        const evkeyvalq* headers = evhttp_request_get_input_headers(request);
        for (const evkeyval* header = headers->tqh_first; header; header = header->next.tqe_next)
            client.headers.emplace_back(header->key, header->value);
        evbuffer* input = evhttp_request_get_input_buffer(request);
        client.body.resize(evbuffer_get_length(input));
        evbuffer_copyout(input, client.body.data(), client.body.size());
        const std::string bearer = evhttp_find_header(headers, "Authorization");
        const auto response = m_fixture.exchange(bearer.substr(7), client);
        for (const auto& [name, value] : response.headers)
            evhttp_add_header(evhttp_request_get_output_headers(request), name.c_str(), value.c_str());
        evbuffer_add(evhttp_request_get_output_buffer(request), response.body.data(), response.body.size());
        evhttp_send_reply(request, response.status, nullptr, nullptr);
    }

    CommandFixture& m_fixture;
    event_base* m_base;
    evhttp* m_http;
};

} // namespace

// Guards against commands that use a wrong path, or give a wrong exit code or output.
TEST_CASE_METHOD(CommandFixture, "commands return exit codes and readable text")
{
    ALLOW_CALL(status, statusJson("hosts", _)).RETURN("{\"host-1\":{\"state\":\"alive\"}}");
    journal.add({ LogEvent::EndpointChosen, { { "request", "7" } } }, clock.monotonicNow());
    struct Case {
        std::vector<std::string> arguments;
        int code;
        const char* text;
    };
    const Case one = GENERATE(values<Case>({
        { { "accounts", "list" }, 0,
            "id      burst_tokens  rate_tokens_per_second  weight\nquay-3  10000         1000                    1\n" },
        { { "accounts", "list", "--json" }, 0, "\"version\": 17" },
        { { "accounts", "show", "none" }, 1, "there is no accounts/none" },
        { { "accounts", "set", "quay-3", "rate_tokens_per_second=5", "--reason", "x", "--dry-run" }, 0,
            "- 1000\n  + 5" },
        { { "accounts", "set", "quay-3", "rate_tokens_per_second=5" }, 2, "--reason" },
        { { "accounts", "set", "quay-3", "rate_tokens_per_second", "--reason", "x" }, 2, "field=value" },
        { { "accounts", "set", "new-1", "rate_tokens_per_second=5", "--reason", "x" }, 0, "done, version 18" },
        { { "accounts", "set", "quay-3", "hue=5", "--reason", "x" }, 1, "unknown field \"hue\"" },
        { { "models", "remove", "style", "--reason", "x" }, 1, "Type yes" },
        { { "models", "remove", "style", "--reason", "x", "--yes" }, 0, "done, version 18" },
        { { "defaults", "set", "monthly_accelerator_hours=9", "--reason", "x" }, 0, "done" },
        { { "exception", "add", "account/quay-3", "rate_tokens_per_second", "7", "--reason", "traffic peak in December",
              "--yes" },
            0, "\"value\":7" },
        { { "exception", "remove", "account/quay-3", "rate_tokens_per_second", "--reason", "x", "--yes" }, 1,
            "there is no" },
        { { "data-centre", "evacuate", "north", "--reason", "cooling works tonight", "--yes" }, 0, "done, version 18" },
        { { "data-centre", "evacuate", "north", "--reason", "cooling works tonight" }, 1, "Type yes" },
        { { "data-centre", "evacuate", "north", "--reason", "cooling works tonight", "--dry-run" }, 0,
            "cooling works tonight" },
        { { "data-centre", "evacuate", "north" }, 2, "--reason" },
        { { "data-centre", "restore", "north", "--reason", "works have ended" }, 1, "there is no evacuations/north" },
        { { "data-centre", "list" }, 0, "(none)" },
        { { "key", "list" }, 0, "old-key" },
        { { "key", "grant", "--account", "quay-3", "--label", "a", "--reason", "x" }, 1, "grant_keys" },
        { { "status", "hosts" }, 0, "host-1  alive" },
        { { "status", "other" }, 2, "other" },
        { { "explain", "7" }, 0, "endpoint_chosen" },
        { { "explain" }, 2, "not both" },
        { { "quarantine", "list" }, 0, "beef" },
        { { "quarantine", "release", "beef", "--reason", "x", "--yes" }, 0, "done" },
        { { "report" }, 0, "host-1" },
        { { "report", "--address", "127.0.0.1:1", "--address", "127.0.0.1:2" }, 1, "second address of host" },
        { { "audit" }, 0, "(none)" },
        { { "completion", "bash" }, 0, "\"admin quarantine\") words=\"list release" },
        { { "configuration", "apply", "/none", "--reason", "x" }, 2, "/none" },
        { { "audit", "--address", "nowhere" }, 2, "host:port" },
        { { "audit", "--token-file", "/none" }, 2, "/none" },
        { { "nothing" }, 2, "subcommand is required" },
        { {}, 2, "subcommand" },
    }));
    const int code = run(one.arguments);
    INFO(Catch::StringMaker<std::vector<std::string>>::convert(one.arguments) << "\n" << out.str() << err.str());
    CHECK(code == one.code);
    CHECK_THAT(out.str() + err.str(), Contains(one.text));
    CHECK(proposals == ((out.str().find("done, version") == std::string::npos) ? 0 : 1));
}

// Guards against an evacuation that is stored without its reason, or that cannot be ended.
TEST_CASE_METHOD(CommandFixture, "a data centre is evacuated and restored")
{
    const DataCentreId north("north");
    CHECK(run({ "data-centre", "evacuate", "north", "--reason", "cooling works tonight", "--yes" }) == 0);
    REQUIRE(configuration.evacuations.contains(north));
    CHECK(configuration.evacuations.at(north).reason == "cooling works tonight");
    CHECK(run({ "data-centre", "list" }) == 0);
    CHECK_THAT(out.str(), Contains("north") && Contains("cooling works tonight"));
    CHECK(run({ "data-centre", "restore", "north", "--reason", "works have ended" }) == 0);
    CHECK(configuration.evacuations.empty());
}

// Guards against a change that is reported as failed or made twice because its answer was lost.
TEST_CASE_METHOD(CommandFixture, "a change whose answer is lost is made once")
{
    lostAnswers = 2;
    CHECK(run({ "accounts", "set", "quay-3", "rate_tokens_per_second=5", "--reason", "x" }) == 0);
    CHECK(proposals == 1);
    CHECK(configuration.accounts.at(AccountId("quay-3")).rate == 5);
    setenv("CATKINWELL_ADMIN_TOKEN", "grant", 1);
    lostAnswers = 1;
    CHECK(run({ "key", "grant", "--account", "quay-3", "--label", "a", "--reason", "x" }) == 1);
    CHECK(proposals == 2);
    CHECK_THAT(err.str(), Contains("may have taken effect"));
}

// Guards against a document that overwrites changes made since it was read.
TEST_CASE_METHOD(CommandFixture, "a document is applied to the version it was read at")
{
    CHECK(run({ "configuration", "show" }) == 0);
    const std::string path = "admin-command-test.json";
    std::ofstream(path) << out.str();
    configuration.version = 18;
    configuration.accounts[AccountId("quay-3")].rate = 6;
    CHECK(run({ "configuration", "diff", path }) == 0);
    CHECK_THAT(out.str(), Contains("- 6\n  + 1000"));
    CHECK(run({ "configuration", "apply", path, "--reason", "x", "--yes" }) == 1);
    CHECK_THAT(err.str(), Contains("at version 18, not 17"));
    CHECK(proposals == 0);
    std::remove(path.c_str());
}

// Guards against differences between the HTTP of client and listener, and against a client without a timeout.
TEST_CASE_METHOD(CommandFixture, "the client works over a connection")
{
    LoopbackListener listener(*this);
    std::atomic<bool> finished = false;
    int changeCode = -1;
    int wrongCode = -1;
    std::thread client([&] {
        const auto connect = [](const std::string& address, const std::string& token, Duration timeout) {
            return std::make_unique<HttpAdminTransport>(address, token, timeout);
        };
        const std::vector<std::string> at { "--address", listener.address, "--reason", "über alles" };
        auto arguments = at;
        arguments.insert(
            arguments.end(), { "exception", "add", "account/quay-3", "rate_tokens_per_second", "7", "--yes" });
        changeCode = AdminCommand({ in, out, err }, connect).run(arguments);
        // Port 1 of the loopback interface refuses connections.
        wrongCode = AdminCommand({ in, out, err }, connect).run({ "audit", "--address", "127.0.0.1:1" });
        finished = true;
    });
    listener.serve(finished);
    client.join();
    INFO(out.str() << err.str());
    CHECK(changeCode == 0);
    CHECK(wrongCode == 1);
    REQUIRE(configuration.exceptions.size() == 1);
    CHECK(configuration.exceptions[0].scope == "account/quay-3");
    CHECK(api.audit().entries().at(0).reason == "über alles");
}
