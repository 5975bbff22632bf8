// Case 8: the prompts of one client have many short parts. Do the gateways go on answering the others?
#include "servers.h"

using namespace Stand;

namespace {

int numberOf(const char* name, int value)
{
    const char* text = std::getenv(name);
    return text ? std::atoi(text) : value;
}

constexpr int noteTenants = 8;

std::string noteKey(int tenant) { return "w3x8kd02mzq5tyn7c1p" + std::to_string(tenant); }

} // namespace

int main(int argc, char** argv)
{
    Record record(argc > 1 ? argv[1] : "record.txt");
    const bool trouble = hasTrouble();
    const int parts = trouble ? numberOf("PARTS", 3800) : 4;
    const int perSecond = numberOf("RATE", 60);
    const Folder temporary;
    const std::string& folder = temporary.path();
    Loop loop;
    Installation site(loop, record, folder);
    // The notes come from eight tenants, each within its limit.
    Json document = manifest(9);
    for (int i = 0; i < noteTenants; ++i)
        document["tenants"].push_back(tenant("note" + std::to_string(i), noteKey(i)));
    site.store.put("op/config", document.dump());
    for (auto& server : site.models)
        server->events = 10;
    if (!site.waitUntilReady(12000)) {
        record.line("the gateways did not become ready");
        return 2;
    }
    loop.run(nowMs() + 5000);
    record.line("ready");
    const std::int64_t begun = nowMs();
    const std::int64_t until = begun + 20000;
    // Parts with short names, 3,800 tokens in all.
    std::string prompt;
    char part[32];
    for (int i = 0; i < parts; ++i) {
        std::snprintf(part, sizeof(part), "%x:%d,", i % 16, trouble ? 1 : 950);
        prompt += part;
    }
    prompt.pop_back();
    std::map<std::string, int> ends;
    int notes = 0;
    std::function<void()> nextNote;
    nextNote = [&] {
        if (nowMs() >= until)
            return;
        const Gateway& gateway = site.gateways[static_cast<std::size_t>(notes) % site.gateways.size()];
        const std::string id = "note-" + std::to_string(++notes);
        const std::string tokens = trouble ? std::to_string(parts) : "3800";
        record.line("send " + id + " to " + gateway.name);
        call(loop, gateway.front,
            { id, "POST", "/note/2f",
                withKey({ { "Catkinwell-Model", "m0" },
                    { "Catkinwell-Token-Usage", tokens + ",10" }, { "Catkinwell-Prompt-Prefix", prompt } },
                    noteKey(notes / 4 % noteTenants)),
                "prompt", 2400 },
            [&, id](const Answer& answer) {
                record.line("end " + id + " status " + std::to_string(answer.status) + (answer.wasClosed ? " closed" : ""));
                ++ends["note " + std::to_string(answer.status)];
            });
        loop.after(1000 / perSecond, nextNote);
    };
    nextNote();
    // Orders of another tenant. The route's timeout_ms is 1,500; the clients wait longer.
    int orders = 0;
    int pastTimeout = 0;
    int unanswered = 0;
    std::function<void()> nextOrder;
    nextOrder = [&] {
        if (nowMs() >= until)
            return;
        const Gateway& gateway = site.gateways[static_cast<std::size_t>(orders) % site.gateways.size()];
        const std::string id = "order-" + std::to_string(++orders);
        record.line("send " + id + " to " + gateway.name);
        call(loop, gateway.front, { id, "POST", "/order/2f", withKey({}, "q4m81zt6c0xw7pyeh2us"), "grease", 6000 },
            [&, id](const Answer& answer) {
                const std::int64_t took = answer.wasSent ? nowMs() - answer.sentAt : 0;
                record.line("end " + id + " status " + std::to_string(answer.status) + " after " + std::to_string(took)
                    + " ms");
                ++ends["order " + std::to_string(answer.status)];
                pastTimeout += took > 1500 ? 1 : 0;
                unanswered += took > 2000 ? 1 : 0;
            });
        loop.after(50, nextOrder);
    };
    nextOrder();
    // The platform asks each gateway once a second whether it is ready.
    std::vector<std::int64_t> lastReady(site.gateways.size(), nowMs());
    std::int64_t longest = 0;
    std::function<void()> ask;
    ask = [&] {
        for (std::size_t i = 0; i < site.gateways.size(); ++i)
            call(loop, site.gateways[i].ready, { "probe", "GET", "/ready", {}, "", 900 }, [&, i](const Answer& answer) {
                longest = std::max(longest, nowMs() - lastReady[i]);
                if (answer.status == 200)
                    lastReady[i] = nowMs();
                else
                    record.line("no 200 to /ready from " + site.gateways[i].name + ", the last one "
                        + std::to_string(nowMs() - lastReady[i]) + " ms ago");
            });
        loop.after(1000, ask);
    };
    ask();
    loop.run(until + 15000);
    std::string text = "header of the prompt " + std::to_string(prompt.size()) + " bytes, longest time without a 200 to /ready "
        + std::to_string(longest) + " ms";
    for (const auto& [end, count] : ends)
        text += ", " + end + ": " + std::to_string(count);
    text += "; orders unanswered at timeout_ms: " + std::to_string(pastTimeout) + ", half a second later: "
        + std::to_string(unanswered);
    record.line(text);
    std::printf("%s\n", text.c_str());
    for (Gateway& gateway : site.gateways) {
        if (gateway.hasEnded())
            std::printf("%s ended\n", gateway.name.c_str());
        gateway.killAndWait();
    }
    if (Loop::isTerminated() || (!trouble && ends["order 200"] < orders * 9 / 10))
        return 2;
    // CONFIG: of the requests that last longer than timeout_ms, eight or more, and over a quarter, have no final answer
    // 0.5 s after it.
    return unanswered >= 8 && 4 * unanswered > pastTimeout ? 1 : 0;
}
